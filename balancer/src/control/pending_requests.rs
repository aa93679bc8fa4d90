//! The requests that wait for their final response or still have an attempt in flight.
use crate::body::request_body::RequestBody;
use crate::clock::{from_millis, to_millis};
use crate::control::attempt_id::AttemptId;
use crate::control::departed_requests::DepartedRequests;
use crate::control::request_claims::RequestIdHash;
use crate::invariants::{AttemptHistory, Guard};
use crate::outbound::message::{FinalResponse, OutboundRequest, SubmitError};
use crate::telemetry::guard_counts::Rule;
use balancer_core::{Idempotency, Millis, RequestId};
use hyper::header::HeaderValue;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The result of delivering a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The request had already ended.
    AlreadyEnded,
    /// The task of the client's connection has received it.
    Delivered,
    /// The client disconnected at the same moment.
    ClientDisconnected,
}

/// One request. It has at most one final response.
pub struct PendingRequest {
    /// `None` once the final response is given or the client has disconnected.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    request: Rc<OutboundRequest>,
    history: AttemptHistory,
    /// Whether a response is being relayed to the client.
    is_relaying_response: bool,
    /// Whether the client disconnected before it had a response.
    has_client_left: bool,
}

impl PendingRequest {
    /// A request without attempts.
    pub fn new(
        response_sender: oneshot::Sender<FinalResponse>,
        request: OutboundRequest,
        idempotency: Idempotency,
    ) -> PendingRequest {
        PendingRequest {
            response_sender: Some(response_sender),
            request: Rc::new(request),
            history: AttemptHistory::new(idempotency),
            is_relaying_response: false,
            has_client_left: false,
        }
    }

    /// The request as attempts send it.
    pub fn request(&self) -> &Rc<OutboundRequest> {
        &self.request
    }

    /// Whether it has its final response, or its client has disconnected.
    pub fn has_ended(&self) -> bool {
        self.response_sender.is_none()
    }

    /// Whether its body is complete.
    pub fn is_body_complete(&self) -> bool {
        self.request.deadline.get().is_some()
    }

    /// Whether its body is complete, and its client waits for the response or is still receiving it.
    pub fn is_active(&self) -> bool {
        self.is_body_complete() && (!self.has_ended() || self.is_relaying_response)
    }

    /// When the request expires; see [`OutboundRequest::expires_at`].
    pub fn expires_at(&self) -> Instant {
        self.request.expires_at()
    }

    /// When an attempt that starts now times out: when the request expires, or after `limit_ms` if that is not zero.
    /// The upstream is told the time until then, so it is never more than the client waits after its last byte.
    pub fn attempt_deadline(&self, limit_ms: Millis, now: Instant) -> Instant {
        let response_timeout = self.request.response_timeout();
        let limit = if limit_ms > 0.0 {
            from_millis(limit_ms).min(response_timeout)
        } else {
            response_timeout
        };
        self.expires_at().clamp(now, now + limit)
    }

    /// Records that the body is complete: the client waits for the response since it wrote its last byte, and not
    /// beyond `latest_deadline`. Returns the deadline.
    pub fn record_body_complete(&mut self, latest_deadline: Option<Instant>) -> Instant {
        let sent_at = match &self.request.body {
            RequestBody::Streamed(upload) => upload.earliest_end(),
            RequestBody::Buffered(_) => Instant::now(),
        };
        let response_due_at = sent_at + self.request.response_timeout();
        let deadline =
            latest_deadline.map_or(response_due_at, |latest| response_due_at.min(latest));
        self.request.deadline.set(Some(deadline));
        deadline
    }

    /// How many attempts were started.
    pub fn attempt_count(&self) -> u32 {
        self.history.started()
    }

    /// The latest attempt of this request, whose id is `request`. If none was started, no attempt has
    /// the id that results.
    pub fn latest_attempt(&self, request: RequestId) -> AttemptId {
        let number = self.attempt_count().wrapping_sub(1);
        AttemptId { request, number }
    }

    /// Records the start of an attempt, unless the guard denies it.
    pub fn record_attempt_start(&mut self, guard: &Guard) -> Result<(), Rule> {
        guard.start_attempt(&mut self.history, &self.request.label())
    }

    /// Records the end of an attempt; `never_ran` is proof that the upstream did not run the request.
    pub fn record_attempt_end(&mut self, started_at: Instant, never_ran: bool) {
        self.history.attempt_ended(started_at, never_ran);
    }

    /// Checks a response that the core requests. Returns the response to give: this one, or a failure if the guard
    /// denies a rejection.
    pub fn check_response(&self, response: FinalResponse, guard: &Guard) -> FinalResponse {
        if self.has_ended() {
            return response;
        }
        let label = self.request.label();
        guard.check_response_time(to_millis(self.expires_at().elapsed()), &label);
        match response {
            FinalResponse::Rejected { .. } if !guard.check_rejection(&self.history, &label) => {
                FinalResponse::Failed
            }
            response => response,
        }
    }

