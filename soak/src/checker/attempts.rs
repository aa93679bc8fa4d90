//! Checks of the attempts of a request: their number, times, deadlines and repeats.
use super::Checker;
use crate::limits::{
    DISCONNECT_SLACK, FORWARDED_DEADLINE_SLACK, MAX_ATTEMPTS, OVERLAP_SLACK, SCHEDULING_SLACK,
};
use crate::observations::{Attempt, ClientOutcome, Request};
use crate::request_class::Idempotency;
use crate::rules::{Rule, Violation};
use tokio::time::Instant;

impl Checker<'_> {
    /// Checks that a request has at most [`MAX_ATTEMPTS`] attempts.
    pub(super) fn check_attempt_count(&self, id: &str, request: &Request) -> Option<Violation> {
        let count = request.attempts.len();
        if count <= MAX_ATTEMPTS {
            return None;
        }
        let last = request.attempts.last()?;
        let details = format!("{id}: {count} attempts, more than the allowed {MAX_ATTEMPTS}");
        Some(self.violation(Rule::TooManyAttempts, last.started_at, details))
    }

    /// Checks that no attempt starts after the client has disconnected.
    pub(super) fn check_attempts_after_disconnect(
        &self,
        id: &str,
        request: &Request,
    ) -> Vec<Violation> {
        let Some((ClientOutcome::Disconnected, disconnected_at)) = request.outcome else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.started_at <= disconnected_at + DISCONNECT_SLACK + SCHEDULING_SLACK {
                continue;
            }
            let delay = attempt.started_at - disconnected_at;
            let details =
                format!("{id}: attempt {number} started {delay:?} after the client disconnected");
            violations.push(self.violation(
                Rule::AttemptAfterDisconnect,
                attempt.started_at,
                details,
            ));
        }
        violations
    }

    /// Checks that no upstream gets a deadline later than the client's.
    pub(super) fn check_forwarded_deadlines(&self, id: &str, request: &Request) -> Vec<Violation> {
        let expires_at = request.sent_at + request.properties.deadline;
        let mut violations = Vec::new();
        for (number, attempt) in request.attempts.iter().enumerate() {
            let remaining = expires_at.saturating_duration_since(attempt.started_at);
            let Some(forwarded) = attempt.forwarded_deadline else {
                continue;
            };
            if forwarded <= remaining + FORWARDED_DEADLINE_SLACK + SCHEDULING_SLACK {
                continue;
            }
            let details = format!(
                "{id}: attempt {number} got a deadline of {forwarded:?} when the client had {remaining:?} left (request sent at {:.3} s)",
                self.seconds(request.sent_at)
            );
            violations.push(self.violation(Rule::ForwardedDeadline, attempt.started_at, details));
        }
        violations
    }

    /// Checks that each attempt ends before the next one starts.
    pub(super) fn check_concurrent_attempts(&self, id: &str, request: &Request) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (index, pair) in request.attempts.windows(2).enumerate() {
            let [previous, next] = pair else {
                continue;
            };
            let previous_ended_at = previous.outcome.map(|(_, at)| at);
            let overlap_limit = next.started_at + OVERLAP_SLACK;
            if previous_ended_at.is_some_and(|ended_at| ended_at <= overlap_limit) {
                continue;
            }
            let details = format!(
                "{id}: attempt {} started before the previous one ended (recorded end in s: {:?})",
                index + 1,
                previous_ended_at.map(|ended_at| self.seconds(ended_at))
            );
            violations.push(self.violation(Rule::ConcurrentAttempts, next.started_at, details));
        }
        violations
    }

    /// Checks that a request that may have been executed is repeated only if its idempotency allows that.
    pub(super) fn check_duplicate_executions(&self, id: &str, request: &Request) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut first_possible_execution_at: Option<Instant> = None;
        for (number, attempt) in request.attempts.iter().enumerate() {
            let is_unsafe =
                first_possible_execution_at.is_some_and(|first_possible_execution_at| {
                    !self.may_repeat(request, attempt, first_possible_execution_at)
                });
            if is_unsafe {
                let details = format!(
                    "{id}: attempt {number} may execute the request again; attempts: {:?}",
                    request.attempts
                );
                violations.push(self.violation(
                    Rule::DuplicateExecution,
                    attempt.started_at,
                    details,
                ));
            }
            if attempt.may_have_executed() {
                first_possible_execution_at.get_or_insert(attempt.started_at);
            }
        }
        violations
    }

    /// Whether an attempt may follow another one that started at `first_possible_execution_at` and may have executed
    /// the request.
    fn may_repeat(
        &self,
        request: &Request,
        attempt: &Attempt,
        first_possible_execution_at: Instant,
    ) -> bool {
        match request.properties.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey => {
                attempt.started_at
                    < first_possible_execution_at + self.limits.repeat_window + SCHEDULING_SLACK
            }
            // An attempt that did not arrive completely cannot have been executed.
            Idempotency::NonIdempotent => attempt.received_at.is_none(),
        }
    }
}
