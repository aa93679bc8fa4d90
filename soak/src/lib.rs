//! A randomized fault soak: real balancers on loopback, between stand-ins of clients, upstreams and discovery, while
//! troubles overlap: restarts, reloads, hold-ups, releases, outages, failing system calls, a stepping clock, failing disks.
//!
//! A [`plan::plan`] is drawn from a seed, [`run::run`] plays it, and an [`oracle::Oracle`], which knows nothing of how a
//! balancer decides, checks the rules from outside. See `docs/incidents/` for what it covers and what it has found.
pub mod balancer;
pub mod client;
pub mod discovery;
pub mod oracle;
pub mod plan;
pub mod run;
pub mod trouble;
pub mod upstream;
pub mod wire;
