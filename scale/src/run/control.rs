//! One measurement of control: balancers that carry no calls follow an endpoint list that changes.
use super::context::Context;
use super::control_balancers::{ControlBalancers, Usages};
use crate::discovery::endpoint_changes::apply_random_changes;
use crate::discovery::registry::{Endpoint, PublishedChange};
use crate::discovery::Discovery;
use crate::error::ScaleError;
use crate::experiment::{Control, ControlSize};
use crate::report::{BalancerUsage, ControlMeasurement};
use crate::statistics::Distribution;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Endpoints have loopback addresses without a listener. Nothing is sent to them.
const UNUSED_NETWORK: u32 = u32::from_be_bytes([127, 100, 0, 0]);
const UNUSED_PORT: u16 = 9;
/// Time allowed after the evaluated time until all balancers have the last changes published in it in force.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of balancers for `in_force_at_99_percent`.
const NINETY_NINE_PERCENT: f64 = 0.99;

pub(super) async fn measure(
    context: &Context,
    section: &Control,
    size: ControlSize,
    repeat: u32,
) -> Result<ControlMeasurement, ScaleError> {
    let seed = context.seed(repeat);
    let endpoints = (0..size.endpoints).map(unused_endpoint).collect();
    let discovery = Discovery::start(endpoints, section.history as usize)?;
    let started_at = Instant::now();
    let mut balancers =
        ControlBalancers::start(context, section, discovery.address(), seed).await?;
    let balancer_count = section.balancers() as usize;
    balancers
        .wait_until_watching(discovery.registry(), balancer_count)
        .await?;
    let start = StartMeasurement {
        all_watch_after: started_at.elapsed(),
        bytes: discovery.traffic().bytes(),
    };
    let changes = apply_random_changes(discovery.registry(), size.changes_per_minute, seed);
    let window = tokio::select! {
        window = Window::observe(context, &balancers, &discovery) => window?,
        never = changes => match never {},
    };
    let changes = settled_changes(&discovery, balancer_count, &window).await;
    balancers.ensure_running()?;
    Ok(measurement(&start, &window, &changes, balancer_count))
}

fn unused_endpoint(number: u32) -> Endpoint {
    let address = Ipv4Addr::from(UNUSED_NETWORK + number);
    Endpoint::new(number as usize, SocketAddr::from((address, UNUSED_PORT)))
}

/// The time and traffic until all balancers watched discovery.
struct StartMeasurement {
    all_watch_after: Duration,
    /// Bytes exchanged with discovery.
    bytes: u64,
}

/// Usage and traffic during the time that is evaluated.
struct Window {
    started_at: Instant,
    ended_at: Instant,
    real: Vec<BalancerUsage>,
    hollow: Vec<BalancerUsage>,
    /// Bytes exchanged with discovery.
    bytes: u64,
    /// Requests to discovery.
    messages: u64,
}

impl Window {
    async fn observe(
        context: &Context,
        balancers: &ControlBalancers,
        discovery: &Discovery,
    ) -> Result<Window, ScaleError> {
        let traffic = discovery.traffic();
        tokio::time::sleep(context.warmup()).await;
        let before = balancers.usages()?;
        let bytes_before = traffic.bytes();
        let messages_before = traffic.messages();
        let started_at = Instant::now();
        tokio::time::sleep(context.evaluated_time()).await;
        let after = balancers.usages()?;
        let ended_at = Instant::now();
        let length = ended_at - started_at;
        Ok(Window {
            started_at,
            ended_at,
            real: Usages::used_by_real(&before, &after, length),
            hollow: Usages::used_by_hollow(&before, &after, length),
            bytes: traffic.bytes() - bytes_before,
            messages: traffic.messages() - messages_before,
        })
    }

    fn contains(&self, time: Instant) -> bool {
        time >= self.started_at && time < self.ended_at
    }
}

/// Returns the changes of the window after all balancers have them in force or the timeout has passed.
async fn settled_changes(
    discovery: &Discovery,
    balancers: usize,
    window: &Window,
) -> Vec<PublishedChange> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let mut changes = discovery.registry().published_changes();
        changes.retain(|change| window.contains(change.published_at));
        let all_in_force = changes
            .iter()
            .all(|change| change.acknowledged_after.len() >= balancers);
        if all_in_force || Instant::now() >= deadline {
            return changes;
        }
        tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
    }
}

fn measurement(
    start: &StartMeasurement,
    window: &Window,
    changes: &[PublishedChange],
    balancers: usize,
) -> ControlMeasurement {
    let count = balancers as f64;
    let seconds = (window.ended_at - window.started_at).as_secs_f64();
    let ninety_nine_percent = (count * NINETY_NINE_PERCENT).ceil() as usize;
    let in_force_at_all = changes
        .iter()
        .filter(|change| change.acknowledged_after.len() >= balancers)
        .count();
    ControlMeasurement {
        real: window.real.clone(),
        hollow: window.hollow.clone(),
        all_watch_after_seconds: start.all_watch_after.as_secs_f64(),
        start_bytes_per_balancer: start.bytes as f64 / count,
        bytes_per_second: window.bytes as f64 / seconds / count,
        messages_per_second: window.messages as f64 / seconds / count,
        changes: changes.len() as u64,
        balancers: balancers as u64,
        changes_in_force_at_all: in_force_at_all as u64,
        in_force_at_99_percent: times_in_force(changes, ninety_nine_percent).percentiles(),
        in_force_at_all: times_in_force(changes, balancers).percentiles(),
    }
}

/// For each change, the time until this number of balancers had it in force. Changes that fewer had are skipped.
fn times_in_force(changes: &[PublishedChange], balancers: usize) -> Distribution {
    changes
        .iter()
        .filter_map(|change| {
            let mut acknowledged_after = change.acknowledged_after.clone();
            acknowledged_after.sort_unstable();
            acknowledged_after.get(balancers.saturating_sub(1)).copied()
        })
        .collect()
}
