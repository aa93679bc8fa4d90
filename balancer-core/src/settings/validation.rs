//! Validation of [`Settings`].
use crate::class::{Class, Idempotency};
use crate::settings::{Settings, Tenant};
use std::fmt;

/// Upper limit of every number: products of two such numbers stay finite. The texts below repeat it and have to
/// agree with it.
const MAX_NUMBER: f64 = 1e15;

const TIME_ABOVE_ZERO: &str = "a time in ms above 0 and at most 1e15";
const TIME: &str = "a time in ms from 0 to 1e15";
const NUMBER: &str = "a number from 0 to 1e15";
const RATE: &str = "a rate per second from 0 to 1e15";
const ABSENT_OR_NOT_EMPTY: &str = "absent or not empty";

/// Why [`Settings`] are invalid.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The invalid field of [`Settings`]. The replica count and quotas have the names of settings documents here:
    /// `balancers` and `tenants.quota_per_s`.
    pub field: &'static str,
    /// What the field must be.
    pub requirement: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} must be {}", self.field, self.requirement)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every field; the error names the first invalid one.
    pub fn validate(&self) -> Result<(), SettingsError> {
        require(self.replica_count >= 1, "balancers", "at least 1")?;
        require(
            !self.classes.is_empty(),
            "classes",
            "a list of at least one class",
        )?;
        require(self.max_attempts >= 1, "max_attempts", "at least 1")?;
        for class in &self.classes {
            validate_class(class)?;
        }
        for tenant in &self.tenants {
            validate_tenant(tenant)?;
        }
        self.validate_timeouts()?;
        self.validate_slow_start()?;
        require_from_zero_to_max(self.cross_zone_price, "cross_zone_price", NUMBER)
    }

    fn validate_timeouts(&self) -> Result<(), SettingsError> {
        require_time_above_zero(self.poll_acknowledge_timeout, "poll_acknowledge_timeout")?;
        require_from_zero_to_max(self.idle_close, "idle_close", TIME)?;
        require_from_zero_to_max(self.connect_timeout, "connect_timeout", TIME)?;
        require_from_zero_to_max(self.max_retry_after, "max_retry_after", TIME)
    }

    fn validate_slow_start(&self) -> Result<(), SettingsError> {
        require(
            (0.0..=1.0).contains(&self.slow_start_initial_fraction),
            "slow_start_initial_fraction",
            "between 0 and 1",
        )?;
        require_from_zero_to_max(self.slow_start_duration, "slow_start_duration", TIME)?;
        require_from_zero_to_max(
            self.slow_start_overload_factor,
            "slow_start_overload_factor",
            NUMBER,
        )?;
        require_from_zero_to_max(
            self.slow_start_overload_window,
            "slow_start_overload_window",
            TIME,
        )
    }
}

fn validate_class(class: &Class) -> Result<(), SettingsError> {
    require_time_above_zero(class.objective, "classes.objective")?;
    require_time_above_zero(class.deadline, "classes.deadline")?;
    require_from_zero_to_max(class.late_weight, "classes.late_weight", NUMBER)?;
    require(
        is_absent_or_not_empty(&class.allowed_zones),
        "classes.allowed_zones",
        ABSENT_OR_NOT_EMPTY,
    )?;
    require(
        is_absent_or_not_empty(&class.allowed_kinds),
        "classes.allowed_kinds",
        ABSENT_OR_NOT_EMPTY,
    )?;
    match class.idempotency {
        Idempotency::IdempotencyKey { window, .. } => {
            require_from_zero_to_max(window, "classes.window", TIME)
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => Ok(()),
    }
}

fn validate_tenant(tenant: &Tenant) -> Result<(), SettingsError> {
    require_from_zero_to_max(tenant.weight, "tenants.weight", NUMBER)?;
    require_from_zero_to_max(tenant.quota_per_second, "tenants.quota_per_s", RATE)
}

fn require(
    is_valid: bool,
    field: &'static str,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError { field, requirement })
    }
}

fn require_from_zero_to_max(
    value: f64,
    field: &'static str,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    require((0.0..=MAX_NUMBER).contains(&value), field, requirement)
}

fn require_time_above_zero(value: f64, field: &'static str) -> Result<(), SettingsError> {
    require(value > 0.0 && value <= MAX_NUMBER, field, TIME_ABOVE_ZERO)
}

fn is_absent_or_not_empty<T>(list: &Option<Vec<T>>) -> bool {
    list.as_ref().is_none_or(|list| !list.is_empty())
}
