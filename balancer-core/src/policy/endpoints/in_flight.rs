//! Requests in flight to one endpoint.
use crate::time::Millis;

/// Requests in flight, and since when the endpoint has been expected to respond.
#[derive(Default)]
pub(super) struct InFlight {
    count: u32,
    /// Number of requests that the endpoint is not expected to respond to: their body is incomplete, or their
    /// response has started.
    unawaited: u32,
    /// The class of each request.
    classes: Vec<usize>,
    /// When the endpoint last responded; or when it was next expected to respond, if no response was expected in
    /// between.
    awaited_since: Millis,
}

impl InFlight {
    pub(super) fn new(now: Millis) -> Self {
        InFlight {
            awaited_since: now,
            ..InFlight::default()
        }
    }

    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Number of requests that the endpoint is expected to respond to now.
    pub(super) fn awaited(&self) -> u32 {
        self.count.saturating_sub(self.unawaited)
    }

    pub(super) fn classes(&self) -> &[usize] {
        &self.classes
    }

    /// Time since the endpoint last responded; or since it was next expected to respond, if no response was expected
    /// in between.
    pub(super) fn wait(&self, now: Millis) -> Millis {
        now - self.awaited_since
    }

    pub(super) fn add(&mut self, class: usize, is_awaited: bool, now: Millis) {
        self.classes.push(class);
        self.reset_wait_if_none_awaited(now);
        self.count += 1;
        if !is_awaited {
            self.unawaited += 1;
        }
    }

    pub(super) fn remove(&mut self, class: usize) {
        self.count = self.count.saturating_sub(1);
        let position = self.classes.iter().position(|&other| other == class);
        if let Some(position) = position {
            self.classes.swap_remove(position);
        }
    }

    pub(super) fn record_response(&mut self, now: Millis) {
        self.awaited_since = now;
    }

    /// Records that the endpoint is no longer expected to respond to one of the requests.
    pub(super) fn stop_awaiting(&mut self) {
        self.unawaited += 1;
    }

    /// Counts one request less that the endpoint is not expected to respond to.
    pub(super) fn decrement_unawaited(&mut self) {
        self.unawaited = self.unawaited.saturating_sub(1);
    }

    /// Records that the endpoint is expected to respond to one more of the requests from now on.
    pub(super) fn start_awaiting(&mut self, now: Millis) {
        self.reset_wait_if_none_awaited(now);
        self.decrement_unawaited();
    }

    fn reset_wait_if_none_awaited(&mut self, now: Millis) {
        if self.awaited() == 0 {
            self.awaited_since = now;
        }
    }
}
