//! The driver's endpoints and their idle connections.
use super::DriverState;
use crate::discovery::endpoints::EndpointUpdate;
use balancer_core::{EndpointCounts, UpstreamId};

impl DriverState {
    /// Whether any endpoint has ever been listed.
    pub fn has_ever_listed_endpoints(&self) -> bool {
        self.endpoints.has_ever_listed()
    }

    /// How many endpoints are listed, and how many of these get no requests at present.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.balancer.endpoint_counts(self.now())
    }

    /// Whether an endpoint is listed, or suspended by an operator.
    pub fn is_known_upstream(&self, id: UpstreamId) -> bool {
        self.balancer.is_suspended(id) || self.endpoints.is_listed(id)
    }

    /// An operator has suspended an endpoint: nothing more is written to it.
    pub fn suspend(&self, id: UpstreamId) {
        self.endpoints.suspend(id);
    }

    /// An operator has restored an endpoint.
    pub fn restore(&self, id: UpstreamId) {
        self.endpoints.restore(id);
    }

    /// Applies an update to the table of endpoints. `full`, not `update.full`, states whether it is the complete list:
    /// a cached snapshot always is.
    pub fn apply_endpoints(&mut self, update: &EndpointUpdate, full: bool) {
        self.endpoints
            .apply(update, full, |id| self.balancer.is_suspended(id));
        for id in self.endpoints.gone_endpoints() {
            self.forget_endpoint_if_unused(id);
        }
    }

    /// Forgets an endpoint that is no longer listed and has no attempt in flight.
    pub(super) fn forget_endpoint_if_unused(&mut self, id: UpstreamId) {
        if self.endpoints.is_gone(id) && !self.attempts.has_attempt_to(id) {
            self.endpoints.forget(id);
        }
    }

    /// How many upstreams have connections that carry only one request each.
    pub fn single_use_upstreams(&self) -> usize {
        self.endpoints.suspect_count()
    }

    /// Closes the idle connections of an endpoint.
    pub fn close_idle_connections(&self, id: UpstreamId) {
        if let Some(upstream) = self.endpoints.upstream(id) {
            upstream.close_idle();
        }
    }

    /// Closes the connection that has been idle longest.
    pub fn close_oldest_idle_connection(&self) {
        self.endpoints.close_oldest_idle();
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired_connections(&self) {
        if let Some(idle_limit) = self.dispatch.idle_limit() {
            self.endpoints.close_expired(idle_limit);
        }
    }
}
