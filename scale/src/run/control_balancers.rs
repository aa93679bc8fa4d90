//! The balancers of one measurement of control.
use super::context::Context;
use crate::balancer::configuration::Configuration;
use crate::balancer::BalancerProcess;
use crate::discovery::registry::Registry;
use crate::error::ScaleError;
use crate::experiment::Control;
use crate::hollow::HollowProcess;
use crate::machine::Usage;
use crate::report::BalancerUsage;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time allowed until all balancers have fetched their first endpoint list and watch for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Distance between the seeds of two repeats. It is larger than the number of balancers, so that the balancers of
/// different repeats have different seeds.
const SEEDS_PER_REPEAT: u64 = 100_000;
/// The settings of a balancer that carries no calls.
const QUOTA_PER_SECOND: f64 = 1000.0;
const MAX_ATTEMPTS: u32 = 3;
const DEADLINE_MS: u32 = 3000;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Running balancers. They end when dropped.
pub(super) struct ControlBalancers {
    real: Vec<BalancerProcess>,
    hollow: Vec<HollowProcess>,
}

impl ControlBalancers {
    /// Starts all balancers, and waits until the real ones are ready.
    pub(super) async fn start(
        context: &Context,
        section: &Control,
        discovery: SocketAddr,
        seed: u64,
    ) -> Result<ControlBalancers, ScaleError> {
        let mut real = Vec::new();
        for index in 0..section.real_balancers {
            let name = format!("real-{index}");
            let configuration = configuration(section, discovery, seed, name, index);
            real.push(context.start_balancer(&configuration)?);
        }
        let mut hollow = Vec::new();
        let mut next_index = section.real_balancers;
        for process in 0..section.hollow_processes {
            let balancers = balancers_of_process(section, process);
            let name = format!("hollow-{process}");
            let configuration = configuration(section, discovery, seed, name, next_index);
            hollow.push(context.start_hollow(&configuration, balancers)?);
            next_index += balancers;
        }
        for balancer in &mut real {
            balancer.wait_until_ready().await?;
        }
        Ok(ControlBalancers { real, hollow })
    }

    /// Waits until this number of balancers watches the registry.
    pub(super) async fn wait_until_watching(
        &mut self,
        registry: &Registry,
        balancers: usize,
    ) -> Result<(), ScaleError> {
        let started_at = Instant::now();
        while registry.watchers() < balancers {
            self.ensure_running()?;
            if started_at.elapsed() > WATCH_TIMEOUT {
                let watching = registry.watchers();
                return Err(ScaleError::NotReady {
                    balancers: format!("only {watching} of {balancers} balancers watch discovery"),
                    seconds: WATCH_TIMEOUT.as_secs(),
                });
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Fails if one of the processes has ended.
    pub(super) fn ensure_running(&mut self) -> Result<(), ScaleError> {
        for balancer in &mut self.real {
            balancer.process.ensure_running()?;
        }
        for hollow in &mut self.hollow {
            hollow.process.ensure_running()?;
        }
        Ok(())
    }

    /// The usage of each process since its start.
    pub(super) fn usages(&self) -> Result<Usages, ScaleError> {
        let mut usages = Usages {
            real: Vec::new(),
            hollow: Vec::new(),
        };
        for balancer in &self.real {
            usages.real.push(ProcessUsage {
                usage: balancer.process.usage()?,
                balancers: 1,
            });
        }
        for hollow in &self.hollow {
            usages.hollow.push(ProcessUsage {
                usage: hollow.process.usage()?,
                balancers: hollow.balancers,
            });
        }
        Ok(usages)
    }
}

fn configuration(
    section: &Control,
    discovery: SocketAddr,
    seed: u64,
    name: String,
    index: u32,
) -> Configuration {
    Configuration {
        name,
        discovery,
        seed: seed * SEEDS_PER_REPEAT + u64::from(index),
        tier: 0,
        balancers: section.balancers(),
        index,
        quota_per_second: QUOTA_PER_SECOND,
        max_attempts: MAX_ATTEMPTS,
        deadline_ms: DEADLINE_MS,
        discovery_mode: section.discovery_mode,
    }
}

/// How many of the hollow balancers run in one process.
fn balancers_of_process(section: &Control, process: u32) -> u32 {
    let balancers = section.hollow_balancers;
    let processes = section.hollow_processes;
    balancers / processes + u32::from(process < balancers % processes)
}

/// The usage of each process since its start.
pub(super) struct Usages {
    real: Vec<ProcessUsage>,
    hollow: Vec<ProcessUsage>,
}

/// The usage of one process since its start, and the number of its balancers.
struct ProcessUsage {
    usage: Usage,
    balancers: u32,
}

impl Usages {
    /// The usage of each real balancer between two snapshots.
    pub(super) fn used_by_real(
        before: &Usages,
        after: &Usages,
        length: Duration,
    ) -> Vec<BalancerUsage> {
        balancer_usages(&before.real, &after.real, length)
    }

    /// The mean usage per balancer of each hollow process between two snapshots.
    pub(super) fn used_by_hollow(
        before: &Usages,
        after: &Usages,
        length: Duration,
    ) -> Vec<BalancerUsage> {
        balancer_usages(&before.hollow, &after.hollow, length)
    }
}

fn balancer_usages(
    before: &[ProcessUsage],
    after: &[ProcessUsage],
    length: Duration,
) -> Vec<BalancerUsage> {
    before
        .iter()
        .zip(after)
        .map(|(before, after)| mean_balancer_usage(before, after, length))
        .collect()
}

/// The mean usage per balancer of one process between two snapshots.
fn mean_balancer_usage(
    before: &ProcessUsage,
    after: &ProcessUsage,
    length: Duration,
) -> BalancerUsage {
    let balancers = f64::from(after.balancers);
    let processor = after
        .usage
        .processor
        .saturating_sub(before.usage.processor)
        .as_secs_f64();
    let start_processor = before.usage.processor.as_secs_f64();
    BalancerUsage {
        processor_percent: 100.0 * processor / length.as_secs_f64() / balancers,
        start_processor_ms: start_processor * MILLIS_PER_SECOND / balancers,
        resident_mb: after.usage.resident_mb / balancers,
    }
}
