//! The requests that one connection to an upstream has carried, and what surplus data on it is
//! evidence of.
use crate::outbound::surplus_history::{
    SurplusCause, LONG_REUSE_DELAY, MAX_DETECTABLE_DUPLICATE_DELAY,
};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The requests that one connection has carried.
#[derive(Default)]
pub struct RequestHistory {
    /// How many requests it has carried.
    requests: Cell<u32>,
    /// When its newest response was complete.
    last_response_at: Cell<Option<Instant>>,
    /// Whether its newest request still lacks a complete response.
    awaits_response: Cell<bool>,
    /// Whether any request followed a response before [`LONG_REUSE_DELAY`] had passed.
    has_been_reused_early: Cell<bool>,
}

impl RequestHistory {
    /// Records that the connection is used for a request.
    pub fn record_request(&self, now: Instant) {
        let follows_early = self.last_response_at.get().is_some_and(|response_at| {
            now.saturating_duration_since(response_at) < LONG_REUSE_DELAY
        });
        self.has_been_reused_early
            .set(self.has_been_reused_early.get() || follows_early);
        self.requests.set(self.requests.get().saturating_add(1));
        self.awaits_response.set(true);
    }

    /// Records that the response to the newest request is complete.
    pub fn record_response(&self, now: Instant) {
        self.last_response_at.set(Some(now));
        self.awaits_response.set(false);
    }

    /// Whether any of its requests has got a complete response.
    pub fn has_completed_request(&self) -> bool {
        self.last_response_at.get().is_some()
    }

    /// Whether it has been used for more than one request.
    pub fn is_reused(&self) -> bool {
        self.requests.get() > 1
    }

    /// What surplus data that arrives at `now` is evidence of. On a connection that has carried one
    /// request it is a copy of that request's response. After early reuse it may be the response to
    /// a request that was given the response to an earlier one. Data later than
    /// [`MAX_DETECTABLE_DUPLICATE_DELAY`] could have been taken for a response on a reused connection.
    ///
    /// If the data equals the newest response (`is_duplicate`), its lateness is known. That holds only
    /// if the newest response certainly belongs to its request: after early reuse it may be a copy
    /// itself.
    pub fn cause_of_surplus(&self, is_duplicate: bool, now: Instant) -> SurplusCause {
        let delay = self.surplus_delay(now);
        let is_late = delay > MAX_DETECTABLE_DUPLICATE_DELAY;
        if is_late || self.has_been_reused_early.get() {
            SurplusCause::Unexplained
        } else if is_duplicate && !self.awaits_response.get() {
            SurplusCause::Duplicate { delay }
        } else {
            SurplusCause::ProbableDuplicate
        }
    }

    /// Time since the newest response was complete. Zero before the first response, and while a
    /// response is awaited or incomplete: data that arrives then counts as arriving with it.
    fn surplus_delay(&self, now: Instant) -> Duration {
        match self.last_response_at.get() {
            Some(response_at) if !self.awaits_response.get() => {
                now.saturating_duration_since(response_at)
            }
            Some(_) | None => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
