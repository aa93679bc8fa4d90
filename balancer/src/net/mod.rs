//! Sockets: streams, reads and writes, the descriptor budget, and retries of failed I/O.

pub(crate) mod descriptor_budget;
mod received_bytes;
pub(crate) mod retry_io;
pub(crate) mod shared_stream;
pub(crate) mod socket_io;
