//! A load balancer that runs the core, `balancer_core`, on real sockets.
//!
//! [`process`] is the balancer as a process. [`hollow`] runs many balancers without sockets to clients and upstreams in
//! one process, to measure the cost of the endpoint list and the time until each balancer has applied a change of the
//! list. Both start the same control plane: the driver of the core, and the discovery client.
//!
//! | module | contents |
//! | --- | --- |
//! | `process` | start-up, signals, shutdown, configuration |
//! | `admin` | the admin server, administrative overrides, handoff between processes |
//! | `inbound` | clients' connections, requests and responses |
//! | `control` | the driver of the core and its tables |
//! | `outbound` | endpoints, connections to upstreams, attempts |
//! | `discovery` | the discovery client and endpoint lists |
//! | `invariants` | the guard that checks invariants of attempts, responses and client connections |
//! | `phase`, `clock`, `time`, `harmless_panic` | the phase of the process; time; waiting; panics of the runtime |
//! | `body`, `net`, `telemetry` | bodies; sockets and descriptors; metrics and log events |
//!
//! Imports go one way: `process` uses `admin` and `inbound`; these three use `control`, which uses `outbound` and
//! `discovery`; all of them may use the modules of the last three rows.
// `eprintln!` panics if standard error cannot be written: see `telemetry::log`.
#![cfg_attr(not(test), warn(clippy::print_stderr, clippy::print_stdout))]
#![cfg_attr(
    test,
    allow(
        clippy::disallowed_methods,
        reason = "tests wait by the runtime's clock, which they can pause"
    )
)]

pub mod discovery;
pub mod hollow;
pub mod process;
pub mod telemetry;

mod admin;
mod body;
mod clock;
mod control;
mod harmless_panic;
mod inbound;
mod invariants;
mod memory;
mod net;
mod outbound;
mod phase;
mod time;

#[cfg(test)]
mod test_support;
