//! The receiver of what the discovery client learns.
use crate::discovery::endpoints::EndpointUpdate;
use std::future::Future;

/// Why a call for the endpoints brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery responded that it does not serve the call.
    Rejected,
    /// The call failed, or the watch broke.
    Failed,
}

/// Receives endpoint updates from the discovery client.
pub trait EndpointConsumer {
    /// Waits until the endpoints are to be polled.
    fn poll_requested(&self) -> impl Future<Output = ()>;

    /// Puts an update in force; it is in force once this returns.
    fn apply(&self, update: &EndpointUpdate);

    /// Discovery responded that nothing has changed.
    fn endpoints_unchanged(&self);

    /// Discovery is at another address from now on.
    fn discovery_migrated(&self);

    /// A call failed.
    fn update_failed(&self, failure: CallFailure);
}
