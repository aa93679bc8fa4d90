//! Measures how the costs of a balancer grow with the size of the system around it.
//!
//! Real balancers run as processes on loopback; services, clients and discovery are stand-ins in this process, written
//! from the protocol's description. An [`experiment::Experiment`] states the sizes; [`run::run`] measures each of them
//! and [`report::Report`] holds the results.
pub mod balancer;
pub mod cli;
pub mod client;
pub mod counted;
pub mod discovery;
pub mod error;
pub mod experiment;
pub mod hollow;
pub mod load;
pub mod machine;
pub mod process;
pub mod report;
pub mod run;
pub mod server;
pub mod service;
pub mod stamp;
pub mod statistics;
