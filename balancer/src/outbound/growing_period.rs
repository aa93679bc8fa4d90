//! A period of caution that grows with each relapse.
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The newest period.
#[derive(Clone, Copy)]
struct Period {
    until: Instant,
    length: Duration,
}

/// A period that begins with a fault and ends after as much time without one. A relapse after its
/// end begins one of twice the length.
pub struct GrowingPeriod {
    first_length: Duration,
    max_length: Duration,
    newest: Cell<Option<Period>>,
}

impl GrowingPeriod {
    /// No period. The first one has `first_length`, the longest `max_length`.
    pub const fn new(first_length: Duration, max_length: Duration) -> GrowingPeriod {
        GrowingPeriod {
            first_length,
            max_length,
            newest: Cell::new(None),
        }
    }

    /// Whether the period lasts at this time.
    pub fn contains(&self, now: Instant) -> bool {
        self.newest.get().is_some_and(|newest| now < newest.until)
    }

    /// Records a fault: begins a period, or extends the one that lasts. Returns its length if it
    /// begins now.
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

    /// Records that there was no fault where one was looked for: halves the period, which ends
    /// accordingly earlier.
    pub fn record_clean(&self, now: Instant) {
        if let Some(newest) = self.newest.get() {
            let length = (newest.length / 2).max(self.first_length);
            self.newest.set(Some(Period {
                until: newest.until.min(now + length),
                length,
            }));
        }
    }

    /// Ends the period: the next one has the first length again.
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
