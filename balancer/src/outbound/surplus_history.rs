//! The history of one upstream's surplus data: bytes that belong to no request in flight.
//!
//! If an upstream responds twice to a request, the responses on that connection are off by one: the
//! next request would get the surplus response, which belongs to another client. The fault lies
//! with the upstream, so all connections to it are treated as affected.
use crate::outbound::fault_periods::FaultPeriods;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time between a response and the next request on its connection, unless earlier surplus data
/// requires a longer one. Surplus data that arrives within this time is detected as unread bytes.
const REUSE_DELAY: Duration = Duration::from_millis(50);
/// The reuse delay once the upstream has sent surplus data that is not certainly a duplicate. It
/// detects duplicates with a delay of up to a second, even on a busy machine. A duplicate then
/// closes only the connection that it arrives on, so the cost is in proportion to the number of
/// duplicates.
pub const LONG_REUSE_DELAY: Duration = Duration::from_millis(1500);
/// The reuse delay is this multiple of the largest known delay of a duplicate, as the next
/// duplicate may have a longer one.
const REUSE_DELAY_PER_DUPLICATE_DELAY: u32 = 8;
/// Shortest reuse delay once the upstream has sent surplus data.
const MIN_REUSE_DELAY_AFTER_SURPLUS: Duration = Duration::from_millis(200);
/// Largest delay of a duplicate that [`LONG_REUSE_DELAY`] detects reliably. After a duplicate with
/// a longer one, each connection carries one request for a time.
pub const MAX_DETECTABLE_DUPLICATE_DELAY: Duration = Duration::from_millis(1250);
/// The reuse delay on the only connection to a trusted upstream. It is short, as successive
/// requests wait for it.
const SOLE_REUSE_DELAY: Duration = Duration::from_millis(10);
/// Reuses without surplus data after which an upstream is trusted.
const TRUSTED_REUSES: u32 = 1;
/// How long an upstream is reported as suspect, in the log and the metrics, after its first surplus
/// data. Doubles with each recurrence after the period.
const FIRST_SUSPECT_PERIOD: Duration = Duration::from_secs(60);
/// Longest suspect period.
const MAX_SUSPECT_PERIOD: Duration = Duration::from_secs(3600);
/// If no surplus data arrives for this multiple of the suspect period after that period has ended,
/// an hour at first, the reuse delay is [`REUSE_DELAY`] again.
const SUSPECT_PERIODS_UNTIL_SHORT_DELAY: u32 = 60;
/// How long after unexplained surplus data each connection carries only one request. Longer than
/// [`LONG_REUSE_DELAY`], so that responses in flight at the start of the period arrive before
/// connections are reused. Doubles with each recurrence after the period.
const FIRST_SINGLE_USE_PERIOD: Duration = Duration::from_secs(2);
/// Longest single-use period.
const MAX_SINGLE_USE_PERIOD: Duration = Duration::from_secs(3600);

/// What explains surplus data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurplusCause {
    /// A duplicate of the newest response on its connection: their bytes are equal.
    Duplicate {
        /// Time from that response to its duplicate.
        delay: Duration,
    },
    /// Probably a duplicate of the newest response on its connection, and early enough for
    /// [`LONG_REUSE_DELAY`] to detect it.
    ProbableDuplicate,
    /// Possibly the response to a request that was given another request's response, or a duplicate
    /// that is too late to be detected by the reuse delay.
    Unexplained,
}

impl SurplusCause {
    /// The reuse delay that is long enough to detect the next such data.
    fn required_reuse_delay(self) -> Duration {
        match self {
            SurplusCause::Duplicate { delay } => (delay * REUSE_DELAY_PER_DUPLICATE_DELAY)
                .clamp(MIN_REUSE_DELAY_AFTER_SURPLUS, LONG_REUSE_DELAY),
            SurplusCause::ProbableDuplicate | SurplusCause::Unexplained => LONG_REUSE_DELAY,
        }
    }
}

/// What is known of one upstream's surplus data.
pub struct SurplusHistory {
    /// The periods in which the upstream is reported as suspect.
    suspect_periods: FaultPeriods,
    /// The periods in which each connection carries only one request.
    single_use_periods: FaultPeriods,
    /// The reuse delay that the surplus data so far requires.
    extended_reuse_delay: Cell<Duration>,
    /// How often surplus data was detected that the reuse delay did not cover, so that requests in
    /// flight on other connections may be given a wrong response.
    detections_beyond_reuse_delay: Cell<u64>,
    /// How often a connection was reused after a reuse delay in which no surplus data arrived,
    /// since the last surplus data.
    reuses: Cell<u32>,
    /// Notifies the requests in flight of a detection that the reuse delay did not cover.
    detected_beyond_reuse_delay: Notify,
}

