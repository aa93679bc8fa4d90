//! Polling of the endpoint list: when a failed call is repeated, and whether the list is stale.
//!
//! Discovery counts this replica as notified of a change [`NOTIFICATION_DEADLINE`] after it had the change and could
//! be reached, whether this replica knows the change or not. A failed call does not show when discovery becomes
//! reachable again; in the worst case, that is right after the call started. So the call after a rejected one starts
//! within [`max_call_interval`] of the start of that one, however long it took and however many were rejected; after
//! the call of an established watch, within the interval of its rejection. After other failures, the backoff is
//! counted from the failure, and the next call may start later. The rest of the deadline covers a wait in discovery's
//! queue. A rejected call is repeated at a random time within the interval: the fewer replicas of a fleet call at
//! once, the fewer are rejected.
use crate::policy::random::Random;
use crate::settings::Settings;
use crate::time::Millis;

/// Backoff after the first failed call, before jitter; doubles with each further one.
const FAILURE_BACKOFF: Millis = 400.0;
/// `poll_acknowledge_timeout` divided by this is the largest backoff after failed calls.
const MAX_FAILURE_BACKOFF_DIVISOR: f64 = 3.0;
/// Smallest random fraction of a backoff after failed calls.
const MIN_FAILURE_JITTER: f64 = 0.5;
/// Largest number of doublings, so that they cannot overflow.
const MAX_DOUBLINGS: u32 = 10;
/// Discovery counts a replica as notified of a change at the latest this long after it had the change and could be
/// reached.
const NOTIFICATION_DEADLINE: Millis = 6000.0;
/// The same as a multiple of `poll_acknowledge_timeout`, where that is less.
const NOTIFICATION_DEADLINE_MULTIPLE: f64 = 4.0;
/// Longest time in which discovery serves or rejects a call: it lets calls wait in its queue for 2 s.
const MAX_RESPONSE_TIME: Millis = 2100.0;
/// Smallest [`max_call_interval`], whatever the settings say: it limits how often calls that are rejected at once
/// are repeated.
const MIN_CALL_INTERVAL: Millis = 1000.0;
/// Shortest pause after a rejected call, before jitter.
const MIN_REJECTION_PAUSE: Millis = 300.0;
/// Largest pause after a rejected call at an address that discovery has migrated to. It is short because discovery
/// soon counts this replica as notified.
const MIGRATION_PAUSE: Millis = 2000.0;
/// Smallest random fraction of a pause after rejected calls.
const MIN_REJECTION_JITTER: f64 = 0.2;

/// Why a call for the list failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// The call broke, timed out or had a malformed response.
    NoValidResponse,
    /// Discovery rejected the call.
    Rejected,
}

/// Longest time from the start of a rejected call to the start of the next one.
fn max_call_interval(settings: &Settings) -> Millis {
    let deadline = NOTIFICATION_DEADLINE
        .min(settings.poll_acknowledge_timeout * NOTIFICATION_DEADLINE_MULTIPLE);
    (deadline - MAX_RESPONSE_TIME).max(MIN_CALL_INTERVAL)
}

/// The state of the calls to discovery.
#[derive(Default)]
pub(super) struct EndpointPolling {
    /// Failed calls since the last response or migration, without those rejected while an endpoint accepted
    /// requests.
    consecutive_failures: u32,
    /// When the pending call started; `None` if none is pending, or if it is the call of an established watch.
    call_started_at: Option<Millis>,
    /// When discovery last confirmed the list.
    confirmed_at: Option<Millis>,
    /// When discovery last migrated.
    migrated_at: Option<Millis>,
}

impl EndpointPolling {
    pub(super) fn record_call(&mut self, now: Millis) {
        self.call_started_at = Some(now);
    }

    pub(super) fn record_response(&mut self, now: Millis) {
        self.consecutive_failures = 0;
        self.call_started_at = None;
        self.confirmed_at = Some(now);
    }

    pub(super) fn record_migration(&mut self, now: Millis) {
        self.consecutive_failures = 0;
        self.call_started_at = None;
        self.migrated_at = Some(now);
    }

    /// Records a failed call and returns the pause before the next one. While no endpoint accepts requests, a
    /// rejection is treated like any other failure, so that the pause stays short.
    pub(super) fn record_failure(
        &mut self,
        failure: CallFailure,
        has_accepting_endpoint: bool,
        now: Millis,
        settings: &Settings,
        random: &mut Random,
    ) -> Millis {
        let call_started_at = self.call_started_at.take();
        let (pause, min_jitter) = match failure {
            CallFailure::Rejected if has_accepting_endpoint => {
                let next_call_by = self.next_call_by(call_started_at, now, settings);
                (next_call_by - now, MIN_REJECTION_JITTER)
            }
            CallFailure::Rejected | CallFailure::NoValidResponse => {
                (self.next_failure_backoff(settings), MIN_FAILURE_JITTER)
            }
        };
        pause * (min_jitter + (1.0 - min_jitter) * random.fraction())
    }

    fn next_failure_backoff(&mut self, settings: &Settings) -> Millis {
        let multiple = f64::from(1u32 << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
        let max = settings.poll_acknowledge_timeout / MAX_FAILURE_BACKOFF_DIVISOR;
        (FAILURE_BACKOFF * multiple).min(max)
    }

    /// When the call after a rejected one has to start at the latest.
    fn next_call_by(
        &self,
        call_started_at: Option<Millis>,
        now: Millis,
        settings: &Settings,
    ) -> Millis {
        let has_migrated = self
            .migrated_at
            .is_some_and(|at| now - at < settings.poll_acknowledge_timeout);
        if has_migrated {
            return now + MIGRATION_PAUSE;
        }
        let interval = max_call_interval(settings);
        let earliest = now + MIN_REJECTION_PAUSE;
        let Some(call_started_at) = call_started_at else {
            // Until discovery rejected the call of the established watch, it had no change to report.
            return now + interval;
        };
        // A watch that failed may have missed changes since the list was confirmed.
        match self.confirmed_at.map(|at| at + interval) {
            Some(next_call_by) if next_call_by >= earliest => next_call_by,
            _ => (call_started_at + interval).max(earliest),
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
