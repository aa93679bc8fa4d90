//! Hollow balancers: the decision module, the discovery client and the endpoint state of a balancer, without the
//! sockets to clients and to upstreams. Thousands of them run on one thread.
//!
//! Each holds one connection to discovery, which counts against the process's limit of file descriptors.
use crate::control::clock::{to_millis, Clock};
use crate::control::driver::DriverHandle;
use crate::control::invariants::Guard;
use crate::control::startup::{Control, ControlOptions};
use crate::discovery::endpoints::{EndpointConsumer, EndpointUpdate};
use crate::outbound::dispatch::Dispatch;
use crate::outbound::message::{FinalResponse, OutboundRequest, SubmitError};
use crate::telemetry::log::LogOutput;
use crate::telemetry::metrics::Metrics;
pub use balancer_core::EndpointCounts;
use balancer_settings::Deployment;
use hyper::{HeaderMap, Method, Uri};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What a hollow balancer starts from.
#[derive(Clone, Copy, Debug)]
pub struct HollowOptions<'a> {
    /// The settings.
    pub deployment: &'a Deployment,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The cached snapshot of the endpoints, if there is one: only what is newer is then asked for.
    pub known: Option<&'a EndpointUpdate>,
    /// Feeds the decision module's random choices.
    pub seed: u64,
    /// Where log lines go.
    pub log: LogOutput,
}

/// An update of the endpoints that a balancer has put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// The version that discovery gave it.
    pub version: u64,
    /// Whether it was the whole list.
    pub full: bool,
    /// How many endpoints it held.
    pub endpoints: usize,
    /// When it was in force: the decision module and the endpoint state had taken it.
    pub applied_at: SystemTime,
}

/// How a request at a hollow balancer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The decision module sent it to an upstream, which would have served it.
    Served,
    /// Refused: another try does no harm.
    Refused,
    /// Failed.
    Failed,
}

/// A balancer without sockets to clients and upstreams. It ends when dropped.
pub struct HollowBalancer {
    handle: DriverHandle,
    tasks: [AbortHandle; 2],
    /// Kept, as the discovery client ends without it.
    discovery: watch::Sender<SocketAddr>,
}

impl HollowBalancer {
    /// Starts a balancer, which connects to discovery at once. `on_update` is called for each update once it is in
    /// force, but not for the cached snapshot. Fails if the settings are invalid.
    ///
    /// # Panics
    ///
    /// Outside a `tokio::task::LocalSet`.
    pub fn start(
        options: HollowOptions,
        on_update: impl Fn(AppliedUpdate) + 'static,
    ) -> Result<HollowBalancer, String> {
        let (discovery, addresses) = watch::channel(options.discovery);
        let control = Control::start(ControlOptions {
            deployment: options.deployment,
            seed: options.seed,
            clock: Clock::start(),
            dispatch: Dispatch::Hollow,
            guard: Guard::new(Metrics::new(&options.deployment.classes)),
            known: options.known,
            discovery: addresses,
            log: options.log,
        })?;
        let handle = control.handle;
        let consumer = ObservedConsumer {
            handle: handle.clone(),
            on_update,
        };
        let client = tokio::task::spawn_local(control.discovery.run(consumer));
        let tasks = [control.timers.abort_handle(), client.abort_handle()];
        Ok(HollowBalancer {
            handle,
            tasks,
            discovery,
        })
    }

    /// Moves the discovery client to another address, as a reload of the configuration does.
    pub fn move_discovery(&self, address: SocketAddr) {
        self.discovery.send_replace(address);
    }

    /// How many endpoints are known. Looks at each of them.
    pub fn endpoints(&self) -> EndpointCounts {
        self.handle.endpoint_counts()
    }

    /// Feeds the decision module a request of a class and tenant, given by their positions in the settings, which waits
    /// for this long at most. Whatever upstream the module picks serves it at once.
    pub async fn request(&self, class: usize, tenant: usize, deadline: Duration) -> RequestOutcome {
        match self
            .handle
            .submit(class, tenant, to_millis(deadline), empty_request())
        {
            Ok(waiting) => match waiting.response().await {
                FinalResponse::Served { .. } => RequestOutcome::Served,
                FinalResponse::Rejected { .. } => RequestOutcome::Refused,
                FinalResponse::ClientError(_)
                | FinalResponse::RequestBodyFailed(_)
                | FinalResponse::Failed => RequestOutcome::Failed,
            },
            Err(SubmitError::AtCapacity | SubmitError::DuplicateRequestId) => {
                RequestOutcome::Refused
            }
        }
    }
}

impl Drop for HollowBalancer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Hands updates to the driver and reports those that are in force.
struct ObservedConsumer<F> {
    handle: DriverHandle,
    on_update: F,
}

impl<F: Fn(AppliedUpdate)> EndpointConsumer for ObservedConsumer<F> {
    async fn subscribed(&self) {
        self.handle.subscribed().await;
    }

    fn apply(&self, update: &EndpointUpdate) {
        self.handle.apply(update);
        (self.on_update)(AppliedUpdate {
            version: update.version,
            full: update.full,
            endpoints: update.endpoints.len(),
            applied_at: SystemTime::now(),
        });
    }

    fn confirm(&self) {
        self.handle.confirm();
    }

    fn moved(&self) {
        self.handle.moved();
    }

    fn update_failed(&self, refused: bool) {
        self.handle.update_failed(refused);
    }
}

/// A request that nothing is written of.
fn empty_request() -> OutboundRequest {
    OutboundRequest {
        request_id: None,
        method: Method::GET,
        target: Uri::default(),
        headers: HeaderMap::new(),
        body: crate::body::request_body::RequestBody::Buffered(bytes::Bytes::new()),
        ended: Cell::new(false),
        client: None,
    }
}
