//! Connections to upstreams, and the attempts made on them.

pub(crate) mod attempt;
pub(crate) mod attempt_result;
mod body_pace;
pub(crate) mod compact_headers;
pub(crate) mod connection_pool;
pub(crate) mod connector;
pub(crate) mod dispatch;
pub(crate) mod endpoint_table;
mod fault_periods;
pub(crate) mod headers;
pub(crate) mod message;
mod request_history;
mod response_buffer;
mod response_outcome;
pub(crate) mod response_progress;
mod response_relay;
mod reuse_lease;
mod surplus_history;
pub(crate) mod surplus_reporter;
