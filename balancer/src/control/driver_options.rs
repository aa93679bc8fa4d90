//! What a driver is built from.
use crate::clock::Clock;
use crate::invariants::Guard;
use crate::outbound::dispatch::Dispatch;
use crate::telemetry::log::LogOutput;
use balancer_core::{Balancer, Idempotency};
use std::time::Duration;

/// What a driver is built from.
pub struct DriverOptions {
    /// The core.
    pub balancer: Balancer,
    /// The core's clock.
    pub clock: Clock,
    /// Carries out attempts.
    pub dispatch: Dispatch,
    /// Attempts to a draining upstream must end at most this long after the update that reported it as draining.
    pub drain_grace: Duration,
    /// Maximum number of pending requests.
    pub max_pending_requests: usize,
    /// The idempotency of each class, by the class's position in the settings.
    pub idempotency_by_class: Vec<Idempotency>,
    /// Whether upstreams also reject requests that they have started to process.
    pub rejects_after_start: bool,
    /// Checks the core's actions.
    pub guard: Guard,
    /// Receives the core's log lines.
    pub log: LogOutput,
}
