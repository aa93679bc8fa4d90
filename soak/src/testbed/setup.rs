//! Builds the testbed of a run.
use super::error::SetupError;
use super::{ManagedBalancer, ManagedUpstream, Testbed};
use crate::balancer::{Balancer, Fleet, FleetSettings};
use crate::client::ClientGroup;
use crate::discovery::Discovery;
use crate::ids::{BalancerId, UpstreamId};
use crate::limits::{Limits, SlowStartLimits};
use crate::options::RunOptions;
use crate::recorder::Recorder;
use crate::upstream::{Upstream, UpstreamProfile};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Time that discovery takes to serve all balancers when they poll it at once.
const TOTAL_DISCOVERY_SERVICE_TIME: Duration = Duration::from_millis(3500);
/// Requests a second that the clients of each balancer send.
const REQUESTS_PER_SECOND: f64 = 30.0;
/// Quota of the one tenant, in requests a second for each balancer.
const QUOTA_PER_SECOND: f64 = 60.0;
/// Range of the repeat window that a run draws, in milliseconds.
const REPEAT_WINDOW_MS: Range<u64> = 400..3000;
/// Range of the idle close timeout that a run draws, in milliseconds.
const IDLE_CLOSE_TIMEOUT_MS: Range<u64> = 1500..8000;
/// Range of the mean latency that a run draws for each upstream, in milliseconds.
const MEAN_LATENCY_MS: Range<f64> = 5.0..60.0;
const DRAIN_GRACE: Duration = Duration::from_millis(300);
const SLOW_START_INITIAL_FRACTION: f64 = 0.13;
const SLOW_START_DURATION: Duration = Duration::from_secs(9);
const SLOW_START_OVERLOAD_FACTOR: f64 = 4.0;
const SLOW_START_OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

impl Testbed {
    /// Builds the testbed of a run. The `clients_per_balancer` clients of a balancer share its request rate.
    ///
    /// Draws the settings, then the upstreams, then the agents of discovery. This order must stay, as it decides what a
    /// seed draws.
    pub async fn build(
        options: &RunOptions,
        clients_per_balancer: usize,
    ) -> Result<Testbed, SetupError> {
        let mut random = StdRng::seed_from_u64(options.seed);
        let settings = draw_settings(options, &mut random);
        let recorder = Arc::new(Recorder::new());
        let upstreams = start_upstreams(options.upstreams, &mut random, &recorder).await?;
        let discovery = Arc::new(create_discovery(options, &upstreams, &recorder));
        let mut testbed = Testbed {
            seed: options.seed,
            limits: settings.limits,
            mode: options.mode,
            recorder,
            discovery,
            upstreams,
            balancers: Vec::new(),
            clients_stopped: Arc::new(AtomicBool::new(false)),
        };
        let fleet = Fleet {
            program: options.program.clone(),
            library: options.library.clone(),
            folder: options.folder.clone(),
            mode: options.mode,
            balancers: options.balancers,
            settings,
        };
        let client_request_rate = REQUESTS_PER_SECOND / clients_per_balancer as f64;
        for balancer in (0..options.balancers).map(BalancerId) {
            let discovery_seed = random.random();
            testbed
                .add_balancer(balancer, &fleet, discovery_seed, client_request_rate)
                .await?;
        }
        Ok(testbed)
    }

    async fn add_balancer(
        &mut self,
        id: BalancerId,
        fleet: &Fleet,
        discovery_seed: u64,
        client_request_rate: f64,
    ) -> Result<(), SetupError> {
        let discovery_addresses = [
            self.open_agent(id, discovery_seed).await?,
            self.open_agent(id, !discovery_seed).await?,
        ];
        let balancer = Balancer::new(id, fleet).map_err(|source| SetupError::Balancer {
            balancer: id,
            source,
        })?;
        let clients = ClientGroup::new(
            id,
            balancer.address(),
            client_request_rate,
            self.clients_stopped.clone(),
            self.recorder.clone(),
        );
        self.balancers.push(ManagedBalancer {
            balancer: Mutex::new(balancer),
            overrides_reservation: Mutex::default(),
            clients: Arc::new(clients),
            discovery_addresses,
            uses_second_address: AtomicBool::new(false),
        });
        Ok(())
    }

    async fn open_agent(&self, balancer: BalancerId, seed: u64) -> Result<SocketAddr, SetupError> {
        self.discovery
            .open_agent(balancer, seed)
            .await
            .map_err(|source| SetupError::Discovery { balancer, source })
    }
}

fn draw_settings(options: &RunOptions, random: &mut StdRng) -> FleetSettings {
    let quota_per_second = QUOTA_PER_SECOND * options.balancers as f64;
    let repeat_window = Duration::from_millis(random.random_range(REPEAT_WINDOW_MS));
    let idle_close_timeout = Duration::from_millis(random.random_range(IDLE_CLOSE_TIMEOUT_MS));
    let slow_start = SlowStartLimits {
        capacity_per_second: quota_per_second / options.upstreams as f64,
        initial_fraction: SLOW_START_INITIAL_FRACTION,
        duration: SLOW_START_DURATION,
        overload_factor: SLOW_START_OVERLOAD_FACTOR,
        overload_window: SLOW_START_OVERLOAD_WINDOW,
    };
    FleetSettings {
        quota_per_second,
        idle_close_timeout,
        limits: Limits {
            drain_grace: DRAIN_GRACE,
            repeat_window,
            slow_start,
        },
    }
}

async fn start_upstreams(
    count: usize,
    random: &mut StdRng,
    recorder: &Arc<Recorder>,
) -> Result<Vec<ManagedUpstream>, SetupError> {
    let mut upstreams = Vec::new();
    for id in (0..count).map(UpstreamId) {
        let profile = UpstreamProfile {
            mean_latency_ms: random.random_range(MEAN_LATENCY_MS),
            ..UpstreamProfile::default()
        };
        let seed = random.random();
        let upstream = Upstream::start(id, seed, profile, recorder.clone())
            .await
            .map_err(|source| SetupError::Upstream {
                upstream: id,
                source,
            })?;
        upstreams.push(ManagedUpstream {
            upstream,
            reservation: Mutex::default(),
        });
    }
    Ok(upstreams)
}

fn create_discovery(
    options: &RunOptions,
    upstreams: &[ManagedUpstream],
    recorder: &Arc<Recorder>,
) -> Discovery {
    let addresses: Vec<SocketAddr> = upstreams
        .iter()
        .map(|managed| managed.upstream.address())
        .collect();
    let service_time = TOTAL_DISCOVERY_SERVICE_TIME / options.balancers as u32;
    Discovery::new(
        options.mode,
        &addresses,
        options.balancers,
        service_time,
        recorder.clone(),
    )
}