impl Default for SurplusHistory {
    fn default() -> SurplusHistory {
        SurplusHistory {
            suspect_periods: FaultPeriods::new(FIRST_SUSPECT_PERIOD, MAX_SUSPECT_PERIOD),
            single_use_periods: FaultPeriods::new(FIRST_SINGLE_USE_PERIOD, MAX_SINGLE_USE_PERIOD),
            extended_reuse_delay: Cell::default(),
            detections_beyond_reuse_delay: Cell::default(),
            reuses: Cell::default(),
            detected_beyond_reuse_delay: Notify::default(),
        }
    }
}

impl SurplusHistory {
    /// Whether the upstream is suspect: it has sent surplus data recently.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_periods.contains(now)
    }

    /// Whether each connection carries one request only.
    pub fn is_single_use(&self, now: Instant) -> bool {
        self.single_use_periods.contains(now)
    }

    /// Whether earlier surplus data still extends the reuse delay.
    pub fn has_extended_reuse_delay(&self, now: Instant) -> bool {
        self.suspect_periods
            .end_and_length()
            .is_some_and(|(end, length)| now < end + length * SUSPECT_PERIODS_UNTIL_SHORT_DELAY)
    }

    /// Time between a response and the next request on its connection. `is_sole` tells whether that
    /// is the only connection to the upstream.
    pub fn reuse_delay(&self, is_sole: bool, now: Instant) -> Duration {
        if self.has_extended_reuse_delay(now) {
            self.extended_reuse_delay.get()
        } else if is_sole && self.reuses.get() >= TRUSTED_REUSES {
            SOLE_REUSE_DELAY
        } else {
            REUSE_DELAY
        }
    }

    /// Records that a connection is reused after a reuse delay in which no surplus data arrived.
    pub fn record_reuse(&self) {
        self.reuses.set(self.reuses.get().saturating_add(1));
    }

    /// Whether the reuse delay in force is long enough to detect such data, so that idle
    /// connections may still be reused. Never so for unexplained data.
    pub fn is_covered_by_reuse_delay(&self, cause: SurplusCause, now: Instant) -> bool {
        self.has_extended_reuse_delay(now)
            && cause != SurplusCause::Unexplained
            && cause.required_reuse_delay() <= self.extended_reuse_delay.get()
    }

    /// Records that surplus data was detected. Begins a suspect period and returns its length, or
    /// extends the one in progress and returns `None`.
    pub fn record(&self, cause: SurplusCause, now: Instant) -> Option<Duration> {
        let is_covered = self.is_covered_by_reuse_delay(cause, now);
        if !self.has_extended_reuse_delay(now) {
            self.suspect_periods.reset();
            self.single_use_periods.reset();
            self.extended_reuse_delay.set(Duration::ZERO);
        }
        self.extended_reuse_delay.set(
            self.extended_reuse_delay
                .get()
                .max(cause.required_reuse_delay()),
        );
        let suspect_period = self.suspect_periods.record_fault(now);
        if cause == SurplusCause::Unexplained {
            self.single_use_periods.record_fault(now);
        }
        self.reuses.set(0);
        if !is_covered {
            self.detections_beyond_reuse_delay
                .set(self.detections_beyond_reuse_delay.get().wrapping_add(1));
            self.detected_beyond_reuse_delay.notify_waiters();
        }
        suspect_period
    }

    /// Records that a connection, kept open for observation only, received no surplus data.
    pub fn record_clean_observation(&self, now: Instant) {
        self.single_use_periods.record_clean_observation(now);
    }

    /// How often surplus data was detected that the reuse delay did not cover.
    pub fn detections_beyond_reuse_delay(&self) -> u64 {
        self.detections_beyond_reuse_delay.get()
    }

    /// Waits until the number of detections that the reuse delay did not cover differs from
    /// `known`.
    pub async fn wait_for_detection_after(&self, known: u64) {
        loop {
            let detected = self.detected_beyond_reuse_delay.notified();
            if self.detections_beyond_reuse_delay() != known {
                return;
            }
            detected.await;
        }
    }
}

#[cfg(test)]
mod tests;
