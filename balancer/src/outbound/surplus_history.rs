//! Surplus data from one upstream: bytes that belong to no request in flight.
//!
//! An upstream that responds twice to a request puts each of its connections one response behind:
//! the next request would get the surplus response, which belongs to another client. Such bytes are
//! therefore a fault of the upstream, not of one connection.
use crate::outbound::growing_period::GrowingPeriod;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time between a response and the next request on its connection. Surplus data that arrives within
/// this time is detected as unread data.
const REUSE_DELAY: Duration = Duration::from_millis(50);
/// The same once the upstream has sent surplus data that is no certain copy. Copies of responses that are up to a second
/// late show within it, also where the machine is busy. A copy closes its connection only, so the
/// price follows the number of copies.
pub const LONG_REUSE_DELAY: Duration = Duration::from_millis(1500);
/// A rest is this much longer than the latest known copy, as the next one may be later.
const REUSE_DELAY_PER_LATENESS: u32 = 8;
/// Shortest rest once the upstream has sent surplus data.
const MIN_REUSE_DELAY_AFTER_SURPLUS: Duration = Duration::from_millis(200);
/// How late a copy may be for [`LONG_REUSE_DELAY`] to show it. Beyond it connections carry one request.
pub const MAX_EXPECTED_LATENESS: Duration = Duration::from_millis(1250);
/// The same on the only connection to an upstream that is trusted: requests that follow one another
/// wait for it.
const SOLE_REUSE_DELAY: Duration = Duration::from_millis(10);
/// Reuses without surplus data after which an upstream is trusted.
const TRUSTED_REUSES: u32 = 1;
/// How long an upstream is reported as suspect, in the log and the metrics, after the first surplus data. Each relapse doubles
/// it.
const FIRST_SUSPECT_PERIOD: Duration = Duration::from_secs(60);
/// Longest such period.
const MAX_SUSPECT_PERIOD: Duration = Duration::from_secs(3600);
/// After this multiple of the suspect period without surplus data, an hour at first, connections
/// rest for [`REUSE_DELAY`] again.
const CLEAN_PERIODS: u32 = 60;
/// How long each connection carries one request after unexplained surplus data. Longer than
/// [`LONG_REUSE_DELAY`], so that responses in flight at its begin show before connections are reused. Each
/// relapse doubles it.
const FIRST_SINGLE_USE_PERIOD: Duration = Duration::from_secs(2);
/// Longest such period.
const MAX_SINGLE_USE_PERIOD: Duration = Duration::from_secs(3600);

/// What surplus data shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurplusEvidence {
    /// A copy of the newest response on its connection, as its bytes show.
    Copy {
        /// Time since that response.
        lateness: Duration,
    },
    /// Probably a copy of the newest response on its connection, early enough for [`LONG_REUSE_DELAY`] to show it.
    ExpectedCopy,
    /// Perhaps the response to a request that got another one's, or a copy that is too late.
    Unexplained,
}

impl SurplusEvidence {
    /// Time between a response and the next request on its connection in which the next such data
    /// shows.
    fn required_reuse_delay(self) -> Duration {
        match self {
            SurplusEvidence::Copy { lateness } => (lateness * REUSE_DELAY_PER_LATENESS)
                .clamp(MIN_REUSE_DELAY_AFTER_SURPLUS, LONG_REUSE_DELAY),
            SurplusEvidence::ExpectedCopy | SurplusEvidence::Unexplained => LONG_REUSE_DELAY,
        }
    }
}

/// What is known of one upstream's surplus data.
pub struct SurplusHistory {
    /// When it is reported as suspect.
    suspect: GrowingPeriod,
    /// When each connection carries one request.
    single_use: GrowingPeriod,
    /// Time between a response and the next request on its connection, as far as surplus data
    /// demands one.
    extended_reuse_delay: Cell<Duration>,
    /// How often surplus data was detected that the rest of its connection did not cover, so that
    /// requests in flight on other connections may get it.
    uncovered_detections: Cell<u64>,
    /// How often a connection was reused after a rest in which no surplus data arrived.
    reuses: Cell<u32>,
    /// Notifies the requests in flight of a detection.
    detected: Notify,
}

