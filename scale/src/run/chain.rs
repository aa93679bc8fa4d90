//! A chain of services with balancers between them.
use super::context::Context;
use crate::balancer::configuration::Configuration;
use crate::balancer::BalancerProcess;
use crate::client::ConnectionPool;
use crate::discovery::registry::Endpoint;
use crate::discovery::Discovery;
use crate::error::ScaleError;
use crate::experiment::{Calls, CallsSize};
use crate::machine::Usage;
use crate::service::{ServiceCounters, ServiceInstance, ServiceSettings};
use crate::timing::MeasurementClock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The tenant's quota exceeds the load by this factor, so that no balancer rejects calls because of the quota.
const QUOTA_FACTOR: f64 = 4.0;
/// Changes that a chain's discovery remembers; its list never changes.
const HISTORY: usize = 1;
/// Distances between the seeds of repeats and of tiers. Each is at least the number of seeds that one repeat or
/// one tier uses, so that instances of different repeats and tiers have different seeds.
const SEEDS_PER_REPEAT: u64 = 10_000;
const SEEDS_PER_TIER: u64 = 100;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Running services and balancers. They end when dropped.
pub(super) struct Chain {
    /// The balancer that clients call.
    first_balancer: BalancerProcess,
    /// The balancers beside the instances of services.
    other_balancers: Vec<BalancerProcess>,
    /// The services, the first one last.
    services: Vec<Service>,
    seed: u64,
}

/// A running service with its discovery.
struct Service {
    instances: Vec<ServiceInstance>,
    counters: Arc<ServiceCounters>,
    /// Lists the instances.
    discovery: Discovery,
}

/// The usage of the first balancer and the attempts at each service, counted from the chain's start until one time.
pub(super) struct ChainSnapshot {
    pub(super) first_balancer: Usage,
    /// Attempts that reached each service, the first service first.
    pub(super) attempts: Vec<u64>,
}

impl Chain {
    /// Starts the last service first, so that each balancer finds its endpoints listening.
    pub(super) async fn start(
        context: &Context,
        section: &Calls,
        size: CallsSize,
        clock: MeasurementClock,
        seed: u64,
    ) -> Result<Chain, ScaleError> {
        let builder = ChainBuilder {
            context,
            section,
            size,
            clock,
            seed,
        };
        let mut services = Vec::new();
        let mut other_balancers = Vec::new();
        // The balancers that send calls to the service started last; the next service started calls through them.
        let mut balancers = Vec::new();
        for tier in (0..size.depth).rev() {
            let service = builder.start_service(tier, &balancers)?;
            let discovery = service.discovery.address();
            other_balancers.append(&mut balancers);
            balancers = builder.start_balancers(tier, discovery).await?;
            services.push(service);
        }
        Ok(Chain {
            first_balancer: balancers.remove(0),
            other_balancers,
            services,
            seed,
        })
    }

    /// Where clients call.
    pub(super) fn address(&self) -> SocketAddr {
        self.first_balancer.address
    }

    /// A new connection pool for each instance of the first service.
    pub(super) fn direct_pools(&self) -> Vec<Arc<ConnectionPool>> {
        let instances = self.services.last().map(|service| &service.instances);
        instances
            .into_iter()
            .flatten()
            .map(|instance| Arc::new(ConnectionPool::new(instance.address(), self.seed)))
            .collect()
    }

    /// Reads usage and counters.
    pub(super) fn snapshot(&self) -> Result<ChainSnapshot, ScaleError> {
        let first_service_first = self.services.iter().rev();
        let attempts = first_service_first
            .map(|service| service.counters.attempts())
            .collect();
        Ok(ChainSnapshot {
            first_balancer: self.first_balancer.process.usage()?,
            attempts,
        })
    }

    /// Fails if one of the balancers has ended.
    pub(super) fn ensure_running(&mut self) -> Result<(), ScaleError> {
        self.first_balancer.process.ensure_running()?;
        for balancer in &mut self.other_balancers {
            balancer.process.ensure_running()?;
        }
        Ok(())
    }
}

/// Starts the parts of a chain.
struct ChainBuilder<'a> {
    context: &'a Context,
    section: &'a Calls,
    size: CallsSize,
    clock: MeasurementClock,
    seed: u64,
}

impl ChainBuilder<'_> {
    /// Starts a service and its discovery. Each instance calls the next service through its own one of `balancers`, if
    /// there are any.
    fn start_service(
        &self,
        tier: u32,
        balancers: &[BalancerProcess],
    ) -> Result<Service, ScaleError> {
        let counters = Arc::new(ServiceCounters::default());
        let mut instances = Vec::new();
        for index in 0..self.section.instances {
            let next = balancers.get(index as usize);
            let instance = ServiceInstance::start(
                self.service_settings(tier, index, next),
                counters.clone(),
                self.clock,
                self.seed_of(tier, index),
            )?;
            instances.push(instance);
        }
        let discovery = Discovery::start(endpoints(&instances), HISTORY)?;
        Ok(Service {
            instances,
            counters,
            discovery,
        })
    }

    fn service_settings(
        &self,
        tier: u32,
        index: u32,
        next: Option<&BalancerProcess>,
    ) -> ServiceSettings {
        let is_last = tier + 1 == self.size.depth;
        let failure_fraction = if is_last {
            self.size.leaf_failing_percent / 100.0
        } else {
            0.0
        };
        let section = self.section;
        let seed = self.seed_of(tier, index);
        ServiceSettings {
            cores: section.cores as usize,
            queue: section.queue as usize,
            mean_service_time: Duration::from_secs_f64(
                section.mean_service_time_ms / MILLIS_PER_SECOND,
            ),
            failure_fraction,
            response_bytes: section.response_bytes as usize,
            next: next.map(|balancer| Arc::new(ConnectionPool::new(balancer.address, seed))),
        }
    }

    /// Starts the balancers that send into a tier: one for clients, or one for each instance of the tier before. Returns
    /// when they are ready.
    async fn start_balancers(
        &self,
        tier: u32,
        discovery: SocketAddr,
    ) -> Result<Vec<BalancerProcess>, ScaleError> {
        let count = if tier == 0 { 1 } else { self.section.instances };
        let mut balancers = Vec::new();
        for index in 0..count {
            let configuration = Configuration {
                name: format!("tier{tier}-{index}"),
                discovery,
                seed: self.seed_of(tier, index),
                tier,
                balancers: count,
                index,
                quota_per_second: self.size.calls_per_second * QUOTA_FACTOR,
                max_attempts: self.section.max_attempts,
                deadline_ms: self.section.deadline_ms,
                discovery_mode: self.section.discovery_mode,
            };
            balancers.push(self.context.start_balancer(&configuration)?);
        }
        for balancer in &mut balancers {
            balancer.wait_until_ready().await?;
        }
        Ok(balancers)
    }

    /// The seed of an instance and of the balancer with the same index.
    fn seed_of(&self, tier: u32, index: u32) -> u64 {
        self.seed * SEEDS_PER_REPEAT + u64::from(tier) * SEEDS_PER_TIER + u64::from(index) + 1
    }
}

fn endpoints(instances: &[ServiceInstance]) -> Vec<Endpoint> {
    instances
        .iter()
        .enumerate()
        .map(|(number, instance)| Endpoint::new(number, instance.address()))
        .collect()
}
