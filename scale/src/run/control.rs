//! One measurement of control: balancers that carry no calls follow a list that changes.
use super::Context;
use crate::balancer::configuration::Configuration;
use crate::balancer::BalancerProcess;
use crate::discovery::registry::{Endpoint, PublishedChange};
use crate::discovery::{churn, Discovery};
use crate::error::ScaleError;
use crate::experiment::{Control, ControlSize};
use crate::hollow::HollowProcess;
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
/// All balancers have this long to fetch their first list and watch.
const WATCH_WITHIN: Duration = Duration::from_secs(60);
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Share of balancers at which a change counts as widely in force.
const WIDELY: f64 = 0.99;
/// The settings of a balancer that carries no calls.
const QUOTA_PER_SECOND: f64 = 1000.0;
const ATTEMPTS_CAP: u32 = 3;
const DEADLINE_MS: u32 = 3000;

/// The balancers of one measurement; they end when dropped.
struct Balancers {
    real: Vec<BalancerProcess>,
    hollow: Vec<HollowProcess>,
}

pub(super) async fn measure(
    context: &Context,
    section: &Control,
    size: ControlSize,
    repeat: u32,
) -> Result<ControlFigures, ScaleError> {
    let seed = context.seed(repeat);
    let endpoints = (0..size.endpoints).map(endpoint).collect();
    let discovery = Discovery::start(endpoints, section.history as usize)?;
    let started = Instant::now();
    let mut balancers = Balancers::start(context, section, &discovery, seed).await?;
    balancers
        .all_watch(&discovery, section.balancers() as usize)
        .await?;
    let all_watch_after = started.elapsed();
    let start_bytes = discovery.traffic().bytes();
    let churn = churn::run(&discovery.registry, size.changes_per_minute, seed);
    let window = tokio::select! {
        window = observe(context, &balancers, &discovery) => window?,
        never = churn => match never {},
    };
    let changes = settled(&discovery, section.balancers() as usize, &window).await;
    balancers.ensure_running()?;
    let count = f64::from(section.balancers());
    let seconds = window.length.as_secs_f64();
    let widely = (count * WIDELY).ceil() as usize;
    let all = section.balancers() as usize;
    Ok(ControlFigures {
        real: window.real,
        hollow: window.hollow,
        all_watch_after_seconds: all_watch_after.as_secs_f64(),
        start_bytes_per_balancer: start_bytes as f64 / count,
        bytes_per_second: window.bytes as f64 / seconds / count,
        messages_per_second: window.messages as f64 / seconds / count,
        changes: changes.len() as u64,
        balancers: all as u64,
        changes_in_force_at_all: changes
            .iter()
            .filter(|c| c.acknowledged.len() >= all)
            .count() as u64,
        in_force_at_99_percent: in_force(&changes, widely).percentiles(),
        in_force_at_all: in_force(&changes, all).percentiles(),
    })
}

fn endpoint(number: u32) -> Endpoint {
    let address = Ipv4Addr::from(UNUSED_NETWORK + number);
    Endpoint::new(number as usize, SocketAddr::from((address, UNUSED_PORT)))
}

impl Balancers {
    async fn start(
        context: &Context,
        section: &Control,
        discovery: &Discovery,
        seed: u64,
    ) -> Result<Balancers, ScaleError> {
        let configuration = |name: String, index: u32| Configuration {
            name,
            discovery: discovery.address(),
            seed: seed * 100_000 + u64::from(index),
            tier: 0,
            balancers: section.balancers(),
            index,
            quota_per_second: QUOTA_PER_SECOND,
            attempts_cap: ATTEMPTS_CAP,
            deadline_ms: DEADLINE_MS,
            membership: section.membership,
        };
        let mut real = Vec::new();
        for index in 0..section.real_balancers {
            let configuration = configuration(format!("real-{index}"), index);
            real.push(BalancerProcess::start(
                &context.deployment,
                &context.workspace,
                &configuration,
            )?);
        }
        let mut hollow = Vec::new();
        let mut next = section.real_balancers;
        for process in 0..section.hollow_processes {
            let share = share_of(section.hollow_balancers, section.hollow_processes, process);
            let configuration = configuration(format!("hollow-{process}"), next);
            hollow.push(HollowProcess::start(
                &context.workspace,
                &configuration,
                share,
            )?);
            next += share;
        }
        for balancer in &mut real {
            balancer.ready().await?;
        }
        Ok(Balancers { real, hollow })
    }

