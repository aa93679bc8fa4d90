//! Settings of a balancer, with defaults.
mod validation;

use crate::class::{Class, Idempotency};
use crate::time::Millis;

pub use validation::SettingsError;

/// A tenant with a stated weight and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Weight relative to the other tenants; weights need not sum to one. At least zero.
    pub weight: f64,
    /// Quota in requests per second, over all balancers together; zero: none is stated.
    pub quota_per_second: f64,
}

/// All settings of one balancer. [`Settings::default`] gives documented defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Position of this balancer among those that send to the same tier, from zero.
    pub replica_index: u32,
    /// Number of balancers that send to the same tier. At least one.
    pub replica_count: u32,
    /// The tier that this balancer sends to; zero is the tier that clients reach first.
    pub tier: u32,
    /// The zone that this balancer runs in.
    pub zone: u16,
    /// Request classes; requests name them by position. At least one.
    pub classes: Vec<Class>,
    /// Tenants; requests name them by position. Empty: all traffic belongs to one tenant.
    pub tenants: Vec<Tenant>,
    /// Maximum number of attempts for one request. At least one.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the endpoint list must be polled (`true`) or is pushed (`false`).
    pub poll_endpoints: bool,
    /// Discovery counts a balancer that has neither subscribed nor polled for this long as notified of every change.
    pub poll_acknowledge_timeout: Millis,
    /// Idle connections are closed after this time.
    pub idle_close: Millis,
    /// Maximum time that an attempt waits for a connection before it is sent.
    pub connect_timeout: Millis,
    /// Largest `Retry-After` that clients respect; zero: none is sent.
    pub max_retry_after: Millis,
    /// Smallest fraction of its full capacity that an upstream has at the beginning of its slow start.
    pub slow_start_initial_fraction: f64,
    /// An upstream reaches its full capacity within this time after its start.
    pub slow_start_duration: Millis,
    /// An upstream in slow start fails when it is sent more than this multiple of its current capacity.
    pub slow_start_overload_factor: f64,
    /// Period over which `slow_start_overload_factor` applies.
    pub slow_start_overload_window: Millis,
    /// Whether upstreams also reject requests that they have started: [`AttemptOutcome::Rejected`] then does not
    /// prove that an attempt never ran.
    ///
    /// [`AttemptOutcome::Rejected`]: crate::AttemptOutcome::Rejected
    pub rejects_after_start: bool,
    /// Price of sending the first attempt of a request to another zone, as a fraction of the request's value.
    pub cross_zone_price: f64,
}

impl Default for Settings {
    /// One balancer, one idempotent class (objective 1 s, deadline 3 s), one tenant, a pushed list, one zone.
    fn default() -> Self {
        Settings {
            replica_index: 0,
            replica_count: 1,
            tier: 0,
            zone: 0,
            classes: vec![Class {
                objective: 1000.0,
                deadline: 3000.0,
                idempotency: Idempotency::Idempotent,
                ..Class::default()
            }],
            tenants: Vec::new(),
            max_attempts: 3,
            cancel: false,
            poll_endpoints: false,
            poll_acknowledge_timeout: 10_000.0,
            idle_close: 5000.0,
            connect_timeout: 0.0,
            max_retry_after: 0.0,
            slow_start_initial_fraction: 0.1,
            slow_start_duration: 30_000.0,
            slow_start_overload_factor: 2.0,
            slow_start_overload_window: 1000.0,
            rejects_after_start: false,
            cross_zone_price: 0.0,
        }
    }
}
