//! The interface through which the endpoint watch reports updates and failures.
use crate::discovery::endpoints::EndpointUpdate;
use std::future::Future;

/// Why a call for the endpoints returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery responded that it does not serve the call.
    Rejected,
    /// The call failed, or the watch broke.
    Failed,
}

/// Receives endpoint updates from the endpoint watch.
pub trait EndpointConsumer {
    /// Waits until a poll of the endpoints is requested.
    fn poll_requested(&self) -> impl Future<Output = ()>;

    /// Applies an update. It is in force once this returns.
    fn apply(&self, update: &EndpointUpdate);

    /// Discovery responded that nothing has changed.
    fn endpoints_unchanged(&self);

    /// The endpoint watch has switched to another address.
    fn discovery_migrated(&self);

    /// A call failed.
    fn call_failed(&self, failure: CallFailure);
}
