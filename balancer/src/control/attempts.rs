//! The attempts in flight.
use crate::control::attempt_id::AttemptId;
use crate::control::prepared_attempt::PreparedAttempt;
use crate::control::timers::TimerId;
use crate::outbound::response_progress::ResponseProgress;
use balancer_core::UpstreamId;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// An attempt in flight.
pub struct Attempt {
    upstream: UpstreamId,
    started_at: Instant,
    /// When the request was sent: the latest of the attempt's start, the end of the request's body, and the moment the
    /// connection was ready. `None` while the request's body is incomplete.
    sent_at: Option<Instant>,
    /// Time from `sent_at` to the start of a streamed response, once it has started.
    response_started_after: Option<Duration>,
    response_progress: Rc<ResponseProgress>,
    task: AbortHandle,
    timeout: Option<TimerId>,
}

impl Attempt {
    /// A prepared attempt that `task` carries out and `timeout` limits.
    pub fn new(prepared: &PreparedAttempt, task: AbortHandle, timeout: TimerId) -> Attempt {
        Attempt {
            upstream: prepared.upstream_id,
            started_at: prepared.started_at,
            sent_at: prepared.is_body_complete.then_some(prepared.started_at),
            response_started_after: None,
            response_progress: prepared.response_progress.clone(),
            task,
            timeout: Some(timeout),
        }
    }

    /// The endpoint that the attempt goes to.
    pub fn upstream(&self) -> UpstreamId {
        self.upstream
    }

    /// When the attempt started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Whether a streamed response has started.
    pub fn has_response_started(&self) -> bool {
        self.response_started_after.is_some()
    }

    /// Records that the body of the request is complete.
    pub fn record_body_complete(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Sets the timer of the attempt's timeout. Returns the one that it replaces.
    pub fn replace_timeout(&mut self, timeout: TimerId) -> Option<TimerId> {
        self.timeout.replace(timeout)
    }

    /// Records that the connection is ready. Time to connect must not count as the upstream's response time: on a
    /// network that is slow to connect, upstreams would look overloaded.
    pub fn record_connected(&mut self, now: Instant) {
        self.sent_at = self.sent_at.map(|sent_at| sent_at.max(now));
    }

    /// Records that a streamed response has started. Returns the timer of its timeout, which no longer applies.
    pub fn record_response_start(&mut self) -> Option<TimerId> {
        self.response_started_after = Some(self.response_time());
        self.timeout.take()
    }

    /// Time from sending the request to the start of a streamed response, or to now; zero until the request is sent.
    pub fn response_time(&self) -> Duration {
        self.response_started_after
            .or(self.sent_at.map(|sent_at| sent_at.elapsed()))
            .unwrap_or_default()
    }

    /// Stops the attempt's task, which closes its connection. Returns the timer of its timeout if it is still set.
    pub fn stop(&mut self) -> Option<TimerId> {
        self.task.abort();
        self.timeout.take()
    }
}

/// All attempts in flight.
#[derive(Default)]
pub struct Attempts {
    by_id: HashMap<AttemptId, Attempt>,
}

impl Attempts {
    /// Adds an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.by_id.insert(id, attempt);
    }

    /// Removes an attempt; `None` if it has already ended.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.by_id.remove(&id)
    }

    /// An attempt in flight.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)
    }

    /// What has arrived of the response to an attempt in flight.
    pub fn response_progress(&self, id: AttemptId) -> Option<&ResponseProgress> {
        self.by_id
            .get(&id)
            .map(|attempt| &*attempt.response_progress)
    }

    /// The time of an attempt's request is over. Returns whether the response is passed on
    /// nevertheless; see [`ResponseProgress::pass_on`].
    pub fn pass_on_response(&self, id: AttemptId) -> bool {
        self.response_progress(id)
            .is_some_and(ResponseProgress::pass_on)
    }

    /// Whether any attempt to this endpoint is in flight.
    pub fn has_attempt_to(&self, upstream: UpstreamId) -> bool {
        self.by_id
            .values()
            .any(|attempt| attempt.upstream == upstream)
    }

    /// The response time so far of one attempt in flight.
    #[cfg(test)]
    pub fn any_response_time(&self) -> Option<Duration> {
        self.by_id.values().map(Attempt::response_time).next()
    }
}
