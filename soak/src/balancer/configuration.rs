//! The configuration file of a balancer.
use crate::discovery_mode::DiscoveryMode;
use crate::ids::BalancerId;
use crate::limits::{Limits, MAX_ATTEMPTS, MEMORY_LIMIT_MB};
use crate::request_class::{RequestClass, REQUEST_CLASSES};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What all balancers of a run share.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The balancer program.
    pub program: PathBuf,
    /// The fault injection library.
    pub library: PathBuf,
    /// The folder that contains a subfolder for each balancer, with its configuration, log and overrides.
    pub folder: PathBuf,
    /// How balancers learn of the endpoint list.
    pub mode: DiscoveryMode,
    /// Number of balancers.
    pub balancers: usize,
    /// The settings that the run draws or checks.
    pub settings: FleetSettings,
}

/// The settings that a run draws or checks.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Quota of the only tenant, in requests a second over all balancers.
    pub quota_per_second: f64,
    /// Time after which upstreams close idle connections.
    pub idle_close_timeout: Duration,
    /// The limits that the run checks.
    pub limits: Limits,
}

/// The addresses of one balancer.
pub(super) struct Addresses {
    pub(super) clients: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) discovery: SocketAddr,
}

/// Formats the configuration of a balancer that starts with this endpoint list (JSON, `null` for none).
pub(super) fn format_configuration(
    fleet: &Fleet,
    balancer: BalancerId,
    addresses: Addresses,
    startup_list: &str,
) -> String {
    let startup_list: Value = serde_json::from_str(startup_list).unwrap_or_default();
    json!({
        "name": format!("b{balancer}"),
        "listen": addresses.clients,
        "discovery": addresses.discovery,
        "ops": addresses.admin,
        "seed": format!("{:016x}", balancer.0 as u64 + 1),
        "limits": { "cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 512 },
        "known": startup_list,
        "settings": settings(fleet, balancer),
    })
    .to_string()
}

fn settings(fleet: &Fleet, balancer: BalancerId) -> Value {
    let settings = &fleet.settings;
    let limits = &settings.limits;
    let classes = REQUEST_CLASSES.map(|class| request_class(class, limits));
    json!({
        "balancers": fleet.balancers,
        "index": balancer.0,
        "stage": 0,
        "membership_mode": fleet.mode.settings_name(),
        "dcs": ["a"],
        "kinds": ["m"],
        "classes": classes,
        "tenants": [{ "name": "club", "share": 1.0, "quota_per_s": settings.quota_per_second }],
        "permissions": {
            "attempts_cap": MAX_ATTEMPTS,
            "cancel": true,
            "retry_after": true,
            "max_retry_after": 2000,
            "idle_close": milliseconds(settings.idle_close_timeout),
            "dial_timeout": 250,
        },
        "invariants": {
            "cold_from": limits.slow_start.initial_fraction,
            "ramp_time": milliseconds(limits.slow_start.duration),
            "tip_multiple": limits.slow_start.overload_factor,
            "fall": milliseconds(limits.slow_start.overload_window),
            "drain_grace": milliseconds(limits.drain_grace),
        },
    })
}

fn request_class(class: RequestClass, limits: &Limits) -> Value {
    json!({
        "name": class.name,
        "objective": 600,
        "deadline": 2000,
        "effect": class.idempotency.settings_name(),
        "dedup_scope": "all",
        "repeat_window": milliseconds(limits.repeat_window),
        "late_worth": 0.5,
    })
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
