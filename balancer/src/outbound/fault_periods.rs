//! Periods that each begin with a fault. The length doubles each time a fault recurs after a
//! period.
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// When a period ends, and its length.
#[derive(Clone, Copy)]
struct Period {
    until: Instant,
    length: Duration,
}

/// Successive periods, each of which begins with a fault and ends once no fault has occurred for
/// its length. A fault after the end of a period begins a new one of twice the length.
pub struct FaultPeriods {
    first_length: Duration,
    max_length: Duration,
    newest: Cell<Option<Period>>,
}

impl FaultPeriods {
    /// Creates the value before any fault. The first period has the length `first_length`; none is
    /// longer than `max_length`.
    pub const fn new(first_length: Duration, max_length: Duration) -> FaultPeriods {
        FaultPeriods {
            first_length,
            max_length,
            newest: Cell::new(None),
        }
    }

    /// Whether a period is in progress at `now`.
    pub fn contains(&self, now: Instant) -> bool {
        self.newest.get().is_some_and(|newest| now < newest.until)
    }

    /// Records a fault: begins a period, or extends the one in progress. Returns the length of a
    /// period that begins now.
    pub fn record_fault(&self, now: Instant) -> Option<Duration> {
        let begins = !self.contains(now);
        let length = match self.newest.get() {
            None => self.first_length,
            Some(newest) if begins => (newest.length * 2).min(self.max_length),
            Some(newest) => newest.length,
        };
        self.newest.set(Some(Period {
            until: now + length,
            length,
        }));
        begins.then_some(length)
    }

    /// Records an observation without a fault: halves the period's length, but not below the first
    /// length. The period then ends at its previous end or at `now` plus the new length, whichever
    /// is earlier.
    pub fn record_clean_observation(&self, now: Instant) {
        if let Some(newest) = self.newest.get() {
            let length = (newest.length / 2).max(self.first_length);
            self.newest.set(Some(Period {
                until: newest.until.min(now + length),
                length,
            }));
        }
    }

    /// Ends the period. The next one has the first length again.
    pub fn reset(&self) {
        self.newest.set(None);
    }

    /// When the newest period ends, and its length.
    pub fn end_and_length(&self) -> Option<(Instant, Duration)> {
        self.newest
            .get()
            .map(|newest| (newest.until, newest.length))
    }
}

#[cfg(test)]
mod tests;
