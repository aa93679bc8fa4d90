//! Metrics and log events.

pub mod log;
pub(crate) mod metrics;
