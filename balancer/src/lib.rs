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
pub mod discovery;
pub mod hollow;
pub mod process;
pub mod telemetry;

mod admin;
mod body;
mod control;
mod inbound;
mod net;
mod outbound;

#[cfg(test)]
mod test_support;
