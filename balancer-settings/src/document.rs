//! The keys of the JSON document that holds the settings.
//!
//! Unknown keys are skipped; a missing required key is an error. Times are in milliseconds. The text of the error for a
//! value of the wrong type contains the names of the structs.
//!
//! The following keys of the document are skipped because the balancer does not use them:
//!
//! - `tiers`, `blend`, `clients`, `domain_type`, `family_info`, `stats`, `tick`, `weights`, `worth_by`,
//!   `over_share_worth`;
//! - in `classes[]`: `aim_stretch`, `importance`, `streaming`;
//! - in `charges`: everything except `cross_zone`;
//! - in `invariants`: `grace_to_answer`; the core ends each request well within that time;
//! - in `permissions`: the keys for health checks, gossip and hedged requests, and the limits on CPU and connections.
use crate::error::SettingsParseError;
use balancer_core::Settings;
use serde::Deserialize;

/// The path that `serde_path_to_error` reports for the document as a whole.
const ROOT_PATH: &str = ".";

/// The whole document.
#[derive(Deserialize)]
pub(crate) struct Setup {
    pub(crate) balancers: u32,
    pub(crate) index: u32,
    pub(crate) classes: Vec<ClassSetup>,
    pub(crate) permissions: Permissions,
    pub(crate) invariants: Invariants,
    #[serde(rename = "membership_mode")]
    pub(crate) discovery_mode: String,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantSetup>,
    #[serde(default, rename = "stage")]
    pub(crate) tier: u32,
    #[serde(default)]
    pub(crate) zone: u16,
    #[serde(default)]
    pub(crate) charges: Charges,
    #[serde(default, rename = "dcs")]
    pub(crate) zone_names: Vec<String>,
    #[serde(default, rename = "kinds")]
    pub(crate) kind_names: Vec<String>,
}

/// An entry of `classes`.
#[derive(Deserialize)]
pub(crate) struct ClassSetup {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) objective: f64,
    pub(crate) deadline: f64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: String,
    #[serde(default = "default_dedup_scope")]
    pub(crate) dedup_scope: String,
    #[serde(default, rename = "repeat_window")]
    pub(crate) dedup_window: f64,
    #[serde(default, rename = "late_worth")]
    pub(crate) late_weight: f64,
    #[serde(rename = "runs_in")]
    pub(crate) allowed_zones: Option<Vec<u16>>,
    #[serde(rename = "kinds_only")]
    pub(crate) allowed_kinds: Option<Vec<u8>>,
}

/// An entry of `tenants`.
#[derive(Deserialize)]
pub(crate) struct TenantSetup {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "share")]
    pub(crate) weight: f64,
    #[serde(default)]
    pub(crate) quota_per_s: f64,
}

/// What an instance may do.
#[derive(Deserialize)]
pub(crate) struct Permissions {
    #[serde(rename = "attempts_cap")]
    pub(crate) max_attempts: u32,
    #[serde(default)]
    pub(crate) cancel: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
    #[serde(default)]
    pub(crate) max_retry_after: f64,
    #[serde(default = "default_idle_close")]
    pub(crate) idle_close: f64,
    #[serde(default = "default_connect_timeout", rename = "dial_timeout")]
    pub(crate) connect_timeout: f64,
    #[serde(default = "default_max_requests_in_flight", rename = "max_open")]
    pub(crate) max_requests_in_flight: u64,
}

/// How the upstreams and discovery behave.
#[derive(Deserialize)]
pub(crate) struct Invariants {
    #[serde(rename = "cold_from")]
    pub(crate) slow_start_initial_fraction: f64,
    #[serde(rename = "ramp_time")]
    pub(crate) slow_start_duration: f64,
    #[serde(rename = "tip_multiple")]
    pub(crate) slow_start_overload_factor: f64,
    #[serde(rename = "fall")]
    pub(crate) slow_start_overload_window: f64,
    #[serde(default = "default_poll_acknowledge_timeout", rename = "ask_within")]
    pub(crate) poll_acknowledge_timeout: f64,
    #[serde(default, rename = "late_shedding")]
    pub(crate) rejects_after_start: bool,
    #[serde(default = "default_drain_grace")]
    pub(crate) drain_grace: f64,
}

/// Prices, as fractions of the value of a request.
#[derive(Deserialize, Default)]
pub(crate) struct Charges {
    #[serde(default)]
    pub(crate) cross_zone: f64,
}

fn default_dedup_scope() -> String {
    "all".to_string()
}

fn default_idle_close() -> f64 {
    Settings::default().idle_close
}

fn default_poll_acknowledge_timeout() -> f64 {
    Settings::default().poll_acknowledge_timeout
}

fn default_connect_timeout() -> f64 {
    250.0
}

fn default_drain_grace() -> f64 {
    1000.0
}

fn default_max_requests_in_flight() -> u64 {
    20_000
}

impl Setup {
    /// Parses a document. Text after its end is an error.
    pub(crate) fn parse(json: &[u8]) -> Result<Setup, SettingsParseError> {
        let mut deserializer = serde_json::Deserializer::from_slice(json);
        // For a value of the wrong type, serde's message does not name the key. The path does.
        let setup = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let path = error.path().to_string();
            let source = error.into_inner();
            if path == ROOT_PATH {
                return SettingsParseError::Document(source);
            }
            SettingsParseError::Value { path, source }
        })?;
        deserializer.end().map_err(SettingsParseError::Document)?;
        Ok(setup)
    }
}