impl Default for SurplusHistory {
    fn default() -> SurplusHistory {
        SurplusHistory {
            suspect: GrowingPeriod::new(FIRST_SUSPECT_PERIOD, MAX_SUSPECT_PERIOD),
            single_use: GrowingPeriod::new(FIRST_SINGLE_USE_PERIOD, MAX_SINGLE_USE_PERIOD),
            extended_reuse_delay: Cell::default(),
            uncovered_detections: Cell::default(),
            reuses: Cell::default(),
            detected: Notify::default(),
        }
    }
}

impl SurplusHistory {
    /// Whether the upstream has sent surplus data lately.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect.contains(now)
    }

    /// Whether each connection carries one request only.
    pub fn is_single_use(&self, now: Instant) -> bool {
        self.single_use.contains(now)
    }

    /// Whether surplus data makes connections rest for longer between two requests.
    pub fn has_extended_reuse_delay(&self, now: Instant) -> bool {
        self.suspect
            .end_and_length()
            .is_some_and(|(end, length)| now < end + length * CLEAN_PERIODS)
    }

    /// Time between a response and the next request on its connection, which may be the only one to
    /// the upstream.
    pub fn reuse_delay(&self, is_sole: bool, now: Instant) -> Duration {
        if self.has_extended_reuse_delay(now) {
            self.extended_reuse_delay.get()
        } else if is_sole && self.reuses.get() >= TRUSTED_REUSES {
            SOLE_REUSE_DELAY
        } else {
            REUSE_DELAY
        }
    }

    /// Records that a connection is reused after a rest in which no surplus data arrived.
    pub fn record_reuse(&self) {
        self.reuses.set(self.reuses.get().saturating_add(1));
    }

    /// Whether this evidence asks for no more rest than connections have, so that idle ones may be
    /// used again.
    pub fn is_covered_by_reuse_delay(&self, evidence: SurplusEvidence, now: Instant) -> bool {
        self.has_extended_reuse_delay(now)
            && evidence != SurplusEvidence::Unexplained
            && evidence.required_reuse_delay() <= self.extended_reuse_delay.get()
    }

    /// Records that surplus data was detected. Returns the period for which the upstream is
    /// suspect, if it begins now; a period that has begun is extended.
    pub fn record(&self, evidence: SurplusEvidence, now: Instant) -> Option<Duration> {
        let is_covered = self.is_covered_by_reuse_delay(evidence, now);
        if !self.has_extended_reuse_delay(now) {
            self.suspect.reset();
            self.single_use.reset();
            self.extended_reuse_delay.set(Duration::ZERO);
        }
        self.extended_reuse_delay.set(
            self.extended_reuse_delay
                .get()
                .max(evidence.required_reuse_delay()),
        );
        let suspect_period = self.suspect.record_fault(now);
        if evidence == SurplusEvidence::Unexplained {
            self.single_use.record_fault(now);
        }
        self.reuses.set(0);
        if !is_covered {
            self.uncovered_detections
                .set(self.uncovered_detections.get().wrapping_add(1));
            self.detected.notify_waiters();
        }
        suspect_period
    }

    /// Records that no surplus data followed on a connection that carried one request.
    pub fn record_clean_observation(&self, now: Instant) {
        self.single_use.record_clean(now);
    }

    /// How often surplus data was detected that rests did not cover.
    pub fn uncovered_detections(&self) -> u64 {
        self.uncovered_detections.get()
    }

    /// Returns once such data has been detected more often than `known` times.
    pub async fn detected_since(&self, known: u64) {
        loop {
            let detected = self.detected.notified();
            if self.uncovered_detections() != known {
                return;
            }
            detected.await;
        }
    }
}

#[cfg(test)]
mod tests;
