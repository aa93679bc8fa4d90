//! Start-up, signals, shutdown and configuration.

pub mod config;
pub mod program;

mod config_file;
mod program_error;
mod reload;
mod runtime;
mod shutdown;
mod shutdown_schedule;
mod signals;
