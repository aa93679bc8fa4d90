//! Reads the settings that a balancer starts with from their JSON document.
//!
//! The simulator's adapter needs only the core's [`Settings`]; the balancer on sockets also needs the names and limits
//! in [`Deployment`]. The document's keys are fixed by the platform and by the simulator: `document` mirrors them,
//! `conversion` maps them to the standard terms.
mod conversion;
mod document;
mod error;

use balancer_core::Settings;
use document::Setup;
pub use error::SettingsParseError;
use std::time::Duration;

/// The settings of a balancer on sockets.
///
/// The names in each list stand at the position by which the core refers to them. A list that the document omits is
/// empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The settings of the core.
    pub policy: Settings,
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
    /// Time after which nothing may be sent to a draining endpoint.
    pub drain_grace: Duration,
    /// Maximum number of requests in flight at one instance.
    pub max_requests_in_flight: u64,
}

/// Reads the settings of the core. The error names the key at fault.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsParseError> {
    let deployment = parse_deployment(json)?;
    Ok(deployment.policy)
}

/// Reads the settings of a balancer on sockets. The error names the key at fault.
pub fn parse_deployment(json: &[u8]) -> Result<Deployment, SettingsParseError> {
    let setup = Setup::parse(json)?;
    conversion::to_deployment(setup)
}
