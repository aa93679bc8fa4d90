//! The state that all client connections share.
use crate::control::driver::DriverHandle;
use crate::control::request_claims::RequestClaims;
use crate::inbound::idle_connections::IdleConnections;
use crate::inbound::response_delivery::ResponseDeliveries;
use crate::invariants::Guard;
use crate::memory::budget::MemoryBudget;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::phase::Phase;
use crate::telemetry::metrics::Metrics;
use balancer_settings::Deployment;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The state that all client connections share.
pub struct ServerContext {
    /// Accepts the requests and selects their upstreams.
    pub driver: DriverHandle,
    /// The settings.
    pub deployment: Deployment,
    /// Limits the number of connections.
    pub descriptors: DescriptorBudget,
    /// Limits the memory of the process.
    pub memory: MemoryBudget,
    /// Counts requests and connections.
    pub metrics: Rc<Metrics>,
    /// Claims requests while another process serves; `None` if there is never one.
    pub claims: Option<Rc<dyn RequestClaims>>,
    /// Checks that requests get a response.
    pub guard: Guard,
    /// The phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// The connections that carry no request now.
    pub idle_connections: Rc<IdleConnections>,
    /// How far the responses on all connections are delivered.
    pub deliveries: Rc<ResponseDeliveries>,
    /// Whether connections are accepted.
    pub is_listening: Cell<bool>,
}

impl ServerContext {
    /// Whether connections close with their next response. After a handoff they do so only once the
    /// listener is closed: a client whose connection closed earlier could connect to the same
    /// listener again and wait in its queue.
    pub fn closes_connections(&self) -> bool {
        let phase = *self.phase.borrow();
        let awaits_listener = phase == Phase::HandedOff && self.is_listening.get();
        phase.closes_connections() && !awaits_listener
    }
}
