//! Hollow balancers: the control plane and the endpoint state of a balancer, without sockets to clients and upstreams.
//! Thousands of them run on one thread.
//!
//! Each holds one connection to discovery, which counts against the process's limit of file descriptors.
use crate::body::request_body::RequestBody;
use crate::clock::Clock;
use crate::control::control_plane::{ControlPlane, ControlPlaneOptions};
use crate::control::driver::DriverHandle;
use crate::discovery::consumer::{CallFailure, EndpointConsumer};
use crate::discovery::endpoints::EndpointUpdate;
use crate::invariants::Guard;
use crate::outbound::compact_headers::CompactHeaders;
use crate::outbound::dispatch::Dispatch;
use crate::outbound::message::{FinalResponse, OutboundRequest, SubmitError};
use crate::telemetry::log::LogOutput;
use crate::telemetry::metrics::Metrics;
use balancer_settings::Deployment;
use bytes::Bytes;
use hyper::{Method, Uri};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::sync::watch;
use tokio::task::AbortHandle;

pub use crate::telemetry::metrics::RequestOutcome;
pub use balancer_core::{EndpointCounts, SettingsError};

/// The options with which a hollow balancer starts.
#[derive(Clone, Copy, Debug)]
pub struct HollowOptions<'a> {
    /// The settings.
    pub deployment: &'a Deployment,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The cached snapshot of the endpoints, if there is one. The balancer then fetches only what is newer.
    pub cached_snapshot: Option<&'a EndpointUpdate>,
    /// Seeds the core's random choices.
    pub seed: u64,
    /// Receives log lines.
    pub log: LogOutput,
}

/// An endpoint update that a balancer has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// The version that discovery gave it.
    pub version: u64,
    /// Whether it was the complete list.
    pub full: bool,
    /// How many endpoints it held.
    pub endpoints: usize,
    /// When the core and the endpoint state had applied the update.
    pub applied_at: SystemTime,
}

/// A balancer without sockets to clients and upstreams. It stops when dropped.
pub struct HollowBalancer {
    driver: DriverHandle,
    tasks: [AbortHandle; 2],
    /// The discovery client ends when this is dropped.
    discovery_address: watch::Sender<SocketAddr>,
}

impl HollowBalancer {
    /// Starts a balancer, which connects to discovery at once. It calls `on_update` for each update once the update is
    /// applied, but not for the cached snapshot. Fails if the settings are invalid.
    ///
    /// # Panics
    ///
    /// Outside a `tokio::task::LocalSet`.
    pub fn start(
        options: HollowOptions,
        on_update: impl Fn(AppliedUpdate) + 'static,
    ) -> Result<HollowBalancer, SettingsError> {
        let (discovery_address, addresses) = watch::channel(options.discovery);
        let control_plane = ControlPlane::start(ControlPlaneOptions {
            deployment: options.deployment,
            seed: options.seed,
            clock: Clock::start(),
            dispatch: Dispatch::Simulated,
            guard: Guard::new(Metrics::new(&options.deployment.classes)),
            cached_snapshot: options.cached_snapshot,
            discovery_addresses: addresses,
            log: options.log,
        })?;
        let driver = control_plane.driver;
        let consumer = ObservedConsumer {
            driver: driver.clone(),
            on_update,
        };
        let client = tokio::task::spawn_local(control_plane.endpoint_watch.run(consumer));
        let tasks = [control_plane.timers.abort_handle(), client.abort_handle()];
        Ok(HollowBalancer {
            driver,
            tasks,
            discovery_address,
        })
    }

    /// Migrates the discovery client to another address, as a reload of the configuration does.
    pub fn migrate_discovery(&self, address: SocketAddr) {
        self.discovery_address.send_replace(address);
    }

    /// How many endpoints are listed and avoided. Takes time in proportion to their number.
    pub fn endpoints(&self) -> EndpointCounts {
        self.driver.endpoint_counts()
    }

    /// Submits a request of a class and tenant, given by their positions in the settings. The endpoint that the core
    /// selects serves it at once.
    pub async fn request(
        &self,
        class: usize,
        tenant: usize,
        client_timeout: Duration,
    ) -> RequestOutcome {
        let submitted = self
            .driver
            .submit(class, tenant, empty_request(client_timeout));
        let response = match submitted {
            Ok(response) => response.response().await,
            Err(
                SubmitError::AtCapacity | SubmitError::DuplicateRequestId | SubmitError::MayHaveRun,
            ) => return RequestOutcome::Rejected,
        };
        match response {
            FinalResponse::Served { .. } => RequestOutcome::Served,
            FinalResponse::Rejected { .. } => RequestOutcome::Rejected,
            FinalResponse::ClientError(_)
            | FinalResponse::RequestBodyFailed(_)
            | FinalResponse::Failed => RequestOutcome::Failed,
        }
    }
}

impl Drop for HollowBalancer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Passes updates to the driver and reports each after it is applied.
struct ObservedConsumer<F> {
    driver: DriverHandle,
    on_update: F,
}

impl<F: Fn(AppliedUpdate)> EndpointConsumer for ObservedConsumer<F> {
    async fn poll_requested(&self) {
        self.driver.poll_requested().await;
    }

    fn apply(&self, update: &EndpointUpdate) {
        self.driver.apply(update);
        (self.on_update)(AppliedUpdate {
            version: update.version,
            full: update.full,
            endpoints: update.endpoints.len(),
            applied_at: SystemTime::now(),
        });
    }

    fn endpoints_unchanged(&self) {
        self.driver.endpoints_unchanged();
    }

    fn discovery_migrated(&self) {
        self.driver.discovery_migrated();
    }

    fn call_failed(&self, failure: CallFailure) {
        self.driver.call_failed(failure);
    }
}

/// A request that is never written to a socket.
fn empty_request(client_timeout: Duration) -> OutboundRequest {
    OutboundRequest {
        request_id: None,
        method: Method::GET,
        target: Uri::default(),
        headers: CompactHeaders::default(),
        body: RequestBody::Buffered(Bytes::new()),
        client_timeout,
        deadline: Cell::new(None),
        ended: Cell::new(false),
        client: None,
    }
}
