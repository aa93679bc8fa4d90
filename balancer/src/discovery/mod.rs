//! The client of the discovery service and the endpoint lists it returns.

pub(crate) mod client;
pub mod endpoints;
