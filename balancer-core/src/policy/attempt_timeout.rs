//! How long an attempt may take.
use crate::class::Idempotency;
use crate::policy::attempt::Attempt;
use crate::policy::pending_request::PendingRequest;
use crate::policy::Balancer;
use crate::time::Millis;

/// Failure rate of an endpoint above which attempts time out early, so that a retry is in time.
const SUSPECT_FAILURE_RATE: f64 = 0.2;
/// Fraction of attempts lost on connections of an idle bucket above which attempts on such connections time out
/// early, so that a retry is in time.
const SUSPECT_LOSS: f64 = SUSPECT_FAILURE_RATE / 4.0;
/// Smallest early timeout: what timers, schedulers and a new connection may take on a busy machine.
const MIN_EARLY_TIMEOUT: Millis = 100.0;
/// Largest factor by which the relative latency of an endpoint extends its early timeouts.
const MAX_TIMEOUT_FACTOR: f64 = 3.0;

/// The timeout of an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptTimeout {
    /// Time after the send; zero: none but the client's deadline.
    pub(super) after: Millis,
    /// Whether it ends the attempt before the request expires, so that a retry is in time.
    pub(super) is_early: bool,
}

impl Balancer {
    /// The timeout of an attempt: when the request expires, or earlier if responses were lost and a retry is
    /// allowed, would be in time and is likely to be served sooner.
    pub(super) fn attempt_timeout(
        &self,
        pending: &PendingRequest,
        attempt: &Attempt,
        now: Millis,
    ) -> AttemptTimeout {
        let at_expiry = AttemptTimeout {
            after: pending.expires_at() - now,
            is_early: false,
        };
        if pending.is_body_incomplete() {
            return AttemptTimeout {
                after: 0.0,
                ..at_expiry
            };
        }
        if !self.is_retry_better(attempt, now) || !self.may_retry(pending) {
            return at_expiry;
        }
        let expected = self.endpoints.latency().class(pending.class());
        let mean = expected.mean();
        let relative_latency = self.endpoints.relative_latency(attempt.endpoint);
        let early =
            mean * relative_latency.clamp(1.0, MAX_TIMEOUT_FACTOR) + expected.margin().max(mean);
        let early = early.max(MIN_EARLY_TIMEOUT);
        let is_retry_in_time = now + early + mean < pending.expires_at();
        if !is_retry_in_time {
            return at_expiry;
        }
        AttemptTimeout {
            after: early,
            is_early: true,
        }
    }

    /// Whether the response may be lost, and another endpoint or a new connection is likely to serve a retry.
    fn is_retry_better(&self, attempt: &Attempt, now: Millis) -> bool {
        if self.endpoints.idle_losses().fraction(attempt.idle_bucket) > SUSPECT_LOSS {
            return true;
        }
        let failure_rate = self.endpoints.endpoint_failure_rate(attempt.endpoint);
        failure_rate > SUSPECT_FAILURE_RATE
            && self
                .endpoints
                .has_more_reliable_endpoint(attempt.endpoint, now)
    }

    /// Whether the class, the remaining attempts and the retry budget allow a retry after an early timeout. The
    /// window and scope of an idempotency key are checked when the retry is sent.
    fn may_retry(&self, pending: &PendingRequest) -> bool {
        let idempotency = self.settings.classes[pending.class()].idempotency;
        idempotency != Idempotency::NonIdempotent
            && pending.has_remaining_attempts(self.settings.max_attempts)
            && self.retry_budget.allows_early_timeout()
    }
}
