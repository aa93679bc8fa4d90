//! What a balancer is told at its start, in the deployment's JSON form.
use crate::client::{CallKind, TENANT};
use crate::experiment::Membership;
use serde::Serialize;
use std::net::SocketAddr;

/// Limits of the platform on scored days.
const MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 1024;
/// Answers after this earn nothing in full.
const OBJECTIVE_MS: u32 = 1000;
const IDLE_CLOSE_MS: u32 = 60_000;
/// The names that all stand-ins use.
pub const ZONE: &str = "a";
/// The machine kind that all stand-ins use.
pub const MACHINE_KIND: &str = "m";

/// What differs between balancers.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its name, unique in a run.
    pub name: String,
    /// Where its discovery is.
    pub discovery: SocketAddr,
    /// Feeds its random choices.
    pub seed: u64,
    /// The tier it sends into, counted from 0.
    pub tier: u32,
    /// Balancers of the same tier.
    pub balancers: u32,
    /// Its number among them.
    pub index: u32,
    /// Calls a second of the tenant over all balancers of the tier.
    pub quota_per_second: f64,
    /// Most attempts for one call.
    pub attempts_cap: u32,
    /// The longest that a caller waits.
    pub deadline_ms: u32,
    /// How it learns of endpoints.
    pub membership: Membership,
}

#[derive(Serialize)]
struct File<'a> {
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
    stage: u32,
    membership_mode: Membership,
    dcs: [&'static str; 1],
    kinds: [&'static str; 1],
    classes: [Class; 2],
    tenants: [Tenant; 1],
    permissions: Permissions,
    invariants: Invariants,
}

#[derive(Serialize)]
struct Class {
    name: &'static str,
    objective: u32,
    deadline: u32,
    effect: &'static str,
    late_worth: f64,
}

#[derive(Serialize)]
struct Tenant {
    name: &'static str,
    share: f64,
    quota_per_s: f64,
}

#[derive(Serialize)]
struct Permissions {
    attempts_cap: u32,
    cancel: bool,
    retry_after: bool,
    max_retry_after: u32,
    idle_close: u32,
}

#[derive(Serialize)]
struct Invariants {
    cold_from: f64,
    ramp_time: u32,
    tip_multiple: u32,
    fall: u32,
    drain_grace: u32,
}

impl Configuration {
    /// The configuration file of a balancer that listens at this address.
    pub fn to_json(&self, listen: SocketAddr) -> Vec<u8> {
        let file = File {
            name: &self.name,
            listen,
            discovery: self.discovery,
            seed: format!("{:016x}", self.seed),
            limits: Limits {
                cores: 1.0,
                memory_mb: MEMORY_MB,
                sockets: SOCKETS,
            },
            settings: self.settings(),
        };
        // Strings, numbers and structs of these always have a form in JSON.
        serde_json::to_vec(&file).unwrap_or_default()
    }

    fn settings(&self) -> Settings {
        Settings {
            balancers: self.balancers,
            index: self.index,
            stage: self.tier,
            membership_mode: self.membership,
            dcs: [ZONE],
            kinds: [MACHINE_KIND],
            classes: [
                self.class(CallKind::Read, "free"),
                self.class(CallKind::Order, "single_shot"),
            ],
            tenants: [Tenant {
                name: TENANT,
                share: 1.0,
                quota_per_s: self.quota_per_second,
            }],
            permissions: Permissions {
                attempts_cap: self.attempts_cap,
                cancel: true,
                retry_after: true,
                max_retry_after: 2000,
                idle_close: IDLE_CLOSE_MS,
            },
            invariants: Invariants {
                cold_from: 0.3,
                ramp_time: 9000,
                tip_multiple: 4,
                fall: 1000,
                drain_grace: 1000,
            },
        }
    }

    fn class(&self, kind: CallKind, effect: &'static str) -> Class {
        let objective = OBJECTIVE_MS.min(self.deadline_ms);
        Class {
            name: kind.class(),
            objective,
            deadline: self.deadline_ms,
            effect,
            late_worth: 0.5,
        }
    }
}
