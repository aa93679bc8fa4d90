//! One measurement of control: balancers that carry no calls follow a list that changes.
use super::Context;
use crate::balancer::configuration::Configuration;
use crate::balancer::BalancerProcess;
use crate::discovery::registry::{Endpoint, PublishedChange};
use crate::discovery::{churn, Discovery};
use crate::error::ScaleError;
use crate::experiment::{Control, ControlSize};
use crate::machine::Usage;
use crate::report::{BalancerUse, ControlFigures};
use crate::statistics::Times;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Endpoints are listed with addresses of loopback's network at which nobody listens; nothing is sent to them.
const UNUSED_NETWORK: u32 = u32::from_be_bytes([127, 100, 0, 0]);
const UNUSED_PORT: u16 = 9;
/// After the last change counts, balancers get this long to have it in force.
const SETTLE: Duration = Duration::from_secs(5);
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Share of balancers at which a change counts as widely in force.
const WIDELY: f64 = 0.99;
/// The settings of a balancer that carries no calls.
const QUOTA_PER_SECOND: f64 = 1000.0;
const ATTEMPTS_CAP: u32 = 3;
const DEADLINE_MS: u32 = 3000;

pub(super) async fn measure(
    context: &Context,
    section: &Control,
    size: ControlSize,
    repeat: u32,
) -> Result<ControlFigures, ScaleError> {
    let seed = context.seed(repeat);
    let endpoints = (0..size.endpoints).map(endpoint).collect();
    let discovery = Discovery::start(endpoints, section.history as usize)?;
    let mut balancers = start(context, section, &discovery, seed).await?;
    let balancer_count = f64::from(section.real_balancers);
    let start_bytes = discovery.traffic().bytes() as f64;
    let churn = churn::run(&discovery.registry, size.changes_per_minute, seed);
    let window = observe(context, &balancers, &discovery);
    let window = tokio::select! {
        window = window => window?,
        never = churn => match never {},
    };
    let changes = settled(&discovery, section.real_balancers as usize, &window).await;
    balancers.iter_mut().try_for_each(BalancerProcess::ensure_running)?;
    let widely = (balancer_count * WIDELY).ceil() as usize;
    let all = section.real_balancers as usize;
    let seconds = window.length.as_secs_f64();
    Ok(ControlFigures {
        real: window.real,
        start_bytes_per_balancer: start_bytes / balancer_count,
        bytes_per_second: window.bytes as f64 / seconds / balancer_count,
        messages_per_second: window.messages as f64 / seconds / balancer_count,
        changes: changes.len() as u64,
        balancers: all as u64,
        changes_in_force_at_all: changes.iter().filter(|c| c.acknowledged.len() >= all).count() as u64,
        in_force_at_99_percent: in_force(&changes, widely).percentiles(),
        in_force_at_all: in_force(&changes, all).percentiles(),
    })
}

fn endpoint(number: u32) -> Endpoint {
    let address = Ipv4Addr::from(UNUSED_NETWORK + number);
    Endpoint::new(number as usize, SocketAddr::from((address, UNUSED_PORT)))
}

async fn start(
    context: &Context,
    section: &Control,
    discovery: &Discovery,
    seed: u64,
) -> Result<Vec<BalancerProcess>, ScaleError> {
    let mut balancers = Vec::new();
    for index in 0..section.real_balancers {
        let configuration = Configuration {
            name: format!("control-{index}"),
            discovery: discovery.address(),
            seed: seed * 10_000 + u64::from(index),
            tier: 0,
            balancers: section.real_balancers,
            index,
            quota_per_second: QUOTA_PER_SECOND,
            attempts_cap: ATTEMPTS_CAP,
            deadline_ms: DEADLINE_MS,
            membership: section.membership,
        };
        balancers.push(BalancerProcess::start(&context.deployment, &context.workspace, &configuration)?);
    }
    for balancer in &mut balancers {
        balancer.ready().await?;
    }
    Ok(balancers)
}

/// What was used and exchanged while figures counted.
struct Window {
    began: Instant,
    ended: Instant,
    length: Duration,
    real: Vec<BalancerUse>,
    bytes: u64,
    messages: u64,
}

async fn observe(
    context: &Context,
    balancers: &[BalancerProcess],
    discovery: &Discovery,
) -> Result<Window, ScaleError> {
    tokio::time::sleep(context.warmup()).await;
    let before = usages(balancers)?;
    let (bytes, messages) = (discovery.traffic().bytes(), discovery.traffic().messages());
    let began = Instant::now();
    tokio::time::sleep(context.measure()).await;
    let after = usages(balancers)?;
    let ended = Instant::now();
    let length = ended - began;
    let real = before.iter().zip(&after).map(|(before, after)| used(before, after, length)).collect();
    let bytes = discovery.traffic().bytes() - bytes;
    let messages = discovery.traffic().messages() - messages;
    Ok(Window { began, ended, length, real, bytes, messages })
}

fn usages(balancers: &[BalancerProcess]) -> Result<Vec<Usage>, ScaleError> {
    balancers.iter().map(BalancerProcess::usage).collect()
}

fn used(before: &Usage, after: &Usage, length: Duration) -> BalancerUse {
    let processor = after.processor.saturating_sub(before.processor);
    BalancerUse {
        processor_percent: 100.0 * processor.as_secs_f64() / length.as_secs_f64(),
        start_processor_ms: before.processor.as_secs_f64() * 1000.0,
        resident_mb: after.resident_mb,
    }
}

/// The changes of the window, once all balancers have them in force or have had time enough.
async fn settled(discovery: &Discovery, balancers: usize, window: &Window) -> Vec<PublishedChange> {
    let deadline = Instant::now() + SETTLE;
    loop {
        let mut changes = discovery.registry.published();
        changes.retain(|change| change.published >= window.began && change.published < window.ended);
        let done = changes.iter().all(|change| change.acknowledged.len() >= balancers);
        if done || Instant::now() >= deadline {
            return changes;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

/// For each change, when so many balancers had it in force; changes that fewer had at the end are left out.
fn in_force(changes: &[PublishedChange], balancers: usize) -> Times {
    let mut times = Times::default();
    for change in changes {
        let mut acknowledged = change.acknowledged.clone();
        acknowledged.sort_unstable();
        if let Some(&time) = acknowledged.get(balancers.saturating_sub(1)) {
            times.record(time);
        }
    }
    times
}
