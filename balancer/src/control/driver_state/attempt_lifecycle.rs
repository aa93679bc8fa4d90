//! Starts and ends attempts, and keeps the driver's tables up to date meanwhile.
use super::DriverState;
use crate::clock::to_millis;
use crate::control::attempt_id::AttemptId;
use crate::control::attempts::Attempt;
use crate::control::pending_requests::PendingRequest;
use crate::control::prepared_attempt::PreparedAttempt;
use crate::control::timers::TimerEvent;
use crate::invariants::is_proven_not_run;
use crate::outbound::connection_pool::Upstream;
use crate::outbound::message::FinalResponse;
use balancer_core::{AttemptOutcome, Event, Millis, RequestId, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The timeout of an attempt that has no limit besides the client's timeout.
const NO_LIMIT_MS: Millis = 0.0;

/// A timeout that fires this long before its request expires, or later, is one at the expiry: the
/// core, which chose it, rounds times.
const EXPIRY_TOLERANCE: Duration = Duration::from_millis(1);

/// What the timeout of an attempt means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutResolution {
    /// The upstream has not responded in time.
    ResponseOverdue,
    /// The upstream has not taken the whole request in time, so it has not run the request.
    UploadOverdue,
    /// The response is complete or has begun, and is passed on.
    ResponseKept,
    /// The request's body or the response has made progress. The timer is set again.
    Postponed,
}

impl DriverState {
    /// Prepares an attempt that the core wants started. A `timeout_ms` of zero means that the attempt has no limit
    /// besides the client's timeout. If the attempt cannot start, queues the events that report this to the core, and
    /// returns `None`. For an unknown request no event is queued.
    pub fn prepare_attempt(
        &mut self,
        request: RequestId,
        upstream_id: UpstreamId,
        timeout_ms: Millis,
    ) -> Option<PreparedAttempt> {
        let started_at = Instant::now();
        let id = self.record_attempt_start(request)?;
        let Some(upstream) = self.attempt_upstream(request, upstream_id) else {
            self.attempt_not_sent(id, started_at);
            return None;
        };
        let pending = self.pending.get(request)?;
        let deadline = pending.attempt_deadline(timeout_ms, started_at);
        let prepared = PreparedAttempt {
            id,
            upstream_id,
            upstream,
            request: pending.request().clone(),
            started_at,
            deadline,
            response_progress: Rc::default(),
            is_body_complete: pending.is_body_complete(),
        };
        tracing::debug!(
            request = request.0,
            id = %prepared.request.label(),
            attempt = id.number,
            upstream = %prepared.upstream.address(),
            wait_ms = to_millis(deadline - started_at),
            "attempt started"
        );
        self.free_descriptor_for(&prepared.upstream);
        Some(prepared)
    }

    /// Records the start of an attempt. If the guard denies it, fails the request.
    fn record_attempt_start(&mut self, request: RequestId) -> Option<AttemptId> {
        let pending = self.pending.get_mut(request)?;
        let number = pending.attempt_count();
        if pending.record_attempt_start(&self.guard).is_err() {
            // The core's view of this request is wrong. The request ends here.
            self.push_event(Event::ClientDisconnected(request));
            self.respond(request, FinalResponse::Failed);
            return None;
        }
        Some(AttemptId { request, number })
    }

    /// The upstream of an attempt; `None` if it is unknown or the request has ended.
    fn attempt_upstream(
        &self,
        request: RequestId,
        upstream_id: UpstreamId,
    ) -> Option<Rc<Upstream>> {
        if self.pending.get(request)?.has_ended() {
            return None;
        }
        self.endpoints.upstream(upstream_id).cloned()
    }

