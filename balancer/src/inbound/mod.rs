//! The clients' side: the listener, client connections and the requests on them.

mod client_connection;
mod connection_task;
mod context;
mod forwarded_head;
mod idle_connections;
mod request_framing;
mod request_handler;
mod request_head;
mod request_tracker;
pub(crate) mod response_delivery;
mod responses;
pub(crate) mod server;
mod tracked_stream;
