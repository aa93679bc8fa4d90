//! Socket reads and writes, the descriptor budget, and retries of interrupted I/O.

pub(crate) mod descriptor_budget;
pub(crate) mod retry_io;
pub(crate) mod socket_io;
