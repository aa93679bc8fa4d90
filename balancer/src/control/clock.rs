//! The decision module's clock: milliseconds since 1970 that no change of the system's clock moves.
use balancer_core::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Reads the system's clock once and goes on by elapsed time alone.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_ms: Millis,
}

impl Clock {
    /// A clock that starts at the system's time.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            start_ms: unix_ms(),
        }
    }

    /// Milliseconds since 1970, so that start times of upstreams need no conversion.
    pub fn now(&self) -> Millis {
        self.start_ms + to_millis(self.start.elapsed())
    }
}

/// Milliseconds since 1970 by the system's clock.
fn unix_ms() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, to_millis)
}

/// A duration in milliseconds.
pub fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Milliseconds as a duration: none for negative ones, the longest for those that do not fit.
pub fn from_millis(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / MILLIS_PER_SECOND).unwrap_or(Duration::MAX)
}
