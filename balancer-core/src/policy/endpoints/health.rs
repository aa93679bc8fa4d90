//! Health of endpoints: ejected outliers, and endpoints that are unresponsive or overloaded.
use crate::policy::attempt::Attempt;
use crate::policy::endpoints::Endpoints;
use crate::policy::random::Random;
use crate::request::AttemptOutcome;
use crate::time::Millis;

/// Weight of the newest attempt in an endpoint's failure rate.
const FAILURE_GAIN: f64 = 0.25;
/// Weight of the newest attempt in the failure rate of all endpoints.
const TOTAL_FAILURE_GAIN: f64 = 0.02;
/// An outlier's failure rate exceeds that of all endpoints by more than this.
const OUTLIER_EXCESS: f64 = 0.4;
/// An outlier's failure rate is more than this multiple of that of all endpoints: where all endpoints fail
/// occasionally, ejecting some only overloads the others.
const OUTLIER_RATIO: f64 = 2.0;
/// Fewest attempts after which an outlier is ejected, unless it is unresponsive.
const MIN_ATTEMPTS: u32 = 3;
/// At most one in this many endpoints that accept requests is ejected at a time, so that the others can carry the
/// load; one is always allowed.
const MAX_EJECTED_DIVISOR: usize = 3;
/// Duration of the first ejection, before jitter; each further one is longer by this.
const EJECTION_STEP: Millis = 2000.0;
const MAX_EJECTION: Millis = 16_000.0;
/// Smallest random factor of an ejection's duration.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// Difference between the largest random factor and the smallest.
const EJECTION_JITTER_RANGE: f64 = 0.5;
/// An endpoint is unresponsive if it has sent no response for more than this multiple of the expected latency.
const UNRESPONSIVE_FACTOR: f64 = 6.0;
/// The same for an overloaded endpoint.
const OVERLOADED_FACTOR: f64 = 2.0;
/// Shortest time without a response after which an endpoint is unresponsive or overloaded.
const MIN_OVERDUE_WAIT: Millis = 300.0;

/// The failure history of one endpoint.
#[derive(Default)]
pub(super) struct EndpointHealth {
    failure_rate: f64,
    attempts: u32,
    ejected_until: Millis,
    /// Ejections since the endpoint was last healthy.
    ejections: u32,
}

impl EndpointHealth {
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn record(&mut self, failed: bool, is_unresponsive: bool) {
        self.attempts += 1;
        self.failure_rate += FAILURE_GAIN * (f64::from(failed) - self.failure_rate);
        if is_unresponsive {
            // The endpoint has sent no response for many times the latency that is expected of all endpoints: no
            // further timeouts are needed as proof.
            self.failure_rate = 1.0;
        }
    }

    fn is_outlier(&self, total_failure_rate: f64) -> bool {
        let rate = self.failure_rate;
        rate > OUTLIER_EXCESS + total_failure_rate && rate > OUTLIER_RATIO * total_failure_rate
    }

    fn is_healthy(&self) -> bool {
        self.failure_rate < OUTLIER_EXCESS / 2.0
    }

    fn eject(&mut self, now: Millis, random: &mut Random) {
        let steps = f64::from(self.ejections + 1);
        let duration = (EJECTION_STEP * steps).min(MAX_EJECTION);
        let jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * random.fraction();
        self.ejected_until = now + duration * jitter;
        self.ejections += 1;
        self.failure_rate = OUTLIER_EXCESS;
    }
}

impl Endpoints {
    /// Whether an endpoint has sent no response for many times the expected latency.
    pub(in crate::policy) fn is_unresponsive(&self, index: usize, now: Millis) -> bool {
        self.is_overdue(index, UNRESPONSIVE_FACTOR, now)
    }

    /// Whether an endpoint responds so late that it must be overloaded. Applies to the first tier only: in the
    /// tiers below, rejections waste the work of the tiers above.
    pub(super) fn is_overloaded(&self, index: usize, now: Millis) -> bool {
        self.settings.tier == 0 && self.is_overdue(index, OVERLOADED_FACTOR, now)
    }

    /// Whether there is another endpoint that fails less often and that requests do not avoid.
    pub(in crate::policy) fn has_more_reliable_endpoint(&self, index: usize, now: Millis) -> bool {
        let failure_rate = self.endpoint_failure_rate(index);
        self.by_id.values().any(|&other| {
            other != index
                && self.accepts_requests(other)
                && self.endpoint_failure_rate(other) < failure_rate
                && !self.is_avoided(other, now)
        })
    }

    /// Whether requests avoid an endpoint as long as another can receive them.
    pub(super) fn is_avoided(&self, index: usize, now: Millis) -> bool {
        let endpoint = &self.slots[index];
        endpoint.health.is_ejected(now)
            || endpoint.may_be_draining
            || self.is_unresponsive(index, now)
            || self.is_overloaded(index, now)
    }

    fn is_overdue(&self, index: usize, factor: f64, now: Millis) -> bool {
        let in_flight = &self.slots[index].in_flight;
        let expected = in_flight
            .classes()
            .iter()
            .map(|&class| self.latency.class(class).mean())
            .fold(self.latency.mean(), f64::max);
        in_flight.awaited() > 0 && in_flight.wait(now) > (factor * expected).max(MIN_OVERDUE_WAIT)
    }

    /// Records the outcome of an attempt. Returns whether the endpoint is an outlier: its failures are then its own
    /// and not the tier's.
    pub(in crate::policy) fn record_outcome(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        duration: Millis,
        now: Millis,
        random: &mut Random,
    ) -> bool {
        let index = attempt.endpoint;
        let timed_out = outcome == AttemptOutcome::Timeout;
        let failed = outcome != AttemptOutcome::Success;
        let is_unresponsive = timed_out && self.is_unresponsive(index, now);
        self.idle_losses
            .record(attempt.idle_bucket, outcome, duration);
        let endpoint = &mut self.slots[index];
        endpoint.record_end(attempt, outcome, now);
        if matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            return false;
        }
        if !timed_out {
            endpoint.in_flight.record_response(now);
        }
        let expected = self.latency.class(attempt.class).mean();
        endpoint.record_latency(duration, expected, failed);
        if !failed {
            self.latency.record_response(attempt.class, duration);
        }
        self.record_health(index, failed, is_unresponsive, now, random)
    }

    /// Updates failure rates and ejects an outlier. Returns whether the endpoint is an outlier.
    fn record_health(
        &mut self,
        index: usize,
        failed: bool,
        is_unresponsive: bool,
        now: Millis,
        random: &mut Random,
    ) -> bool {
        self.failure_rate += TOTAL_FAILURE_GAIN * (f64::from(failed) - self.failure_rate);
        let may_eject =
            self.ejected_count(now) < (self.accepting_count / MAX_EJECTED_DIVISOR).max(1);
        let health = &mut self.slots[index].health;
        health.record(failed, is_unresponsive);
        let is_outlier = health.is_outlier(self.failure_rate);
        if health.is_ejected(now) {
            return is_outlier;
        }
        let is_proven = is_outlier && (is_unresponsive || health.attempts >= MIN_ATTEMPTS);
        if !failed && health.is_healthy() {
            health.ejections = 0;
        } else if failed && is_proven && may_eject {
            health.eject(now, random);
        }
        is_outlier
    }

    fn ejected_count(&self, now: Millis) -> usize {
        self.by_id
            .values()
            .filter(|&&index| self.slots[index].health.is_ejected(now))
            .count()
    }
}
