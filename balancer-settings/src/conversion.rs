//! Maps the JSON document to the core's settings and to [`Deployment`].
use crate::document::{ClassSetup, Permissions, Setup, TenantSetup};
use crate::error::SettingsParseError;
use crate::Deployment;
use balancer_core::{Class, DedupScope, Idempotency, Settings, Tenant};
use std::time::Duration;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// Longest time that is accepted as a [`Duration`], in milliseconds. The text of [`SettingsParseError::InvalidTime`]
/// states it.
const MAX_TIME_MS: f64 = 1e9;

/// Converts a document. The error names the first invalid key.
pub(crate) fn to_deployment(setup: Setup) -> Result<Deployment, SettingsParseError> {
    let core = to_settings(&setup)?;
    let connect_timeout = to_duration(
        "permissions.dial_timeout",
        setup.permissions.connect_timeout,
    )?;
    let drain_grace = to_duration("invariants.drain_grace", setup.invariants.drain_grace)?;
    core.validate().map_err(SettingsParseError::Rejected)?;
    Ok(Deployment {
        core,
        classes: setup.classes.into_iter().map(|class| class.name).collect(),
        tenants: setup
            .tenants
            .into_iter()
            .map(|tenant| tenant.name)
            .collect(),
        zones: setup.zone_names,
        kinds: setup.kind_names,
        connect_timeout,
        drain_grace,
        max_requests_in_flight: setup.permissions.max_requests_in_flight,
    })
}

fn to_settings(setup: &Setup) -> Result<Settings, SettingsParseError> {
    let poll_endpoints = polls_endpoints(&setup.discovery_mode)?;
    let classes = setup.classes.iter().map(to_class);
    let permissions = &setup.permissions;
    let invariants = &setup.invariants;
    Ok(Settings {
        replica_index: setup.index,
        replica_count: setup.balancers,
        tier: setup.tier,
        zone: setup.zone,
        classes: classes.collect::<Result<_, _>>()?,
        tenants: setup.tenants.iter().map(to_tenant).collect(),
        max_attempts: permissions.max_attempts,
        cancel: permissions.cancel,
        poll_endpoints,
        poll_acknowledge_timeout: invariants.poll_acknowledge_timeout,
        idle_close: permissions.idle_close,
        connect_timeout: permissions.connect_timeout,
        max_retry_after: max_retry_after(permissions),
        slow_start_initial_fraction: invariants.slow_start_initial_fraction,
        slow_start_duration: invariants.slow_start_duration,
        slow_start_overload_factor: invariants.slow_start_overload_factor,
        slow_start_overload_window: invariants.slow_start_overload_window,
        rejects_after_start: invariants.rejects_after_start,
        cross_zone_price: setup.charges.cross_zone,
    })
}

/// Whether an instance polls discovery (`on_request`) or discovery pushes the endpoint list to it (`pushed`).
fn polls_endpoints(mode: &str) -> Result<bool, SettingsParseError> {
    match mode {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => Err(unknown_value("membership_mode", "mode", other)),
    }
}

/// Longest `Retry-After` in milliseconds; zero if none may be sent.
fn max_retry_after(permissions: &Permissions) -> f64 {
    if permissions.retry_after {
        permissions.max_retry_after
    } else {
        0.0
    }
}

fn to_class(class: &ClassSetup) -> Result<Class, SettingsParseError> {
    Ok(Class {
        objective: class.objective,
        deadline: class.deadline,
        idempotency: to_idempotency(class)?,
        late_weight: class.late_weight,
        allowed_zones: class.allowed_zones.clone(),
        allowed_kinds: class.allowed_kinds.clone(),
    })
}

fn to_idempotency(class: &ClassSetup) -> Result<Idempotency, SettingsParseError> {
    match class.idempotency.as_str() {
        "free" => Ok(Idempotency::Idempotent),
        "single_shot" => Ok(Idempotency::NonIdempotent),
        "guarded" => Ok(Idempotency::IdempotencyKey {
            scope: to_dedup_scope(&class.dedup_scope)?,
            window: class.dedup_window,
        }),
        other => Err(unknown_value("classes.effect", "effect", other)),
    }
}

fn to_dedup_scope(scope: &str) -> Result<DedupScope, SettingsParseError> {
    match scope {
        "all" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Group),
        other => Err(unknown_value("classes.dedup_scope", "scope", other)),
    }
}

fn to_tenant(tenant: &TenantSetup) -> Tenant {
    Tenant {
        weight: tenant.weight,
        quota_per_second: tenant.quota_per_s,
    }
}

fn to_duration(key: &'static str, millis: f64) -> Result<Duration, SettingsParseError> {
    if !(0.0..=MAX_TIME_MS).contains(&millis) {
        return Err(SettingsParseError::InvalidTime { key });
    }
    Ok(Duration::from_secs_f64(millis / MILLIS_PER_SECOND))
}

fn unknown_value(key: &'static str, category: &'static str, value: &str) -> SettingsParseError {
    SettingsParseError::UnknownValue {
        key,
        category,
        value: value.to_string(),
    }
}
