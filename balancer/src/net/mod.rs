//! Sockets: streams, reads and writes, the descriptor budget, and retries of failed I/O.

pub(crate) mod descriptor_budget;
mod input_activity;
pub(crate) mod listener;
pub(crate) mod peer;
mod received_bytes;
pub(crate) mod retry_io;
pub(crate) mod shared_stream;
pub(crate) mod socket_io;
pub(crate) mod tcp_stream;
pub(crate) mod watched_descriptor;
