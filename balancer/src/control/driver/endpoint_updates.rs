//! Passes on to the core what the endpoint watch reports.
use super::DriverHandle;
use crate::discovery::consumer::{CallFailure, EndpointConsumer};
use crate::discovery::endpoints::EndpointUpdate;
use balancer_core::{EndpointEvent, Event};

impl EndpointConsumer for DriverHandle {
    async fn poll_requested(&self) {
        self.0.poll_requested.notified().await;
    }

    fn apply(&self, update: &EndpointUpdate) {
        self.0
            .state
            .borrow_mut()
            .apply_endpoints(update, update.full);
        tracing::debug!(
            version = update.version,
            full = update.full,
            "endpoints updated"
        );
        let endpoints = update.core_endpoints().collect();
        let event = if update.full {
            EndpointEvent::Snapshot(endpoints)
        } else {
            EndpointEvent::Delta(endpoints)
        };
        self.handle_event(Event::Endpoints(event));
        self.0.discovery_responded.notify_one();
    }

    fn endpoints_unchanged(&self) {
        self.handle_event(Event::Endpoints(EndpointEvent::Unchanged));
        self.0.discovery_responded.notify_one();
    }

    fn discovery_migrated(&self) {
        self.handle_event(Event::Endpoints(EndpointEvent::DiscoveryMigrated));
    }

    fn call_failed(&self, failure: CallFailure) {
        let event = match failure {
            CallFailure::Rejected => EndpointEvent::DiscoveryRejected,
            CallFailure::Failed => EndpointEvent::DiscoveryFailed,
        };
        self.handle_event(Event::Endpoints(event));
    }
}
