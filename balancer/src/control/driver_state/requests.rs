//! The driver's pending requests: submission, deadlines and final responses.
use super::DriverState;
use crate::body::request_body::RequestBody;
use crate::clock::to_millis;
use crate::control::pending_requests::PendingRequest;
use crate::control::request_claims::RequestIdHash;
use crate::control::timers::TimerEvent;
use crate::outbound::message::{FinalResponse, OutboundRequest, SubmitError};
use balancer_core::{Idempotency, Millis, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request as the task of its client's connection submits it.
pub struct NewRequest {
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: usize,
    /// The request as attempts send it.
    pub request: OutboundRequest,
}

/// A request that was added to the pending requests.
pub struct SubmittedRequest {
    /// Its id.
    pub id: RequestId,
    /// When the final response must be given; infinite while the request's body is incomplete.
    pub deadline: Millis,
    /// The request as attempts send it.
    pub request: Rc<OutboundRequest>,
    /// Receives the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

impl DriverState {
    /// Adds a request. Each added request receives exactly one final response, unless its client disconnects before.
    pub fn submit(&mut self, new: NewRequest) -> Result<SubmittedRequest, SubmitError> {
        let idempotency = self
            .idempotency_by_class
            .get(new.class)
            .copied()
            .unwrap_or(Idempotency::NonIdempotent);
        let is_body_complete = matches!(new.request.body, RequestBody::Buffered(_));
        let (response_sender, response) = oneshot::channel();
        let mut pending = PendingRequest::new(response_sender, new.request, idempotency);
        let deadline = if is_body_complete {
            self.core_time(pending.record_body_complete(self.latest_deadline))
        } else {
            f64::INFINITY
        };
        let request = pending.request().clone();
        let id = self.pending.insert(pending)?;
        tracing::debug!(
            request = id.0,
            class = new.class,
            tenant = new.tenant,
            client_timeout_ms = to_millis(request.response_timeout()),
            "request accepted"
        );
        Ok(SubmittedRequest {
            id,
            deadline,
            request,
            response,
        })
    }

    /// How many requests are active; see [`PendingRequest::is_active`].
    pub fn active_requests(&self) -> usize {
        self.pending.active()
    }

    /// The requests that no other process may run; see [`PendingRequests::unrepeatable`].
    ///
    /// [`PendingRequests::unrepeatable`]: crate::control::pending_requests::PendingRequests::unrepeatable
    pub fn unrepeatable_requests(&self) -> Vec<RequestIdHash> {
        self.pending.unrepeatable()
    }

    /// Remembers requests that another process may have run.
    pub fn remember_departed(&mut self, ids: Vec<RequestIdHash>) {
        self.pending.remember_departed(ids);
    }

    /// Limits the deadlines of all requests whose body is completed from now on. None is later than `within` from now.
    pub fn limit_deadlines(&mut self, within: Duration) {
        self.latest_deadline = Some(Instant::now() + within);
    }

    /// Fails each request without a final response, unless its response has begun, which is then passed
    /// on. Returns the ids of the failed requests.
    pub fn fail_pending(&mut self) -> Vec<RequestId> {
        let attempts = &self.attempts;
        self.pending
            .fail_all_unless(|latest_attempt| attempts.pass_on_response(latest_attempt))
    }

    /// Removes a request that has ended and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        self.pending.remove_if_finished(id);
    }

    /// The body of a request is complete. Sets its deadline and the timeout of its attempt in flight. Returns the
    /// deadline; `None` if the request is no longer pending.
    pub fn request_body_complete(&mut self, request: RequestId) -> Option<Millis> {
        let pending = self.pending.get_mut(request)?;
        let deadline = pending.record_body_complete(self.latest_deadline);
        let id = pending.latest_attempt(request);
        if let Some(attempt) = self.attempts.get_mut(id) {
            if !attempt.has_response_started() {
                attempt.record_body_complete(Instant::now());
                let timeout = self.timers.set(deadline, TimerEvent::AttemptTimeout(id));
                if let Some(replaced) = attempt.replace_timeout(timeout) {
                    self.timers.cancel(replaced);
                }
            }
        }
        Some(self.core_time(deadline))
    }

    /// The client has disconnected. Returns whether its request still waited for a response.
    pub fn client_disconnected(&mut self, id: RequestId) -> bool {
        // For the core, a request that was answered at the same moment has already ended.
        let was_waiting = self
            .pending
            .get_mut(id)
            .is_some_and(PendingRequest::client_disconnected);
        if was_waiting {
            tracing::debug!(request = id.0, "client disconnected");
            self.remove_if_finished(id);
        }
        was_waiting
    }

    /// Answers a request as the core requested. The guard may replace a rejection by a failure.
    pub fn respond(&mut self, id: RequestId, response: FinalResponse) {
        tracing::debug!(request = id.0, answer = ?response, "request answered");
        let Some(pending) = self.pending.get_mut(id) else {
            return;
        };
        let response = pending.check_response(response, &self.guard);
        // A client that disconnected at the same moment gets no response.
        let _ = pending.respond(response);
        self.remove_if_finished(id);
    }
}
