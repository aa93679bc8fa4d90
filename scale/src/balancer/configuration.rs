//! The configuration file of a balancer. Its keys are those of the deployment.
use crate::client::{CallKind, TENANT};
use crate::experiment::DiscoveryMode;
use serde::Serialize;
use std::net::SocketAddr;

/// Limits of the platform on scored days.
const MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 1024;
const CORES: f64 = 1.0;
/// A later response earns only a fraction of its value.
const OBJECTIVE_MS: u32 = 1000;
const LATE_WEIGHT: f64 = 0.5;
const IDLE_CLOSE_MS: u32 = 60_000;
const MAX_RETRY_AFTER_MS: u32 = 2000;
const DRAIN_GRACE_MS: u32 = 1000;
const SLOW_START_INITIAL_FRACTION: f64 = 0.3;
const SLOW_START_DURATION_MS: u32 = 9000;
const SLOW_START_OVERLOAD_FACTOR: u32 = 4;
const SLOW_START_OVERLOAD_WINDOW_MS: u32 = 1000;
/// The zone of all stand-ins.
pub const ZONE: &str = "a";
/// The machine kind of all stand-ins.
pub const MACHINE_KIND: &str = "m";

/// What differs between balancers.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its name, unique in a run.
    pub name: String,
    /// The address of its discovery.
    pub discovery: SocketAddr,
    /// Seed of its random choices.
    pub seed: u64,
    /// The tier it sends into, counted from 0.
    pub tier: u32,
    /// Number of balancers of the same tier.
    pub balancers: u32,
    /// Its index among them.
    pub index: u32,
    /// The tenant's quota in calls per second, over all balancers of the tier.
    pub quota_per_second: f64,
    /// Maximum number of attempts for one call.
    pub max_attempts: u32,
    /// How long a client waits, in milliseconds.
    pub deadline_ms: u32,
    /// How it receives the endpoint list.
    pub discovery_mode: DiscoveryMode,
}

#[derive(Serialize)]
struct ConfigurationFile<'a> {
    name: &'a str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    settings: Settings,
}

#[derive(Serialize)]
struct Limits {
    cores: f64,
    memory_mb: u32,
    sockets: u32,
}

#[derive(Serialize)]
struct Settings {
    balancers: u32,
    index: u32,
    #[serde(rename = "stage")]
    tier: u32,
    #[serde(rename = "membership_mode")]
    discovery_mode: DiscoveryMode,
    #[serde(rename = "dcs")]
    zones: [&'static str; 1],
    kinds: [&'static str; 1],
    classes: [Class; 2],
    tenants: [Tenant; 1],
    permissions: Permissions,
    invariants: Invariants,
}

#[derive(Serialize)]
struct Class {
    name: &'static str,
    #[serde(rename = "objective")]
    objective_ms: u32,
    #[serde(rename = "deadline")]
    deadline_ms: u32,
    #[serde(rename = "effect")]
    idempotency: Idempotency,
    #[serde(rename = "late_worth")]
    late_weight: f64,
}

#[derive(Serialize)]
enum Idempotency {
    #[serde(rename = "free")]
    Idempotent,
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

#[derive(Serialize)]
struct Tenant {
    name: &'static str,
    #[serde(rename = "share")]
    weight: f64,
    quota_per_s: f64,
}

#[derive(Serialize)]
struct Permissions {
    #[serde(rename = "attempts_cap")]
    max_attempts: u32,
    cancel: bool,
    retry_after: bool,
    #[serde(rename = "max_retry_after")]
    max_retry_after_ms: u32,
    #[serde(rename = "idle_close")]
    idle_close_ms: u32,
}

#[derive(Serialize)]
struct Invariants {
    #[serde(rename = "cold_from")]
    slow_start_initial_fraction: f64,
    #[serde(rename = "ramp_time")]
    slow_start_duration_ms: u32,
    #[serde(rename = "tip_multiple")]
    slow_start_overload_factor: u32,
    #[serde(rename = "fall")]
    slow_start_overload_window_ms: u32,
    #[serde(rename = "drain_grace")]
    drain_grace_ms: u32,
}

impl Configuration {
    /// The configuration file of a balancer that listens on this address.
    pub fn to_json(&self, listen: SocketAddr) -> Vec<u8> {
        let file = ConfigurationFile {
            name: &self.name,
            listen,
            discovery: self.discovery,
            seed: format!("{:016x}", self.seed),
            limits: Limits {
                cores: CORES,
                memory_mb: MEMORY_MB,
                sockets: SOCKETS,
            },
            settings: self.settings(),
        };
        // Strings, numbers and structs of these always serialize.
        serde_json::to_vec(&file).unwrap_or_default()
    }

    fn settings(&self) -> Settings {
        Settings {
            balancers: self.balancers,
            index: self.index,
            tier: self.tier,
            discovery_mode: self.discovery_mode,
            zones: [ZONE],
            kinds: [MACHINE_KIND],
            classes: [
                self.class(CallKind::Read, Idempotency::Idempotent),
                self.class(CallKind::Order, Idempotency::NonIdempotent),
            ],
            tenants: [Tenant {
                name: TENANT,
                weight: 1.0,
                quota_per_s: self.quota_per_second,
            }],
            permissions: Permissions {
                max_attempts: self.max_attempts,
                cancel: true,
                retry_after: true,
                max_retry_after_ms: MAX_RETRY_AFTER_MS,
                idle_close_ms: IDLE_CLOSE_MS,
            },
            invariants: Invariants {
                slow_start_initial_fraction: SLOW_START_INITIAL_FRACTION,
                slow_start_duration_ms: SLOW_START_DURATION_MS,
                slow_start_overload_factor: SLOW_START_OVERLOAD_FACTOR,
                slow_start_overload_window_ms: SLOW_START_OVERLOAD_WINDOW_MS,
                drain_grace_ms: DRAIN_GRACE_MS,
            },
        }
    }

    fn class(&self, kind: CallKind, idempotency: Idempotency) -> Class {
        Class {
            name: kind.class(),
            objective_ms: OBJECTIVE_MS.min(self.deadline_ms),
            deadline_ms: self.deadline_ms,
            idempotency,
            late_weight: LATE_WEIGHT,
        }
    }
}