    /// Waits until so many balancers watch.
    async fn all_watch(
        &mut self,
        discovery: &Discovery,
        balancers: usize,
    ) -> Result<(), ScaleError> {
        let started = Instant::now();
        while discovery.registry.watchers() < balancers {
            self.ensure_running()?;
            if started.elapsed() > WATCH_WITHIN {
                let watching = discovery.registry.watchers();
                let name = format!("all but {watching} of {balancers} balancers");
                return Err(ScaleError::NotReady {
                    name,
                    seconds: WATCH_WITHIN.as_secs(),
                });
            }
            tokio::time::sleep(WATCH_PAUSE).await;
        }
        Ok(())
    }

    fn ensure_running(&mut self) -> Result<(), ScaleError> {
        self.real
            .iter_mut()
            .try_for_each(|balancer| balancer.process.ensure_running())?;
        self.hollow
            .iter_mut()
            .try_for_each(|hollow| hollow.process.ensure_running())
    }

    fn usages(&self) -> Result<Usages, ScaleError> {
        Ok(Usages {
            real: self
                .real
                .iter()
                .map(|balancer| balancer.process.usage())
                .collect::<Result<_, _>>()?,
            hollow: self
                .hollow
                .iter()
                .map(|hollow| hollow.process.usage())
                .collect::<Result<_, _>>()?,
        })
    }
}

/// What each process has used up to a moment.
struct Usages {
    real: Vec<Usage>,
    hollow: Vec<Usage>,
}

/// How many of `total` balancers run in this one of `processes`.
fn share_of(total: u32, processes: u32, process: u32) -> u32 {
    total / processes + u32::from(process < total % processes)
}

/// What was used and exchanged while figures counted.
struct Window {
    began: Instant,
    ended: Instant,
    length: Duration,
    real: Vec<BalancerUse>,
    hollow: Vec<BalancerUse>,
    bytes: u64,
    messages: u64,
}

async fn observe(
    context: &Context,
    balancers: &Balancers,
    discovery: &Discovery,
) -> Result<Window, ScaleError> {
    tokio::time::sleep(context.warmup()).await;
    let before = balancers.usages()?;
    let (bytes, messages) = (discovery.traffic().bytes(), discovery.traffic().messages());
    let began = Instant::now();
    tokio::time::sleep(context.measure()).await;
    let after = balancers.usages()?;
    let ended = Instant::now();
    let length = ended - began;
    let real = before
        .real
        .iter()
        .zip(&after.real)
        .map(|(b, a)| used(b, a, length, 1));
    let hollow = before
        .hollow
        .iter()
        .zip(&after.hollow)
        .zip(&balancers.hollow);
    Ok(Window {
        began,
        ended,
        length,
        real: real.collect(),
        hollow: hollow
            .map(|((b, a), process)| used(b, a, length, process.balancers))
            .collect(),
        bytes: discovery.traffic().bytes() - bytes,
        messages: discovery.traffic().messages() - messages,
    })
}

/// What one of the balancers of a process used.
fn used(before: &Usage, after: &Usage, length: Duration, balancers: u32) -> BalancerUse {
    let balancers = f64::from(balancers);
    let processor = after
        .processor
        .saturating_sub(before.processor)
        .as_secs_f64();
    BalancerUse {
        processor_percent: 100.0 * processor / length.as_secs_f64() / balancers,
        start_processor_ms: before.processor.as_secs_f64() * 1000.0 / balancers,
        resident_mb: after.resident_mb / balancers,
    }
}

/// The changes of the window, once all balancers have them in force or have had time enough.
async fn settled(discovery: &Discovery, balancers: usize, window: &Window) -> Vec<PublishedChange> {
    let deadline = Instant::now() + SETTLE;
    loop {
        let mut changes = discovery.registry.published();
        changes
            .retain(|change| change.published >= window.began && change.published < window.ended);
        let done = changes
            .iter()
            .all(|change| change.acknowledged.len() >= balancers);
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
