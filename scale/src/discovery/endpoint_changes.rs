//! Changes of endpoints at a constant rate.
use super::registry::Registry;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::{interval_at, Instant, MissedTickBehavior};

const MINUTE: Duration = Duration::from_secs(60);

/// Changes random endpoints at this rate until the future is dropped. The first change comes after one interval.
pub async fn apply_random_changes(
    registry: &Registry,
    changes_per_minute: f64,
    seed: u64,
) -> Infallible {
    if changes_per_minute <= 0.0 {
        return std::future::pending().await;
    }
    let period = MINUTE.div_f64(changes_per_minute);
    let mut ticks = interval_at(Instant::now() + period, period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        ticks.tick().await;
        registry.advance_endpoint(random.random_range(0..registry.endpoint_count()));
    }
}
