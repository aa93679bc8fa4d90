//! One measurement of calls: a chain of services, balancers between them, and clients at the top.
use super::Context;
use crate::balancer::configuration::Configuration;
use crate::balancer::BalancerProcess;
use crate::client::{CallKind, ConnectionUse, Pool};
use crate::discovery::registry::Endpoint;
use crate::discovery::Discovery;
use crate::error::ScaleError;
use crate::experiment::{Calls, CallsSize};
use crate::load::{send, CallOutcome, CallRecord, LoadPlan};
use crate::machine::Usage;
use crate::report::{CallsFigures, GroupTimes, LoadFigures, Outcomes};
use crate::service::{ServiceCounters, ServiceInstance, ServiceSettings};
use crate::stamp::Clock;
use crate::statistics::Times;
use bytes::Bytes;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Tenants' quotas are above the load by this factor: admission is not what is measured.
const QUOTA_FACTOR: f64 = 4.0;
/// Changes that a chain's discovery remembers; there are none.
const HISTORY: usize = 1;
/// Sets the seed of the straight load apart.
const STRAIGHT_SEED: u64 = 1 << 32;

/// Services and balancers that run; they end when dropped.
struct Chain {
    /// The balancer that clients call.
    first: BalancerProcess,
    /// Those beside the instances of services.
    others: Vec<BalancerProcess>,
    /// Instances of all services; kept running.
    _instances: Vec<ServiceInstance>,
    /// By service, the first one first.
    counters: Vec<Arc<ServiceCounters>>,
    /// To the instances of the first service.
    straight: Vec<Arc<Pool>>,
    _discoveries: Vec<Discovery>,
}

/// What a chain has done up to a moment.
struct Snapshot {
    first: Usage,
    attempts: Vec<u64>,
}

pub(super) async fn measure(
    context: &Context,
    section: &Calls,
    size: CallsSize,
    repeat: u32,
) -> Result<CallsFigures, ScaleError> {
    let clock = Clock::start();
    let seed = context.seed(repeat);
    let mut chain = Chain::start(context, section, size, clock, seed).await?;
    let plan = load_plan(context, section, size, seed);
    let straight = match section.straight {
        true => {
            let plan = LoadPlan {
                seed: seed + STRAIGHT_SEED,
                ..plan.clone()
            };
            let records = send(plan, chain.straight.clone(), clock).await;
            Some(load_figures(&records, context.warmup()))
        }
        false => None,
    };
    let pool = Arc::new(Pool::new(chain.first.address, seed));
    let snapshots = async {
        tokio::time::sleep(context.warmup()).await;
        let before = chain.snapshot()?;
        tokio::time::sleep(context.measure()).await;
        Ok::<_, ScaleError>((before, chain.snapshot()?))
    };
    let (records, snapshots) = tokio::join!(send(plan, vec![pool], clock), snapshots);
    let (before, after) = snapshots?;
    chain.ensure_running()?;
    Ok(figures(
        load_figures(&records, context.warmup()),
        straight,
        &before,
        &after,
    ))
}

fn load_plan(context: &Context, section: &Calls, size: CallsSize, seed: u64) -> LoadPlan {
    LoadPlan {
        calls_per_second: size.calls_per_second,
        duration: context.warmup() + context.measure(),
        read_share: section.get_percent / 100.0,
        new_connection_share: section.new_connection_percent / 100.0,
        body: Bytes::from(vec![b'.'; section.body_bytes as usize]),
        deadline: Duration::from_millis(u64::from(section.deadline_ms)),
        seed,
    }
}

fn figures(
    through: LoadFigures,
    straight: Option<LoadFigures>,
    before: &Snapshot,
    after: &Snapshot,
) -> CallsFigures {
    let calls = through.outcomes.calls.max(1) as f64;
    let processor = after.first.processor.saturating_sub(before.first.processor);
    let attempts = after.attempts.iter().zip(&before.attempts);
    CallsFigures {
        processor_us_per_call: processor.as_secs_f64() * 1e6 / calls,
        resident_mb: after.first.resident_mb,
        attempts_per_call: attempts
            .map(|(after, before)| (after - before) as f64 / calls)
            .collect(),
        through,
        straight,
    }
}

impl Chain {
    /// Starts the last service first, so that each balancer finds its endpoints listening.
    async fn start(
        context: &Context,
        section: &Calls,
        size: CallsSize,
        clock: Clock,
        seed: u64,
    ) -> Result<Chain, ScaleError> {
        let mut builder = ChainBuilder {
            context,
            section,
            size,
            clock,
            seed,
            started: Vec::new(),
        };
        let (mut instances, mut discoveries, mut others) = (Vec::new(), Vec::new(), Vec::new());
        let mut counters = Vec::new();
        let mut straight = Vec::new();
        for tier in (0..size.depth).rev() {
            let count = Arc::new(ServiceCounters::default());
            let balancers = builder.take_started();
            let service = builder.service(tier, &balancers, &count)?;
            others.extend(balancers);
            counters.insert(0, count);
            let discovery = Discovery::start(endpoints(&service), HISTORY)?;
            builder.balancers(tier, &discovery).await?;
            straight = service
                .iter()
                .map(|i| Arc::new(Pool::new(i.address(), seed)))
                .collect();
            instances.extend(service);
            discoveries.push(discovery);
        }
        let first = builder.started.remove(0);
        Ok(Chain {
            first,
            others,
            counters,
            straight,
            _instances: instances,
            _discoveries: discoveries,
        })
    }

