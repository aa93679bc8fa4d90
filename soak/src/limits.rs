//! The limits in the balancers' settings, and the slack that the checks add to them.
use std::time::Duration;

/// Scheduling delay, of a balancer or a stand-in, that every check tolerates.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(60);
/// Time after its deadline within which a final response must arrive.
pub const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Time after the client disconnects within which an attempt may still start.
pub const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// How much the deadline forwarded to an upstream may exceed the time that the client has left.
pub const FORWARDED_DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Time after the start of an attempt within which the upstream of the previous attempt may still observe the end of
/// that previous attempt.
pub const OVERLAP_SLACK: Duration = Duration::from_millis(100);
/// Memory that a balancer may use, in megabytes. The balancers' settings contain the same number.
pub const MEMORY_LIMIT_MB: usize = 32;
/// Maximum number of attempts for one request. The balancers' settings contain the same number.
pub const MAX_ATTEMPTS: usize = 5;

/// The limits in the settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after a balancer learns that an upstream drains within which it may still send requests there.
    pub drain_grace: Duration,
    /// Time for which upstreams discard repeats of a request with an idempotency key.
    pub repeat_window: Duration,
    /// Requests that an upstream may get during slow start.
    pub slow_start: SlowStartLimits,
}

/// The limits for an upstream in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimits {
    /// Requests a second that an upstream can serve after its slow start.
    pub capacity_per_second: f64,
    /// Fraction of the capacity that an upstream has when it starts.
    pub initial_fraction: f64,
    /// Time until an upstream has its full capacity.
    pub duration: Duration,
    /// An upstream fails when it gets this many times its capacity within the overload window.
    pub overload_factor: f64,
    /// Period over which requests are counted against the overload factor.
    pub overload_window: Duration,
}

/// Below this limit, in requests per overload window, the tolerance for random variation is wider.
const LOW_COUNT_THRESHOLD: f64 = 30.0;
/// Tolerance below [`LOW_COUNT_THRESHOLD`]: this many standard deviations plus this many requests.
const LOW_COUNT_TOLERANCE: f64 = 3.0;
/// Tolerance from [`LOW_COUNT_THRESHOLD`] on: this many standard deviations plus this many requests.
const HIGH_COUNT_TOLERANCE: f64 = 2.0;

impl SlowStartLimits {
    /// The requests that an upstream of this age may get within one overload window.
    pub fn allowed_requests(&self, age: Duration) -> f64 {
        let fraction = self.initial_fraction
            + (1.0 - self.initial_fraction) * age.as_secs_f64() / self.duration.as_secs_f64();
        let limit = self.capacity_per_second
            * fraction.min(1.0)
            * self.overload_factor
            * self.overload_window.as_secs_f64();
        let tolerance = if limit < LOW_COUNT_THRESHOLD {
            LOW_COUNT_TOLERANCE
        } else {
            HIGH_COUNT_TOLERANCE
        };
        limit + tolerance * limit.sqrt() + tolerance
    }
}
