//! Checks of the responses that clients receive.
use super::Checker;
use crate::limits::{RESPONSE_SLACK, SCHEDULING_SLACK};
use crate::observations::{Attempt, ClientOutcome, Period, Request};
use crate::request_class::Idempotency;
use crate::rules::{Rule, Violation};
use tokio::time::Instant;

impl Checker<'_> {
    /// Checks that a request got a final response in time, and that a rejected request was not executed.
    pub(super) fn check_response(&self, id: &str, request: &Request) -> Option<Violation> {
        let (outcome, ended_at) = request.outcome?;
        let due_at = request.sent_at
            + request.properties.response_timeout
            + RESPONSE_SLACK
            + SCHEDULING_SLACK;
        if outcome == ClientOutcome::Disconnected {
            return None;
        }
        if !request.properties.complete || self.was_balancer_down(request, ended_at.max(due_at)) {
            return None;
        }
        let rule = if self.is_lost(request, outcome, ended_at, due_at) {
            Rule::LostRequest
        } else if is_falsely_rejected(request, outcome) {
            Rule::FalseRejection
        } else {
            return None;
        };
        let details = self.describe_request(id, request, outcome, ended_at);
        Some(self.violation(rule, ended_at, details))
    }

    /// Whether the balancer was down at any time from the sending of the request to `until`.
    fn was_balancer_down(&self, request: &Request, until: Instant) -> bool {
        let period = Period {
            start: request.sent_at,
            end: until,
        };
        self.observations
            .was_down(request.properties.balancer, period)
    }

    fn is_lost(
        &self,
        request: &Request,
        outcome: ClientOutcome,
        ended_at: Instant,
        due_at: Instant,
    ) -> bool {
        match outcome {
            ClientOutcome::NoResponse => true,
            ClientOutcome::ConnectionClosed => self.is_lost_with_connection(request, ended_at),
            ClientOutcome::Response(_) | ClientOutcome::TruncatedResponse => ended_at > due_at,
            ClientOutcome::Disconnected => false,
        }
    }

    /// Whether a request counts as lost after its connection closed without a response.
    fn is_lost_with_connection(&self, request: &Request, closed_at: Instant) -> bool {
        if !request.attempts.is_empty() {
            return true;
        }
        let period = Period {
            start: request.sent_at,
            end: closed_at,
        };
        // A balancer that has no file descriptors left may close a new connection without reading from it.
        let had_no_descriptors = self
            .observations
            .had_exhausted_descriptors(request.properties.balancer, period);
        // A reused connection may have been closed by the balancer while the request was on its way.
        request.properties.new_connection && !had_no_descriptors
    }

    fn describe_request(
        &self,
        id: &str,
        request: &Request,
        outcome: ClientOutcome,
        ended_at: Instant,
    ) -> String {
        let attempts: Vec<_> = request
            .attempts
            .iter()
            .map(|attempt| {
                let outcome = attempt
                    .outcome
                    .map(|(outcome, at)| (outcome, self.seconds(at)));
                (
                    attempt.upstream.0,
                    self.seconds(attempt.started_at),
                    outcome,
                )
            })
            .collect();
        format!(
            "{id}: balancer {}, sent at {:.3} s, deadline {:?}, response expected within {:?}, ended {outcome:?} after {:?}, attempts (upstream, start in s, outcome and end in s) {attempts:?}",
            request.properties.balancer,
            self.seconds(request.sent_at),
            request.properties.deadline,
            request.properties.response_timeout + RESPONSE_SLACK + SCHEDULING_SLACK,
            ended_at - request.sent_at,
        )
    }
}

/// Whether a response states that a non-idempotent request was not executed although an attempt may have
/// executed it.
fn is_falsely_rejected(request: &Request, outcome: ClientOutcome) -> bool {
    matches!(outcome, ClientOutcome::Response(429 | 503))
        && request.properties.idempotency == Idempotency::NonIdempotent
        && request.attempts.iter().any(Attempt::may_have_executed)
}