    fn snapshot(&self) -> Result<Snapshot, ScaleError> {
        let attempts = self
            .counters
            .iter()
            .map(|c| c.attempts.load(Ordering::Relaxed))
            .collect();
        Ok(Snapshot {
            first: self.first.process.usage()?,
            attempts,
        })
    }

    fn ensure_running(&mut self) -> Result<(), ScaleError> {
        self.first.process.ensure_running()?;
        self.others
            .iter_mut()
            .try_for_each(|balancer| balancer.process.ensure_running())
    }
}

/// Starts one tier after the other.
struct ChainBuilder<'a> {
    context: &'a Context,
    section: &'a Calls,
    size: CallsSize,
    clock: Clock,
    seed: u64,
    /// The balancers that send into the tier that was started last.
    started: Vec<BalancerProcess>,
}

impl ChainBuilder<'_> {
    fn take_started(&mut self) -> Vec<BalancerProcess> {
        std::mem::take(&mut self.started)
    }

    /// The instances of a tier; each calls on through its own of these balancers, if there are any.
    fn service(
        &self,
        tier: u32,
        balancers: &[BalancerProcess],
        counters: &Arc<ServiceCounters>,
    ) -> Result<Vec<ServiceInstance>, ScaleError> {
        let leaf = tier + 1 == self.size.depth;
        let start = |index: u32| {
            let seed = self.seed_of(tier, index);
            let next = balancers.get(index as usize);
            let settings = ServiceSettings {
                cores: self.section.cores as usize,
                queue: self.section.queue as usize,
                answer_time: Duration::from_secs_f64(self.section.answer_ms / 1000.0),
                failing: if leaf {
                    self.size.leaf_failing_percent / 100.0
                } else {
                    0.0
                },
                answer_bytes: self.section.answer_bytes as usize,
                next: next.map(|balancer| Arc::new(Pool::new(balancer.address, seed))),
            };
            Ok(ServiceInstance::start(
                settings,
                counters.clone(),
                self.clock,
                seed,
            )?)
        };
        (0..self.section.instances).map(start).collect()
    }

    /// The balancers that send into a tier: one for clients, or one for each instance of the tier before.
    async fn balancers(&mut self, tier: u32, discovery: &Discovery) -> Result<(), ScaleError> {
        let balancers = if tier == 0 { 1 } else { self.section.instances };
        for index in 0..balancers {
            let configuration = Configuration {
                name: format!("tier{tier}-{index}"),
                discovery: discovery.address(),
                seed: self.seed_of(tier, index),
                tier,
                balancers,
                index,
                quota_per_second: self.size.calls_per_second * QUOTA_FACTOR,
                attempts_cap: self.section.attempts_cap,
                deadline_ms: self.section.deadline_ms,
                membership: self.section.membership,
            };
            let (deployment, workspace) = (&self.context.deployment, &self.context.workspace);
            self.started.push(BalancerProcess::start(
                deployment,
                workspace,
                &configuration,
            )?);
        }
        for balancer in &mut self.started {
            balancer.ready().await?;
        }
        Ok(())
    }

    /// Sets the random choices of each instance and balancer apart.
    fn seed_of(&self, tier: u32, index: u32) -> u64 {
        self.seed * 10_000 + u64::from(tier) * 100 + u64::from(index) + 1
    }
}

fn endpoints(service: &[ServiceInstance]) -> Vec<Endpoint> {
    service
        .iter()
        .enumerate()
        .map(|(number, instance)| Endpoint::new(number, instance.address()))
        .collect()
}

/// The figures of the calls that were planned after the warm-up.
fn load_figures(records: &[CallRecord], warmup: Duration) -> LoadFigures {
    let counted: Vec<&CallRecord> = records
        .iter()
        .filter(|record| record.planned >= warmup)
        .collect();
    let served: Vec<&CallRecord> = counted
        .iter()
        .copied()
        .filter(|record| record.outcome == CallOutcome::Served)
        .collect();
    LoadFigures {
        outcomes: outcomes(&counted),
        send_lateness: times(counted.iter().map(|record| record.lateness)).percentiles(),
        latency: times(served.iter().map(|record| record.latency)).percentiles(),
        outside_service: times(served.iter().filter_map(|record| record.outside_service))
            .percentiles(),
        request_way: times(served.iter().filter_map(|record| record.request_way)).percentiles(),
        groups: groups(&served),
    }
}

fn outcomes(records: &[&CallRecord]) -> Outcomes {
    let count = |outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count() as u64
    };
    Outcomes {
        calls: records.len() as u64,
        served: count(CallOutcome::Served),
        rejected: count(CallOutcome::Rejected),
        failed: count(CallOutcome::Failed),
        unanswered: count(CallOutcome::Unanswered),
    }
}

fn groups(served: &[&CallRecord]) -> Vec<GroupTimes> {
    let kinds = [CallKind::Read, CallKind::Order];
    let uses = [ConnectionUse::Idle, ConnectionUse::New];
    let pairs = kinds
        .iter()
        .flat_map(|&kind| uses.iter().map(move |&connection| (kind, connection)));
    pairs
        .map(|(kind, connection)| {
            let of_group = served
                .iter()
                .filter(|r| r.kind == kind && r.connection == connection);
            GroupTimes {
                class: kind.class(),
                new_connection: connection == ConnectionUse::New,
                outside_service: times(of_group.filter_map(|record| record.outside_service))
                    .percentiles(),
            }
        })
        .collect()
}

fn times(values: impl Iterator<Item = Duration>) -> Times {
    let mut times = Times::default();
    values.for_each(|value| times.record(value));
    times
}
