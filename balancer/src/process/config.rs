//! The configuration as typed values. Errors name the field that is wrong.
use crate::discovery::endpoints::{EndpointListError, EndpointUpdate, TopologyNames};
use balancer_settings::{Deployment, SettingsParseError};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use thiserror::Error;

/// Limit of file descriptors if the configuration states none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The configuration states memory in units of this many bytes.
const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// With a lower limit there are not enough descriptors for clients and upstreams.
const MIN_DESCRIPTORS: usize = 64;

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not valid JSON, lacks a required field at its top level, or is followed by other text.
    #[error("the configuration is not valid: {0}")]
    Json(#[source] serde_json::Error),
    /// A field is malformed, or an object inside the configuration lacks a required field.
    #[error("{path}: {source}")]
    Field {
        /// Where the field is.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[source] SettingsParseError),
    /// A class or tenant has no name.
    #[error("settings.{list}[{index}].name: missing")]
    MissingName {
        /// The list that holds it.
        list: &'static str,
        /// Its position there.
        index: usize,
    },
    /// The seed is malformed.
    #[error("seed: {0:?} is not a hexadecimal number of at most 64 bits")]
    Seed(String),
    /// The limit of file descriptors is too low.
    #[error("limits.sockets: must be at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors,
}

/// The configuration file. The platform defines its keys.
#[derive(Deserialize)]
struct RawConfig {
    name: String,
    #[serde(rename = "listen")]
    listen_address: SocketAddr,
    #[serde(rename = "discovery")]
    discovery_address: SocketAddr,
    #[serde(rename = "ops")]
    admin_address: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(rename = "known")]
    cached_snapshot: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

#[derive(Deserialize, Default)]
struct RawLimits {
    #[serde(rename = "sockets")]
    max_descriptors: Option<usize>,
    #[serde(rename = "memory_mb")]
    max_memory_mb: Option<usize>,
}

/// The configuration of a balancer.
pub struct Config {
    /// The balancer's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Discovery's address.
    pub discovery_address: SocketAddr,
    /// Where operators connect; `None` for no admin server.
    pub admin_address: Option<SocketAddr>,
    /// Seeds the core's random choices.
    pub seed: u64,
    /// Largest number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that all processes of this balancer may use together; `None`: unlimited.
    pub max_memory_bytes: Option<usize>,
    /// The last endpoint list of this balancer, if any. It only saves time, so a malformed list does not keep the
    /// balancer from starting.
    pub cached_snapshot: Result<Option<EndpointUpdate>, EndpointListError>,
    /// The settings of the core and of the sockets.
    pub deployment: Deployment,
}

impl Config {
    /// Parses a configuration.
    pub fn parse(json: &[u8]) -> Result<Config, ConfigError> {
        let raw = RawConfig::parse(json)?;
        let deployment = parse_settings(&raw.settings)?;
        let seed =
            u64::from_str_radix(&raw.seed, 16).map_err(|_| ConfigError::Seed(raw.seed.clone()))?;
        let max_descriptors = raw
            .limits
            .max_descriptors
            .unwrap_or(DEFAULT_MAX_DESCRIPTORS);
        if max_descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors);
        }
        let names = TopologyNames::of(&deployment);
        Ok(Config {
            name: raw.name,
            listen_address: raw.listen_address,
            discovery_address: raw.discovery_address,
            admin_address: raw.admin_address,
            seed,
            max_descriptors,
            max_memory_bytes: raw
                .limits
                .max_memory_mb
                .map(|megabytes| megabytes.saturating_mul(BYTES_PER_MEGABYTE)),
            cached_snapshot: parse_snapshot(raw.cached_snapshot.as_deref(), &names),
            deployment,
        })
    }
}

impl RawConfig {
    fn parse(json: &[u8]) -> Result<RawConfig, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(json);
        let raw: RawConfig = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            match error.path().to_string() {
                path if path == "." => ConfigError::Json(error.into_inner()),
                path => ConfigError::Field {
                    path,
                    source: error.into_inner(),
                },
            }
        })?;
        json.end().map_err(ConfigError::Json)?;
        Ok(raw)
    }
}

fn parse_settings(json: &RawValue) -> Result<Deployment, ConfigError> {
    let deployment = balancer_settings::parse_deployment(json.get().as_bytes())
        .map_err(ConfigError::Settings)?;
    check_names("classes", &deployment.classes)?;
    check_names("tenants", &deployment.tenants)?;
    Ok(deployment)
}

fn check_names(list: &'static str, names: &[String]) -> Result<(), ConfigError> {
    match names.iter().position(String::is_empty) {
        Some(index) => Err(ConfigError::MissingName { list, index }),
        None => Ok(()),
    }
}

fn parse_snapshot(
    json: Option<&RawValue>,
    names: &TopologyNames,
) -> Result<Option<EndpointUpdate>, EndpointListError> {
    match json.map(RawValue::get) {
        None | Some("null") => Ok(None),
        Some(json) => EndpointUpdate::parse(json.as_bytes(), names).map(Some),
    }
}

#[cfg(test)]
mod tests;
