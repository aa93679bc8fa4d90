//! Measures how the costs of a balancer grow with the size of the system around it.
//!
//! Real balancers run as processes on loopback; services, clients and discovery are stand-ins in this process that follow
//! the protocol. An [`experiment::Experiment`] states the sizes, [`run::run`] measures each of them and
//! [`report::Report`] holds the results.
pub mod balancer;
pub mod cli;
pub mod client;
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
pub mod statistics;
pub mod timing;
pub mod toml_file;
pub mod traffic;
