//! Handling of requests: admission, events of their bodies and clients, and the one final response.
use crate::action::Action;
use crate::class::{DedupScope, Idempotency};
use crate::policy::capacity::ADMISSION_CYCLE;
use crate::policy::latency::latency_ratio;
use crate::policy::pending_request::{expiry, PendingRequest};
use crate::policy::Balancer;
use crate::request::{AttemptOutcome, Request, RequestId};
use crate::time::Millis;

/// Smallest `Retry-After`, in cycles. A random part of a cycle is added, so that clients that respect it do
/// not return together.
const MIN_RETRY_AFTER_CYCLES: f64 = 0.5;

impl Balancer {
    /// Admits a request and sends its first attempt, or rejects it.
    pub(super) fn handle_request(
        &mut self,
        now: Millis,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        self.retry_budget.record_request();
        self.record_load(now);
        let is_admitted = request.class < self.settings.classes.len()
            && self.admission.admit(request.tenant, now);
        if !is_admitted {
            let rejection = self.rejection(request.id);
            actions.push(rejection);
            return;
        }
        let class = &self.settings.classes[request.class];
        let expires_at = expiry(class, request.deadline, now);
        let pending = PendingRequest::new(request.class, expires_at);
        self.pending.insert(request.id, pending);
        if !self.send_attempt(now, request.id, actions) {
            self.reject_or_fail(request.id, actions);
        }
    }

    /// Sets when a streamed request expires, and expects responses to its attempts from now on.
    pub(super) fn handle_body_complete(&mut self, now: Millis, id: RequestId, deadline: Millis) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !pending.is_body_incomplete() {
            return;
        }
        let class = &self.settings.classes[pending.class()];
        pending.complete_body(expiry(class, deadline, now));
        let is_closed = pending.is_closed();
        for attempt in pending.attempts_mut() {
            if attempt.sent_at != f64::INFINITY {
                continue;
            }
            attempt.sent_at = now;
            if !is_closed {
                self.endpoints.record_body_complete(attempt, now);
            }
        }
    }

    pub(super) fn handle_body_discarded(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.forbid_retries(self.settings.max_attempts);
        }
    }

    /// Prevents retries, as the client receives the response that has started.
    pub(super) fn handle_response_started(&mut self, now: Millis, id: RequestId, number: u32) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.close();
        if let Some(attempt) = pending.attempt_mut(number) {
            self.endpoints.record_response_started(attempt, now);
        }
    }

    pub(super) fn handle_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.close();
        if self.settings.cancel {
            for attempt in pending.attempts() {
                actions.push(Action::Cancel {
                    request: id,
                    attempt: attempt.number,
                });
            }
        }
        self.remove_if_none_in_flight(id);
    }

    /// Gives the final response: a rejection if the client may safely retry, otherwise a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.close();
        let may_run_again = match self.settings.classes[pending.class()].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => scope == DedupScope::All,
            Idempotency::NonIdempotent => false,
        };
        let is_safe_to_retry = may_run_again || pending.first_possible_run().is_none();
        self.remove_if_none_in_flight(id);
        let response = if is_safe_to_retry {
            self.rejection(id)
        } else {
            Action::Fail { request: id }
        };
        actions.push(response);
    }

    /// Removes a request, which the caller has closed, if no attempt is in flight.
    fn remove_if_none_in_flight(&mut self, id: RequestId) {
        let has_none_in_flight = self
            .pending
            .get(&id)
            .is_some_and(|pending| !pending.has_attempts());
        if has_none_in_flight {
            self.pending.remove(&id);
        }
    }

    fn rejection(&mut self, request: RequestId) -> Action {
        let cycles = MIN_RETRY_AFTER_CYCLES + self.random.fraction();
        Action::Reject {
            request,
            retry_after: (ADMISSION_CYCLE * cycles).min(self.settings.max_retry_after),
        }
    }

    /// Records requests in flight that are late already: the responses of a cycle are mostly the fast ones, and
    /// a timeout would show stale connections too late.
    pub(super) fn record_overdue_requests(&mut self, now: Millis) {
        let mut lost_in_flight = 0.0;
        for pending in self.pending.values().filter(|pending| !pending.is_closed()) {
            let Some(attempt) = pending.attempts().last() else {
                continue;
            };
            let expected = self.endpoints.latency().class(pending.class());
            let overdue = now - attempt.sent_at - expected.mean() - expected.margin();
            let idle_losses = self.endpoints.idle_losses_mut();
            if (0.0..ADMISSION_CYCLE).contains(&overdue) {
                idle_losses.record(attempt.idle_bucket, AttemptOutcome::Timeout, overdue);
            }
            if overdue >= 0.0 && idle_losses.is_stale(attempt.idle_bucket) {
                lost_in_flight += 1.0;
                continue;
            }
            let objective = self.settings.classes[pending.class()].objective;
            let ratio = latency_ratio(now - attempt.sent_at, objective);
            if ratio > 0.0 && !self.endpoints.is_unresponsive(attempt.endpoint, now) {
                self.admission.record_response(ratio);
            }
        }
        self.admission.record_lost_in_flight(lost_in_flight);
    }
}
