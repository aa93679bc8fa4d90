//! Why a document of settings was rejected. Each text names the key at fault.
use balancer_core::SettingsError;
use thiserror::Error;

/// Why settings could not be read.
#[derive(Debug, Error)]
pub enum SettingsParseError {
    /// The document is not JSON, lacks a required key at its top level, or is followed by something else.
    #[error("{0}")]
    Document(#[source] serde_json::Error),
    /// A value has the wrong type, or an inner object lacks a required key.
    #[error("{path}: {source}")]
    Value {
        /// Where the value is in the document.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A key with a fixed set of values has another one.
    #[error("{key}: unknown {category} {value:?}")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// What its values name.
        category: &'static str,
        /// The value.
        value: String,
    },
    /// A time is negative, not a number, or too long.
    #[error("{key}: must be a time of at least 0")]
    InvalidTime {
        /// The key.
        key: &'static str,
    },
    /// The core rejected a setting.
    #[error("setting {} must be {}", documented_name(.0.field), .0.must)]
    Rejected(#[source] SettingsError),
}

/// The name that users know a field of [`balancer_core::Settings`] by.
fn documented_name(field: &str) -> &str {
    match field {
        "max_attempts" => "attempts_cap",
        "poll_acknowledge_timeout" => "ask_within",
        "slow_start_initial_fraction" => "cold_from",
        "slow_start_duration" => "ramp_time",
        "slow_start_overload_factor" => "tip_multiple",
        "slow_start_overload_window" => "tip_window",
        "classes.late_weight" => "classes.late_worth",
        "classes.allowed_zones" => "classes.runs_in",
        "classes.allowed_kinds" => "classes.kinds_only",
        "tenants.weight" => "tenants.share",
        other => other,
    }
}
