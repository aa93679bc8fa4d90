//! A randomized fault soak: real balancers on loopback, between stand-ins for clients, upstreams and discovery, while
//! faults overlap: restarts, reloads, stalls, releases, outages, failing system calls, a stepping clock, failing disks.
//!
//! [`run::run`] carries out one run, in this order:
//!
//! 1. [`plan`] draws the faults from the seed.
//! 2. [`testbed`] starts the balancers and the stand-ins ([`client`], [`upstream`], [`discovery`]), which record what they
//!    observe through a [`recorder::Recorder`].
//! 3. [`injector`] injects the faults.
//! 4. [`checker`] checks the rules against the [`observations`], without regard to how a balancer makes
//!    its decisions.
//!
//! Modules import one way: each section below imports only from the sections above it.
//! `docs/incidents/` lists what the soak covers and what it has found.

// Shared types.
pub mod discovery_mode;
pub mod fault;
pub mod ids;
pub mod limits;
mod loopback;
pub mod request_class;
pub mod response_body;
pub mod rules;

// What a run draws and observes, and the messages on its connections.
pub mod observations;
pub mod options;
pub mod plan;
pub mod wire;

// The record of a run and its checks.
pub mod checker;
pub mod recorder;

// The balancers and the stand-ins around them.
pub mod balancer;
pub mod build_output;
pub mod client;
pub mod discovery;
pub mod upstream;

// All of them together.
pub mod testbed;

// The faults that are injected into the testbed.
pub mod injector;

// One run.
pub mod run;

// Its report.
pub mod report;
