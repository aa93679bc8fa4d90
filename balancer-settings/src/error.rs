//! Why a settings document was rejected. Each text names the missing or invalid key.
use balancer_core::SettingsError;
use thiserror::Error;

/// Why a settings document was rejected.
#[derive(Debug, Error)]
pub enum SettingsParseError {
    /// The document is not valid JSON, lacks a required key at its top level, or is followed by other text.
    #[error("{0}")]
    Document(#[source] serde_json::Error),
    /// A value has the wrong type, or an inner object lacks a required key.
    #[error("{path}: {source}")]
    Value {
        /// Path of the value in the document.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The value of a key is not one of those that the key accepts.
    #[error("{key}: unknown {category} {value:?}")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// What the values of the key stand for, such as a mode or a scope.
        category: &'static str,
        /// The value.
        value: String,
    },
    /// A time is negative, not a number, or too long.
    #[error("{key}: must be a time from 0 to 1e9 ms")]
    InvalidTime {
        /// The key.
        key: &'static str,
    },
    /// The core rejected a setting.
    #[error("{} must be {}", documented_name(.0.field), .0.requirement)]
    Rejected(#[source] SettingsError),
}

/// The documented name of a field of [`balancer_core::Settings`].
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
