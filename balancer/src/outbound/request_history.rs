//! The requests that one connection to an upstream has carried, and the cause of surplus data on
//! it.
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

    /// The cause of surplus data that arrives at `now`.
    ///
    /// On a connection that has carried one request, the data is a duplicate of that request's
    /// response. After early reuse, a request may have been given the response to an earlier
    /// request; the data may then be the response that this request should have got. Data that
    /// arrives later than [`MAX_DETECTABLE_DUPLICATE_DELAY`] after the newest response may be too
    /// late for the reuse delay: on a reused connection it could have been taken for the response
    /// to the next request.
    ///
    /// If the data equals the newest response (`is_duplicate`), the duplicate's delay is the time
    /// since that response. This is known only if the newest response certainly belongs to its
    /// request: after early reuse it may itself be a duplicate of an earlier response.
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
    /// response is awaited or incomplete: data that arrives meanwhile counts as arriving with that
    /// response.
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
