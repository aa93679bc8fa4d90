//! The admin endpoint, and the administrative overrides that operators set through it.
//!
//! An override applies to every process of this balancer, so that it outlasts an upgrade. [`override_store`] stores the
//! overrides in a file, [`override_sync`] applies them, and [`process_coordinator`] coordinates the
//! handoff of clients from one process to the next. While two processes serve, [`shared_claims`] sees to it that a request
//! that must not run twice is sent by one of them only.

pub(crate) mod claim_store;
pub(crate) mod override_store;
pub(crate) mod override_sync;
pub(crate) mod process_coordinator;
pub(crate) mod server;
pub(crate) mod shared_claims;

mod command;
mod disk_worker;
mod override_error;
mod overrides;
mod response;
