//! Loads the configuration from the file that the environment names. The environment may also state the admin address.
use crate::net::retry_io::retry_io;
use crate::process::config::{Config, ConfigError};
use std::env::VarError;
use std::io;
use std::net::AddrParseError;
use std::time::Duration;
use thiserror::Error;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// The environment variable that states the admin address if the configuration does not.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_OPS";

/// Why the configuration was not loaded.
#[derive(Debug, Error)]
pub enum ConfigLoadError {
    /// The environment names no file.
    #[error("{CONFIG_VARIABLE}: {0}")]
    NoPath(#[source] VarError),
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error("{0}")]
    Invalid(#[from] ConfigError),
    /// The admin address in the environment is malformed.
    #[error("{ADMIN_ADDRESS_VARIABLE}: {address:?}: {source}")]
    AdminAddress {
        /// The address as stated.
        address: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
}

/// Loads the configuration. If reading the file fails for a transient reason, the read is retried for up to
/// `retry_limit`.
pub async fn load_config(retry_limit: Duration) -> Result<Config, ConfigLoadError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigLoadError::NoPath)?;
    let text = match retry_io(retry_limit, || std::fs::read(&path)).await {
        Ok(text) => text,
        Err(source) => return Err(ConfigLoadError::Unreadable { path, source }),
    };
    let mut config = Config::parse(&text)?;
    if config.admin_address.is_some() {
        return Ok(config);
    }
    let address = std::env::var(ADMIN_ADDRESS_VARIABLE).unwrap_or_default();
    if !address.is_empty() {
        let parsed = address
            .parse()
            .map_err(|source| ConfigLoadError::AdminAddress { address, source })?;
        config.admin_address = Some(parsed);
    }
    Ok(config)
}
