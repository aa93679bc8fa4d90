//! Parses the JSON document that holds a balancer's settings.
//!
//! The simulator adapter needs only the core's [`Settings`]; the `balancer` program also needs the names and limits in
//! [`Deployment`]. The platform and the simulator define the document's keys: `document` mirrors them, `conversion`
//! maps them to the terms that the core uses.
mod conversion;
mod document;
mod error;

use balancer_core::Settings;
use document::Setup;
pub use error::SettingsParseError;
use std::time::Duration;

/// The settings of the `balancer` program.
///
/// The core refers to the entries of each list by their positions. A list that the document omits is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The settings of the core.
    pub core: Settings,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// An attempt to connect that takes longer than this counts as refused.
    pub connect_timeout: Duration,
    /// Nothing may be sent to a draining endpoint later than this after the update that reported that it drains.
    pub drain_grace: Duration,
    /// Maximum number of requests in flight at one instance.
    pub max_requests_in_flight: u64,
}

/// Parses the settings of the core. The error names the missing or invalid key.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsParseError> {
    let deployment = parse_deployment(json)?;
    Ok(deployment.core)
}

/// Parses the settings of the `balancer` program. The error names the missing or invalid key.
pub fn parse_deployment(json: &[u8]) -> Result<Deployment, SettingsParseError> {
    let setup = Setup::parse(json)?;
    conversion::to_deployment(setup)
}
