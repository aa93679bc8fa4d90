//! The control plane of a balancer: the driver of the core, and the endpoint watch that feeds it. It is the same in
//! the process and in hollow balancers.
use crate::clock::{to_millis, Clock};
use crate::control::driver::{DriverHandle, DriverOptions};
use crate::discovery::endpoints::EndpointUpdate;
use crate::discovery::watch::{EndpointWatch, EndpointWatchOptions, POLL_ACKNOWLEDGE_TIMEOUT};
use crate::invariants::Guard;
use crate::outbound::dispatch::Dispatch;
use crate::telemetry::log::LogOutput;
use balancer_core::{Balancer, Settings, SettingsError};
use balancer_settings::Deployment;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a control plane is built from.
pub struct ControlPlaneOptions<'a> {
    /// The settings of the deployment.
    pub deployment: &'a Deployment,
    /// Seeds the core's random choices.
    pub seed: u64,
    /// The core's clock.
    pub clock: Clock,
    /// Carries out attempts.
    pub dispatch: Dispatch,
    /// Checks the core's actions.
    pub guard: Guard,
    /// The cached snapshot of the endpoints, if there is one.
    pub cached_snapshot: Option<&'a EndpointUpdate>,
    /// Holds the current address of discovery.
    pub discovery_addresses: watch::Receiver<SocketAddr>,
    /// Receives log lines.
    pub log: LogOutput,
}

/// A control plane whose timers run. Its endpoint watch is not started yet.
pub struct ControlPlane {
    /// The driver of the core.
    pub driver: DriverHandle,
    /// The task that fires the driver's timers. It ends only if it panics or is aborted.
    pub timers: JoinHandle<()>,
    /// Keeps the endpoint list up to date.
    pub endpoint_watch: EndpointWatch,
}

impl ControlPlane {
    /// Builds a control plane and starts its timers. Must be called within a `LocalSet`.
    pub fn start(options: ControlPlaneOptions) -> Result<ControlPlane, SettingsError> {
        let driver = DriverHandle::new(driver_options(&options)?);
        let running_driver = driver.clone();
        let timers = tokio::task::spawn_local(async move { running_driver.run().await });
        driver.apply_cached(options.cached_snapshot);
        let endpoint_watch = EndpointWatch::new(EndpointWatchOptions {
            addresses: options.discovery_addresses,
            deployment: options.deployment,
            known_version: options.cached_snapshot.map(|update| update.version),
            log: options.log,
        });
        Ok(ControlPlane {
            driver,
            timers,
            endpoint_watch,
        })
    }
}

fn driver_options(options: &ControlPlaneOptions) -> Result<DriverOptions, SettingsError> {
    let deployment = options.deployment;
    let settings = cap_poll_acknowledge_timeout(&deployment.core);
    let idempotency_by_class = settings
        .classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    let rejects_after_start = settings.rejects_after_start;
    Ok(DriverOptions {
        balancer: Balancer::new(settings, options.seed, options.clock.now())?,
        clock: options.clock,
        dispatch: options.dispatch.clone(),
        drain_grace: deployment.drain_grace,
        max_pending_requests: usize::try_from(deployment.max_requests_in_flight)
            .unwrap_or(usize::MAX),
        idempotency_by_class,
        rejects_after_start,
        guard: options.guard.clone(),
        log: options.log,
    })
}

/// The core's settings for a balancer that talks to real discovery. `poll_acknowledge_timeout` of the deployment is
/// that of the simulator. Real discovery counts a change as acknowledged sooner, so [`POLL_ACKNOWLEDGE_TIMEOUT`] limits
/// it.
fn cap_poll_acknowledge_timeout(core: &Settings) -> Settings {
    let mut settings = core.clone();
    settings.poll_acknowledge_timeout = settings
        .poll_acknowledge_timeout
        .min(to_millis(POLL_ACKNOWLEDGE_TIMEOUT));
    settings
}
