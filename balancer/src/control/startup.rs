//! The control part of a balancer: the decision module in its driver, and the discovery client that feeds it. The
//! program and the hollow balancers start it alike.
use crate::control::clock::Clock;
use crate::control::driver::{DriverHandle, DriverOptions};
use crate::control::invariants::Guard;
use crate::discovery::client::{Discovery, ACKNOWLEDGE_INTERVAL};
use crate::discovery::endpoints::EndpointUpdate;
use crate::outbound::dispatch::Dispatch;
use crate::telemetry::log::Log;
use balancer_core::Balancer;
use balancer_settings::Deployment;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the control part starts from.
pub struct ControlOptions<'a> {
    /// The settings.
    pub deployment: &'a Deployment,
    /// Feeds the decision module's random choices.
    pub seed: u64,
    /// The decision module's clock.
    pub clock: Clock,
    /// How attempts are carried out.
    pub dispatch: Dispatch,
    /// Checks what the decision module wants done.
    pub guard: Guard,
    /// The cached snapshot of the endpoints, if there is one.
    pub known: Option<&'a EndpointUpdate>,
    /// The newest value is where discovery is.
    pub discovery: watch::Receiver<SocketAddr>,
    /// Where log lines go.
    pub log: Log,
}

/// The control part, set up. The discovery client is still to be started.
pub struct Control {
    /// The driver of the decision module.
    pub handle: DriverHandle,
    /// Fires the module's timers; ends only if it fails.
    pub timers: JoinHandle<()>,
    /// The discovery client.
    pub discovery: Discovery,
}

impl Control {
    /// Sets the control part up and starts its timers. Must be called within a `LocalSet`.
    pub fn start(options: ControlOptions) -> Result<Control, String> {
        let ControlOptions {
            deployment,
            seed,
            clock,
            dispatch,
            guard,
            known,
            discovery,
            log,
        } = options;
        let mut settings = deployment.policy.clone();
        // The settings' own interval is that of the simulator; on sockets what discovery has counts as acknowledged
        // sooner.
        settings.poll_acknowledge_timeout = settings
            .poll_acknowledge_timeout
            .min(ACKNOWLEDGE_INTERVAL.as_secs_f64() * 1000.0);
        let idempotency_by_class = settings
            .classes
            .iter()
            .map(|class| class.idempotency)
            .collect();
        let rejects_after_start = settings.rejects_after_start;
        let handle = DriverHandle::new(DriverOptions {
            balancer: Balancer::new(settings, seed, clock.now()).map_err(|e| e.to_string())?,
            clock,
            dispatch,
            drain_grace: deployment.drain_grace,
            max_open: usize::try_from(deployment.max_requests_in_flight).unwrap_or(usize::MAX),
            idempotency_by_class,
            rejects_after_start,
            guard,
            log,
        });
        let driver = handle.clone();
        let timers = tokio::task::spawn_local(async move { driver.run().await });
        handle.apply_cached(known);
        let discovery = Discovery::new(
            discovery,
            deployment,
            known.map(|update| update.version),
            log,
        );
        Ok(Control {
            handle,
            timers,
            discovery,
        })
    }
}
