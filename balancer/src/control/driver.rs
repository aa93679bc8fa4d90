//! The driver: the sole owner of the core.
//!
//! It passes events to the core in order and carries out its actions. It also keeps the core's clock, its timers, and
//! the ids of requests and attempts. It makes no decisions itself.
use crate::control::driver_state::DriverState;
use crate::control::request_claims::RequestIdHash;
use crate::discovery::endpoints::{upstream_id, EndpointUpdate};
use crate::telemetry::metrics::Gauges;
use balancer_core::{EndpointCounts, EndpointEvent, Event, Millis};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

pub use crate::control::driver_options::DriverOptions;
pub use submission::ResponseFuture;

mod endpoint_updates;
mod event_loop;
mod submission;

struct SharedDriver {
    state: RefCell<DriverState>,
    /// Notified when a timer is set.
    timers_changed: Notify,
    /// Notified when the core requests a poll of the endpoints.
    poll_requested: Notify,
    /// Notified when discovery has updated or confirmed the endpoints.
    discovery_responded: Notify,
}

/// A handle to the driver. Clones refer to the same driver.
#[derive(Clone)]
pub struct DriverHandle(Rc<SharedDriver>);

impl DriverHandle {
    /// Builds a driver. Its timers fire only while [`DriverHandle::run`] runs.
    pub fn new(options: DriverOptions) -> DriverHandle {
        DriverHandle(Rc::new(SharedDriver {
            state: RefCell::new(DriverState::new(options)),
            timers_changed: Notify::new(),
            poll_requested: Notify::new(),
            discovery_responded: Notify::new(),
        }))
    }

    /// The core's time, in milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        self.0.state.borrow().now()
    }

    /// Whether any endpoint has ever been listed, so that requests can be served.
    pub fn has_ever_listed_endpoints(&self) -> bool {
        self.0.state.borrow().has_ever_listed_endpoints()
    }

    /// How many requests are active: their body is complete, and their clients wait for the response or are still
    /// receiving it.
    pub fn active_requests(&self) -> usize {
        self.0.state.borrow().active_requests()
    }

    /// The requests that no other process of this balancer may run.
    pub fn unrepeatable_requests(&self) -> Vec<RequestIdHash> {
        self.0.state.borrow().unrepeatable_requests()
    }

    /// Remembers requests that another process of this balancer may have run.
    pub fn remember_departed(&self, ids: Vec<RequestIdHash>) {
        self.0.state.borrow_mut().remember_departed(ids);
    }

    /// Limits the deadlines of all requests whose body is completed from now on. None is later than `within` from now.
    pub fn limit_deadlines(&self, within: Duration) {
        self.0.state.borrow_mut().limit_deadlines(within);
    }

    /// Fails each request that waits for its response, because the response would not arrive in time. The
    /// request may have run. A response that has begun is passed on.
    pub fn fail_pending(&self) {
        let failed = self.0.state.borrow_mut().fail_pending();
        for id in failed {
            self.0.state.borrow_mut().remove_if_finished(id);
            self.handle_event(Event::ClientDisconnected(id));
        }
    }

    /// Closes the upstream connection that has been idle longest, because its descriptor is needed elsewhere.
    pub fn close_oldest_idle_connection(&self) {
        self.0.state.borrow().close_oldest_idle_connection();
    }

    /// Waits until an update from discovery has been applied, or discovery has responded that nothing has changed.
    pub async fn discovery_responded(&self) {
        self.0.discovery_responded.notified().await;
    }

    /// Applies the cached snapshot of the endpoints. Without one, the core receives an empty snapshot.
    pub fn apply_cached(&self, snapshot: Option<&EndpointUpdate>) {
        let endpoints = snapshot
            .iter()
            .flat_map(|snapshot| snapshot.core_endpoints())
            .collect();
        if let Some(snapshot) = snapshot {
            self.0.state.borrow_mut().apply_endpoints(snapshot, true);
        }
        self.handle_event(Event::Endpoints(EndpointEvent::CachedSnapshot(endpoints)));
    }

    /// Whether an upstream with this name is listed, or suspended by an operator.
    pub fn is_known_upstream(&self, name: &str) -> bool {
        self.0.state.borrow().is_known_upstream(upstream_id(name))
    }

    /// Suspends an upstream on behalf of an operator. Attempts in flight are not cancelled, but nothing more is written
    /// to the upstream.
    pub fn suspend(&self, name: &str) {
        let id = upstream_id(name);
        self.0.state.borrow().suspend(id);
        self.handle_event(Event::Suspend(id));
    }

    /// Restores an upstream on behalf of an operator, as of `restored_at`. The balancer assumes that the
    /// upstream was restarted while it was suspended.
    pub fn restore(&self, name: &str, restored_at: Millis) {
        let upstream = upstream_id(name);
        self.0.state.borrow().restore(upstream);
        self.handle_event(Event::Restore {
            upstream,
            restored_at,
        });
    }

    /// The current values of the gauges among the metrics.
    pub fn gauges(&self) -> Gauges {
        Gauges {
            active_requests: self.active_requests(),
            endpoints: self.endpoint_counts(),
            single_use_upstreams: self.0.state.borrow().single_use_upstreams(),
        }
    }

    /// How many endpoints are listed, and how many of these get no requests at present.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.0.state.borrow().endpoint_counts()
    }
}

#[cfg(test)]
mod tests;
