//! The balancer as a process: start-up, signals, graceful shutdown and configuration.

pub mod config;
pub mod program;