    /// Records that an attempt has ended before anything was sent.
    fn attempt_not_sent(&mut self, id: AttemptId, started_at: Instant) {
        let Some(pending) = self.pending.get_mut(id.request) else {
            return;
        };
        let request_completed = pending.has_ended();
        let never_ran = true;
        pending.record_attempt_end(started_at, never_ran);
        self.push_event(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            outcome: AttemptOutcome::NotSent,
            duration: 0.0,
            request_completed,
        });
    }

    /// Closes an idle connection if an attempt to `upstream` needs a new descriptor and none is free.
    fn free_descriptor_for(&self, upstream: &Upstream) {
        if self.dispatch.descriptors_exhausted() && !upstream.has_reusable_idle(Instant::now()) {
            self.endpoints.close_oldest_idle();
        }
    }

    /// Records that a prepared attempt has started; `task` carries it out.
    pub fn attempt_started(&mut self, prepared: &PreparedAttempt, task: AbortHandle) {
        let id = prepared.id;
        let timeout = self
            .timers
            .set(prepared.deadline, TimerEvent::AttemptTimeout(id));
        self.attempts
            .insert(id, Attempt::new(prepared, task, timeout));
    }

    /// Resolves the timeout of an attempt, whose timer has fired.
    pub fn resolve_timeout(&mut self, id: AttemptId) -> TimeoutResolution {
        let now = Instant::now();
        let Some(pending) = self.pending.get(id.request) else {
            return TimeoutResolution::ResponseOverdue;
        };
        if pending.expires_at() <= now + EXPIRY_TOLERANCE {
            return self.resolve_expiry(id, pending.is_body_complete());
        }
        let Some(next_check_at) = self.next_timeout_check(id, pending, now) else {
            return TimeoutResolution::ResponseOverdue;
        };
        if let Some(attempt) = self.attempts.get_mut(id) {
            let timeout = self
                .timers
                .set(next_check_at, TimerEvent::AttemptTimeout(id));
            attempt.replace_timeout(timeout);
        }
        TimeoutResolution::Postponed
    }

    /// Resolves the timeout of an attempt whose request has expired.
    fn resolve_expiry(&self, id: AttemptId, is_body_complete: bool) -> TimeoutResolution {
        if self.attempts.pass_on_response(id) {
            return TimeoutResolution::ResponseKept;
        }
        if is_body_complete {
            TimeoutResolution::ResponseOverdue
        } else {
            TimeoutResolution::UploadOverdue
        }
    }

    /// When the timeout of an attempt, which has fired, is resolved anew: its request has time left.
    /// `None`: at once.
    fn next_timeout_check(
        &self,
        id: AttemptId,
        pending: &PendingRequest,
        now: Instant,
    ) -> Option<Instant> {
        let attempt_deadline = pending.attempt_deadline(NO_LIMIT_MS, now);
        if !pending.is_body_complete() {
            // A client that is still writing may be done at once, so its request may expire as early
            // as an attempt that starts now.
            return Some(attempt_deadline);
        }
        // An early timeout does not end a response that is in progress: a retry would hardly be
        // sooner. Nothing of it is passed on yet, so a retry is possible once it stops.
        let progress = self.attempts.response_progress(id)?;
        if progress.is_complete() {
            return Some(attempt_deadline);
        }
        let until = progress.relayable_until(now)?;
        Some(until.min(attempt_deadline))
    }

    /// An attempt has a connection to write to.
    pub fn attempt_connected(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.record_connected(Instant::now());
        }
    }

    /// A streamed response has started and is relayed to the client. Returns whether the attempt was still in flight.
    pub fn response_started(&mut self, id: AttemptId, response: FinalResponse) -> bool {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return false;
        };
        if let Some(timeout) = attempt.record_response_start() {
            self.timers.cancel(timeout);
        }
        if let Some(pending) = self.pending.get_mut(id.request) {
            pending.respond_and_relay(response);
        }
        true
    }

    /// Ends an attempt: stops its task, which closes its connection, and queues the event for the core. Only the first
    /// end counts. Returns whether the attempt was in flight.
    pub fn attempt_ended(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        response: Option<FinalResponse>,
    ) -> bool {
        let Some(mut attempt) = self.attempts.remove(id) else {
            return false;
        };
        if let Some(timeout) = attempt.stop() {
            self.timers.cancel(timeout);
        }
        self.forget_endpoint_if_unused(attempt.upstream());
        let duration = to_millis(attempt.response_time());
        tracing::debug!(
            request = id.request.0,
            attempt = id.number,
            ?outcome,
            duration_ms = duration,
            "attempt ended"
        );
        let never_ran = is_proven_not_run(outcome, self.rejects_after_start);
        let request_completed =
            self.record_attempt_end(id.request, attempt.started_at(), never_ran, response);
        self.push_event(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            outcome,
            duration,
            request_completed,
        });
        true
    }

    /// Records the end of an attempt in its request, with the response if there is one. Returns whether the request
    /// has ended: it is answered, or its client has disconnected.
    fn record_attempt_end(
        &mut self,
        request: RequestId,
        started_at: Instant,
        never_ran: bool,
        response: Option<FinalResponse>,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(request) else {
            return true;
        };
        pending.record_attempt_end(started_at, never_ran);
        if let Some(response) = response {
            // A client that disconnected at the same moment gets no response.
            let _ = pending.respond(response);
        }
        let request_completed = pending.has_ended();
        self.remove_if_finished(request);
        request_completed
    }

    /// The response time so far of one attempt in flight.
    #[cfg(test)]
    pub fn any_response_time(&self) -> Option<Duration> {
        self.attempts.any_response_time()
    }
}
