//! The budget that bounds retries, so that a failing tier does not receive a multiple of its load.

/// Retries allowed per request on average.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Largest number of unused retries that is kept.
const MAX_RETRIES: f64 = 10.0;

pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget {
            available: MAX_RETRIES,
        }
    }

    pub(super) fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    pub(super) fn allows_retry(&self) -> bool {
        self.available >= 1.0
    }

    pub(super) fn record_retry(&mut self) {
        self.available -= 1.0;
    }
}
