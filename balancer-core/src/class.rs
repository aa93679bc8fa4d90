//! Request classes: objectives, idempotency and placement.
use crate::time::Millis;

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time earns the full value. Above zero.
    pub objective: Millis,
    /// Time that a client waits over all attempts. At least `objective`.
    pub deadline: Millis,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Fraction of its value that a response after `objective` still earns.
    pub late_weight: f64,
    /// Zones that requests may be sent to, at every attempt; `None`: any. Must not be empty.
    pub allowed_zones: Option<Vec<u16>>,
    /// Machine kinds that requests may be sent to, at every attempt; `None`: any. Must not be empty.
    pub allowed_kinds: Option<Vec<u8>>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// May run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key: upstreams within `scope` discard repeats for `window`.
    IdempotencyKey {
        /// The upstreams that share their record of keys.
        scope: DedupScope,
        /// How long they keep a key, counted from the send of the first attempt that may have run.
        window: Millis,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Which upstreams share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All upstreams of the tier.
    All,
    /// Upstreams in the same zone.
    Zone,
    /// Upstreams of the same group.
    Group,
}
