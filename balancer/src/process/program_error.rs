//! Why the program ended with a failure.
use crate::process::config_file::ConfigLoadError;
use balancer_core::SettingsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// Why the program ended with a failure.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signals could not be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration was not loaded.
    #[error("{0}")]
    Config(#[from] ConfigLoadError),
    /// The core does not accept the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The admin server cannot listen.
    #[error("ops: cannot listen at {address}: {source}")]
    AdminListen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address at which the admin server listens is unknown.
    #[error("ops: cannot determine the address of the admin endpoint: {0}")]
    AdminAddress(#[source] io::Error),
    /// The balancer cannot listen for clients.
    #[error("listen: cannot listen at {address}: {source}")]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The driver's timers stopped.
    #[error("the driver's timers stopped, with the result {0:?}")]
    TimersStopped(Result<(), JoinError>),
}
