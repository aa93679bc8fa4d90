//! The discovery client, and the endpoint lists it receives.

pub(crate) mod consumer;
pub mod endpoints;
pub(crate) mod watch;

mod call_timeouts;
mod client;