    /// Gives the final response, unless the request has already ended.
    pub fn respond(&mut self, response: FinalResponse) -> Delivery {
        let Some(response_sender) = self.end() else {
            return Delivery::AlreadyEnded;
        };
        match response_sender.send(response) {
            Ok(()) => Delivery::Delivered,
            Err(_) => {
                self.has_client_left = true;
                Delivery::ClientDisconnected
            }
        }
    }

    /// Gives the final response, whose body is being relayed from now on.
    pub fn respond_and_relay(&mut self, response: FinalResponse) {
        match self.respond(response) {
            Delivery::AlreadyEnded => {}
            delivery => self.is_relaying_response = delivery == Delivery::Delivered,
        }
    }

    /// The client has disconnected. Returns whether it still waited for a response.
    pub fn client_disconnected(&mut self) -> bool {
        let was_waiting = self.end().is_some();
        self.has_client_left |= was_waiting;
        was_waiting
    }

    /// Marks the request as ended, so that no attempt writes it any more. Returns the sender of its final response if
    /// the request had not ended before.
    fn end(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.request.ended.set(true);
        self.response_sender.take()
    }

    /// Whether the request must not run again, although its client may not know that it has run.
    fn is_departed(&self) -> bool {
        self.has_client_left && !self.history.may_reject()
    }

    fn is_finished(&self) -> bool {
        self.has_ended() && self.history.in_flight() == 0
    }
}

/// All pending requests by internal id, and the ids that clients chose for them.
pub struct PendingRequests {
    max_requests: usize,
    next_id: u32,
    by_id: HashMap<RequestId, PendingRequest>,
    client_request_ids: HashSet<HeaderValue>,
    departed: DepartedRequests,
}

impl PendingRequests {
    /// A table for at most `max_requests`.
    pub fn new(max_requests: usize) -> PendingRequests {
        PendingRequests {
            max_requests,
            next_id: 0,
            by_id: HashMap::new(),
            client_request_ids: HashSet::new(),
            departed: DepartedRequests::default(),
        }
    }

    /// Adds a request. Fails if the table is full, or the id that the client chose for the request is already
    /// in use, or belongs to a request that may have run and must not run again.
    pub fn insert(&mut self, pending: PendingRequest) -> Result<RequestId, SubmitError> {
        if self.by_id.len() >= self.max_requests {
            return Err(SubmitError::AtCapacity);
        }
        // Upstreams recognize repeats of a request by the id that the client chose for it. No other request may use
        // this id while an attempt with it may be in flight.
        if let Some(client_request_id) = &pending.request.request_id {
            if self.departed.contains(RequestIdHash::of(client_request_id)) {
                return Err(SubmitError::MayHaveRun);
            }
            if !self.client_request_ids.insert(client_request_id.clone()) {
                return Err(SubmitError::DuplicateRequestId);
            }
        }
        let id = self.allocate_id();
        self.by_id.insert(id, pending);
        Ok(id)
    }

    fn allocate_id(&mut self) -> RequestId {
        while self.by_id.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        id
    }

    /// A pending request.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    /// A pending request, to change it.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// How many requests are active; see [`PendingRequest::is_active`].
    pub fn active(&self) -> usize {
        self.by_id
            .values()
            .filter(|pending| pending.is_active())
            .count()
    }

    /// Fails each request without a final response, unless its latest attempt will give it one. Returns
    /// the ids of the failed requests.
    pub fn fail_all_unless(
        &mut self,
        gives_response: impl Fn(AttemptId) -> bool,
    ) -> Vec<RequestId> {
        let mut failed = Vec::new();
        for (&id, pending) in &mut self.by_id {
            if gives_response(pending.latest_attempt(id)) {
                continue;
            }
            if pending.respond(FinalResponse::Failed) != Delivery::AlreadyEnded {
                failed.push(id);
            }
        }
        failed
    }

    /// The requests that no other process may run: those that must not run twice and are pending, or may have run
    /// before their clients left.
    pub fn unrepeatable(&self) -> Vec<RequestIdHash> {
        let pending = self
            .by_id
            .values()
            .filter(|pending| pending.history.is_unrepeatable())
            .filter_map(|pending| pending.request.request_id.as_ref())
            .map(RequestIdHash::of);
        pending.chain(self.departed.iter()).collect()
    }

    /// Remembers requests that another process may have run.
    pub fn remember_departed(&mut self, ids: Vec<RequestIdHash>) {
        for id in ids {
            self.departed.insert(id);
        }
    }

    /// Removes a request that has ended and has no attempt in flight. The id that its client chose may be used again,
    /// unless the request may have run and its client has left.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if !self.by_id.get(&id).is_some_and(PendingRequest::is_finished) {
            return;
        }
        let Some(removed) = self.by_id.remove(&id) else {
            return;
        };
        if let Some(client_request_id) = &removed.request.request_id {
            self.client_request_ids.remove(client_request_id);
            if removed.is_departed() {
                self.departed.insert(RequestIdHash::of(client_request_id));
            }
        }
    }
}
