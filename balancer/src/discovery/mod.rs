//! The discovery client with its endpoint watch, and the endpoint lists that it receives.

pub(crate) mod consumer;
pub mod endpoints;
pub(crate) mod watch;

mod call_timeouts;
mod client;
