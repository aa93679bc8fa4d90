//! Run-time checks of the rules that hold whatever clients, upstreams, discovery and the system do.
//!
//! One [`Guard`] checks the start of each attempt, its first byte, each final response and the end of each client's
//! connection. Attempts and writes that it denies do not take place. It counts each violation by [`Rule`] and logs it;
//! operators read the counts among the metrics. In a correct program every count stays zero.
use crate::telemetry::guard_counts::{Rule, WriteDenial};
use crate::telemetry::log::log_line;
use crate::telemetry::metrics::Metrics;
use balancer_core::{AttemptOutcome, Idempotency, Millis};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of attempts for one request, whatever the settings say.
pub const MAX_ATTEMPTS: u32 = 5;
/// A response that comes more than this after the request's deadline violates [`Rule::ResponseOverdue`].
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);

/// The attempts that were started for one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    idempotency: Idempotency,
    started: u32,
    in_flight: u32,
    /// When the first attempt started that may have run.
    first_run_at: Option<Instant>,
}

impl AttemptHistory {
    /// The history of a request without attempts.
    pub fn new(idempotency: Idempotency) -> AttemptHistory {
        AttemptHistory {
            idempotency,
            started: 0,
            in_flight: 0,
            first_run_at: None,
        }
    }

    /// How many attempts are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// How many attempts were started.
    pub fn started(&self) -> u32 {
        self.started
    }

    fn attempt_started(&mut self) {
        self.started += 1;
        self.in_flight += 1;
    }

    /// Records the end of an attempt that started at `started_at`. `never_ran` states that the upstream is proven not
    /// to have run the request in this attempt.
    pub fn attempt_ended(&mut self, started_at: Instant, never_ran: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !never_ran {
            self.first_run_at.get_or_insert(started_at);
        }
    }

    /// The rule that another attempt would violate now, if any.
    fn rule_violated_by_attempt(&self, now: Instant) -> Option<Rule> {
        if self.started >= MAX_ATTEMPTS {
            return Some(Rule::AttemptLimit);
        }
        if self.in_flight > 0 {
            return Some(Rule::ConcurrentAttempt);
        }
        let first_run_at = self.first_run_at?;
        if self.is_repeatable(now - first_run_at) {
            return None;
        }
        Some(Rule::UnsafeRepeat)
    }

    /// Whether the request may be sent again when `since_first_run` has passed since the start of the first attempt
    /// that may have run it.
    fn is_repeatable(&self, since_first_run: Duration) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window, .. } => {
                since_first_run < Duration::from_secs_f64(window.max(0.0) / 1000.0)
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether the request must not run twice in any case.
    pub fn is_unrepeatable(&self) -> bool {
        self.idempotency == Idempotency::NonIdempotent
    }

    /// Whether the request may be rejected: for a request that is not idempotent, a rejection promises that it has not
    /// run.
    pub fn may_reject(&self) -> bool {
        !self.is_unrepeatable() || self.first_run_at.is_none()
    }
}

/// Whether an attempt that ended with `outcome` is proven not to have run the request. If `rejects_after_start`,
/// upstreams may reject a request after they have begun to run it, so that a rejection proves nothing.
pub fn is_proven_not_run(outcome: AttemptOutcome, rejects_after_start: bool) -> bool {
    outcome.never_ran() && !(outcome == AttemptOutcome::Rejected && rejects_after_start)
}

/// The conditions under which a request would be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteConditions {
    /// The upstream drains, is gone or suspended, and its grace period is over.
    pub endpoint_closed: bool,
    /// The attempt's time is over.
    pub expired: bool,
    /// The request has ended.
    pub request_ended: bool,
    /// The client has disconnected.
    pub client_disconnected: bool,
}

impl WriteConditions {
    /// The first reason why the request must not be written, if any.
    pub fn denial(self) -> Option<WriteDenial> {
        if self.endpoint_closed {
            return Some(WriteDenial::EndpointClosed);
        }
        if self.expired {
            return Some(WriteDenial::Expired);
        }
        if self.request_ended {
            return Some(WriteDenial::RequestEnded);
        }
        if self.client_disconnected {
            return Some(WriteDenial::ClientDisconnected);
        }
        None
    }
}

/// Decides whether attempts start and requests are written, and counts violations.
#[derive(Clone)]
pub struct Guard(Rc<Metrics>);

impl Guard {
    /// A guard that counts in these metrics.
    pub fn new(metrics: Rc<Metrics>) -> Guard {
        Guard(metrics)
    }

    /// Records the start of an attempt, unless it would violate a rule. `request` is the request's label in logs.
    pub fn start_attempt(&self, history: &mut AttemptHistory, request: &str) -> Result<(), Rule> {
        if let Some(rule) = history.rule_violated_by_attempt(Instant::now()) {
            self.record_violation(rule, request);
            return Err(rule);
        }
        history.attempt_started();
        Ok(())
    }

    /// Checks whether a request may be written now. Counts a denied write.
    pub fn check_write(&self, conditions: WriteConditions) -> Result<(), WriteDenial> {
        let Some(denial) = conditions.denial() else {
            return Ok(());
        };
        self.0.guard().record_denial(denial);
        tracing::debug!(reason = denial.name(), "write denied");
        Err(denial)
    }

    /// Checks whether a request with this history may be rejected. If not, records a violation; the request then has to
    /// fail.
    pub fn check_rejection(&self, history: &AttemptHistory, request: &str) -> bool {
        let may_reject = history.may_reject();
        if !may_reject {
            self.record_violation(Rule::RejectedAfterRun, request);
        }
        may_reject
    }

    /// Checks the time of a response. `overdue_ms` is the time since the request's deadline, negative before it.
    pub fn check_response_time(&self, overdue_ms: Millis, request: &str) {
        if overdue_ms > MAX_RESPONSE_DELAY.as_secs_f64() * 1000.0 {
            self.record_violation(Rule::ResponseOverdue, request);
        }
    }

    /// Records that the balancer closed a client's connection before responding to a request on it. The log line has
    /// `close_reason` where those of other rules have the request's label.
    pub fn closed_unanswered(&self, close_reason: &str) {
        self.record_violation(Rule::ClosedUnanswered, close_reason);
    }

    fn record_violation(&self, rule: Rule, request: &str) {
        self.0.guard().record_violation(rule);
        log_line!("invariant violated: {}: request {request}", rule.name());
    }
}

#[cfg(test)]
mod tests;
