//! Client connections: accepting, reading request heads, answering.

pub(crate) mod client_stream;
pub(crate) mod request_head;
pub(crate) mod responses;
pub(crate) mod server;
