//! balancer: a load balancer on real sockets around the decision module `balancer_core`.
//!
//! [`program`] is the balancer as a process. [`hollow`] runs many balancers without traffic in one process, to measure
//! what knowing the endpoints costs and how long a change of them takes. Both start the same control part: the decision
//! module in its driver, and the discovery client.
//!
//! Modules depend on one another in one direction only: `endpoints`, `body` and `message` hold what is exchanged;
//! `connection_pool`, `connector`, `upstream` and `dispatch` carry attempts out; `endpoint_table` keeps the upstreams that are known; `driver` owns the
//! decision module and uses these, and asks `invariants` before an attempt starts, is written or is answered; `discovery` knows only the consumer of its updates; `control` joins them; `server`,
//! `ops` and `program` come last.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod config;
pub mod endpoints;
pub mod hollow;
pub mod log;
pub mod program;

mod body;
mod clock;
mod connection_pool;
mod connector;
mod control;
mod discovery;
mod dispatch;
mod driver;
mod endpoint_table;
mod inbound;
mod invariants;
mod message;
mod metrics;
mod ops;
mod orders;
mod persist;
mod request_head;
mod responses;
mod server;
mod socket_io;
mod sockets;
mod upstream;

#[cfg(test)]
mod test_support;
