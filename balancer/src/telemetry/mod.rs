//! Metrics and log events.

pub(crate) mod guard_counts;
pub mod log;
pub(crate) mod metrics;
pub(crate) mod upstream_counts;
