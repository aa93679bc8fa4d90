//! How steadily an upstream sends the body of a response.
use crate::body::limits::BODY_STALL_TIMEOUT;
use std::time::Duration;
use tokio::time::Instant;

/// Slowest rate at which a body counts as in progress.
const MIN_BYTES_PER_SECOND: f64 = 1_000.0;
/// Pause during which any body counts as in progress.
const MIN_ALLOWED_PAUSE: Duration = Duration::from_millis(300);
/// A body that comes in pieces may pause this many times as long as it has paused before.
const ALLOWED_PAUSE_FACTOR: u32 = 2;

/// The pace of one body. Only the time spent waiting for the upstream counts, not the time in which
/// the receiver does not take what has arrived.
#[derive(Debug)]
pub struct BodyPace {
    received_bytes: u64,
    /// When data arrived last.
    received_at: Option<Instant>,
    /// Since when the upstream is awaited, if it is.
    waiting_since: Option<Instant>,
    /// Time spent waiting since the first byte.
    waited: Duration,
    /// The longest single wait since the first byte.
    longest_pause: Duration,
    /// How long the upstream may still be awaited until the body has stalled. Waiting uses it up,
    /// and data restores the time that it takes at the least rate, up to [`BODY_STALL_TIMEOUT`].
    stall_budget: Duration,
}

impl Default for BodyPace {
    fn default() -> BodyPace {
        BodyPace {
            received_bytes: 0,
            received_at: None,
            waiting_since: None,
            waited: Duration::ZERO,
            longest_pause: Duration::ZERO,
            stall_budget: BODY_STALL_TIMEOUT,
        }
    }
}

impl BodyPace {
    /// The upstream is awaited from now on, unless it is already.
    pub fn begin_wait(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// So many bytes of data have arrived.
    pub fn record_data(&mut self, now: Instant, length: usize) {
        let wait = self
            .waiting_since
            .take()
            .map_or(Duration::ZERO, |since| now - since);
        if self.has_received() {
            self.waited += wait;
            self.longest_pause = self.longest_pause.max(wait);
        }
        let restored = time_at_least_rate(length as u64);
        let budget = self.stall_budget.saturating_sub(wait) + restored;
        self.stall_budget = budget.min(BODY_STALL_TIMEOUT);
        self.received_bytes += length as u64;
        self.received_at = Some(now);
    }

    /// Whether data has arrived.
    pub fn has_received(&self) -> bool {
        self.received_bytes > 0
    }

    /// Whether data has arrived after this time, and at the least rate so far.
    pub fn made_progress_after(&self, time: Instant) -> bool {
        let is_after = self
            .received_at
            .is_some_and(|received_at| received_at > time);
        is_after && !self.remaining_wait().is_zero()
    }

    /// Until when the body counts as in progress if nothing more arrives; `None` if nothing has
    /// arrived yet.
    pub fn in_progress_until(&self, now: Instant) -> Option<Instant> {
        let since = self.waiting_since.unwrap_or(now);
        let until = since + self.allowed_pause().min(self.remaining_wait());
        self.has_received().then_some(until)
    }

    /// When the body has stalled, by a pause or by a rate below the least one, if nothing more arrives.
    pub fn stalls_at(&self, now: Instant) -> Instant {
        self.waiting_since.unwrap_or(now) + self.stall_budget
    }

    fn allowed_pause(&self) -> Duration {
        (self.longest_pause * ALLOWED_PAUSE_FACTOR).max(MIN_ALLOWED_PAUSE)
    }

    /// For how long the upstream may be awaited until its rate is below the least one.
    fn remaining_wait(&self) -> Duration {
        let allowed = MIN_ALLOWED_PAUSE + time_at_least_rate(self.received_bytes);
        allowed.saturating_sub(self.waited)
    }
}

/// How long so many bytes take at the least rate.
fn time_at_least_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
