//! The driver's attempts, from their start to their end.
use super::DriverState;
use crate::clock::{from_millis, to_millis};
use crate::control::attempt_id::AttemptId;
use crate::control::attempts::Attempt;
use crate::control::invariants::never_ran;
use crate::control::timers::TimerEvent;
use crate::outbound::connection_pool::Upstream;
use crate::outbound::message::{FinalResponse, OutboundRequest};
use balancer_core::{AttemptOutcome, Event, Millis, RequestId, UpstreamId};
use std::rc::Rc;
#[cfg(test)]
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// An attempt that is to be started.
pub struct PreparedAttempt {
    /// Its id.
    pub id: AttemptId,
    /// The id of its endpoint.
    pub upstream_id: UpstreamId,
    /// The endpoint's address and connections.
    pub upstream: Rc<Upstream>,
    /// The request as the attempt sends it.
    pub request: Rc<OutboundRequest>,
    /// When it starts.
    pub started_at: Instant,
    /// When it times out.
    pub deadline: Instant,
    /// Whether the request's body is complete.
    pub is_body_complete: bool,
}

impl DriverState {
    /// Prepares an attempt that the decision module wants started. `timeout_ms` of zero means no limit of its own. If
    /// the attempt cannot start, the events that say so are added.
    pub fn prepare_attempt(
        &mut self,
        request: RequestId,
        upstream_id: UpstreamId,
        timeout_ms: Millis,
    ) -> Option<PreparedAttempt> {
        let started_at = Instant::now();
        let now = self.now();
        let pending = self.pending.get_mut(request)?;
        let number = pending.attempts_started();
        let id = AttemptId { request, number };
        if pending.attempt_started(&self.guard).is_err() {
            // The decision module's view of this request is wrong. The request ends here.
            self.push_event(Event::ClientDisconnected(request));
            self.respond(request, FinalResponse::Failed);
            return None;
        }
        let upstream = match self.endpoints.upstream(upstream_id) {
            Some(upstream) if !pending.is_answered() => upstream.clone(),
            _ => {
                self.attempt_not_sent(id, started_at);
                return None;
            }
        };
        let remaining_ms = pending.remaining_ms(now);
        let timeout_ms = if timeout_ms > 0.0 {
            timeout_ms.min(remaining_ms)
        } else {
            remaining_ms
        };
        let prepared = PreparedAttempt {
            id,
            upstream_id,
            upstream,
            request: pending.request().clone(),
            started_at,
            deadline: started_at + from_millis(timeout_ms),
            is_body_complete: pending.is_body_complete(),
        };
        tracing::debug!(
            request = request.0,
            id = %prepared.request.label(),
            attempt = number,
            upstream = %prepared.upstream.addr.get(),
            wait_ms = timeout_ms,
            "attempt started"
        );
        self.free_descriptor_for(&prepared.upstream);
        Some(prepared)
    }

    /// Books an attempt as ended for which nothing was sent.
    fn attempt_not_sent(&mut self, id: AttemptId, started_at: Instant) {
        let Some(pending) = self.pending.get_mut(id.request) else {
            return;
        };
        let request_completed = pending.is_answered();
        pending.attempt_ended(started_at, true);
        self.push_event(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            outcome: AttemptOutcome::NotSent,
            duration: 0.0,
            request_completed,
        });
    }

    /// Closes an idle connection if an attempt to `upstream` needs a descriptor and none is free.
    fn free_descriptor_for(&self, upstream: &Upstream) {
        if upstream.oldest_idle().is_none() && self.dispatch.sockets_exhausted() {
            self.endpoints.close_oldest_idle();
        }
    }

    /// Books a prepared attempt as started; `task` carries it out.
    pub fn attempt_started(&mut self, prepared: PreparedAttempt, task: AbortHandle) {
        let PreparedAttempt {
            id,
            upstream_id,
            started_at,
            ..
        } = prepared;
        let attempt = if prepared.is_body_complete {
            let timeout = self
                .timers
                .set(prepared.deadline, TimerEvent::AttemptTimeout(id));
            Attempt::complete(upstream_id, started_at, task, timeout)
        } else {
            Attempt::streaming(upstream_id, started_at, task)
        };
        self.attempts.insert(id, attempt);
    }

    /// An attempt has a connection to write to.
    pub fn attempt_connected(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.connected(Instant::now());
        }
    }

    /// A streamed response has started and is relayed to the client. Returns whether the attempt was still in flight.
    pub fn response_started(&mut self, id: AttemptId, response: FinalResponse) -> bool {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return false;
        };
        if let Some(timeout) = attempt.response_started() {
            self.timers.cancel(timeout);
        }
        if let Some(pending) = self.pending.get_mut(id.request) {
            pending.respond_and_relay(response);
        }
        true
    }

    /// Books the end of an attempt. Only the first end counts: the attempt's task stops and its connection closes. Adds
    /// the event for the decision module. Returns whether the attempt was in flight.
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
        let mut request_completed = true;
        if let Some(pending) = self.pending.get_mut(id.request) {
            let never_ran = never_ran(outcome, self.rejects_after_start);
            pending.attempt_ended(attempt.started_at(), never_ran);
            if let Some(response) = response {
                // A client that disconnected at the same moment gets no response.
                let _ = pending.respond(response);
            }
            request_completed = pending.is_answered();
        }
        self.remove_if_finished(id.request);
        self.push_event(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            outcome,
            duration,
            request_completed,
        });
        true
    }

    /// The response time so far of one attempt in flight.
    #[cfg(test)]
    pub fn any_response_time(&self) -> Option<Duration> {
        self.attempts.any_response_time()
    }
}
