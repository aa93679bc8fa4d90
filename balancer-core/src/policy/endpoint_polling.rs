//! Polling of the endpoint list: when a failed call is repeated, and whether the list is stale.
use crate::policy::random::Random;
use crate::settings::Settings;
use crate::time::Millis;

/// Backoff after a first failed call; doubles with each further one.
const FAILURE_BACKOFF: Millis = 400.0;
/// Largest backoff after failed calls, as a divisor of `poll_acknowledge_timeout`.
const MAX_FAILURE_BACKOFF_DIVISOR: f64 = 3.0;
/// Smallest random fraction of a backoff after failed calls.
const MIN_FAILURE_JITTER: f64 = 0.5;
/// Backoff after a first rejected call; doubles with each further one. Longer than after a failure, so that
/// many replicas that lost discovery together do not overload it again.
const REJECTION_BACKOFF: Millis = 2000.0;
/// The same while the list is stale: after a restart of discovery, each replica has many changes to receive.
const STALE_REJECTION_BACKOFF: Millis = 3500.0;
/// Largest backoff after rejected calls, as a multiple of `poll_acknowledge_timeout`.
const MAX_REJECTION_BACKOFF_MULTIPLE: f64 = 1.5;
/// Smallest random fraction of a backoff after rejected calls.
const MIN_REJECTION_JITTER: f64 = 0.2;
/// Limit of the doubling, so that it cannot overflow.
const MAX_DOUBLINGS: u32 = 10;

/// Why a call for the list failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// The call broke, timed out or had a malformed response.
    Failed,
    /// Discovery rejected the call.
    Rejected,
}

struct Backoff {
    first: Millis,
    max: Millis,
    min_jitter: f64,
}

/// The state of the calls to discovery.
#[derive(Default)]
pub(super) struct EndpointPolling {
    consecutive_failures: u32,
    /// When discovery last confirmed the list.
    confirmed_at: Option<Millis>,
    /// When discovery last migrated.
    migrated_at: Option<Millis>,
}

impl EndpointPolling {
    pub(super) fn record_response(&mut self, now: Millis) {
        self.consecutive_failures = 0;
        self.confirmed_at = Some(now);
    }

    pub(super) fn record_migration(&mut self, now: Millis) {
        self.consecutive_failures = 0;
        self.migrated_at = Some(now);
    }

    /// Records a failed call and returns the backoff before the next one. It stays short while no endpoint is
    /// ready.
    pub(super) fn record_failure(
        &mut self,
        failure: CallFailure,
        has_ready_endpoint: bool,
        now: Millis,
        settings: &Settings,
        random: &mut Random,
    ) -> Millis {
        let multiple = f64::from(1u32 << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
        let backoff = match failure {
            CallFailure::Rejected if has_ready_endpoint => self.rejection_backoff(settings, now),
            CallFailure::Rejected | CallFailure::Failed => Backoff {
                first: FAILURE_BACKOFF,
                max: settings.poll_acknowledge_timeout / MAX_FAILURE_BACKOFF_DIVISOR,
                min_jitter: MIN_FAILURE_JITTER,
            },
        };
        let jitter = backoff.min_jitter + (1.0 - backoff.min_jitter) * random.fraction();
        (backoff.first * multiple).min(backoff.max) * jitter
    }

    fn rejection_backoff(&self, settings: &Settings, now: Millis) -> Backoff {
        let has_migrated = self
            .migrated_at
            .is_some_and(|at| now - at < settings.poll_acknowledge_timeout);
        if has_migrated {
            // Discovery soon counts this replica as notified, so it must call again before that.
            return Backoff {
                first: REJECTION_BACKOFF,
                max: REJECTION_BACKOFF,
                min_jitter: MIN_REJECTION_JITTER,
            };
        }
        Backoff {
            first: if self.is_stale(settings, now) {
                STALE_REJECTION_BACKOFF
            } else {
                REJECTION_BACKOFF
            },
            max: settings.poll_acknowledge_timeout * MAX_REJECTION_BACKOFF_MULTIPLE,
            min_jitter: MIN_REJECTION_JITTER,
        }
    }

    /// Whether discovery has not confirmed the list for so long that endpoints may be draining.
    pub(super) fn is_stale(&self, settings: &Settings, now: Millis) -> bool {
        settings.poll_endpoints
            && self
                .confirmed_at
                .is_none_or(|at| now - at >= settings.poll_acknowledge_timeout)
    }
}
