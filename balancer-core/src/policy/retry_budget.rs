//! The budget that bounds retries, so that a failing tier does not receive a multiple of its load.
//!
//! A fraction of all requests may be retried, whatever happens to them. A tier that responds on time is not
//! overloaded: each such response allows a further retry of an attempt that failed without a timeout, so that
//! requests with time left are not lost to single failures. If all attempts fail or are late, only the
//! fraction remains.

/// Retries allowed per request on average, whatever happens to it.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Further retries allowed per response that is on time.
const RETRIES_PER_ON_TIME_RESPONSE: f64 = 1.0;
/// Largest number of unused retries of each kind that is kept.
const MAX_UNUSED_RETRIES: f64 = 10.0;

/// What allowed a retry.
#[derive(Clone, Copy)]
pub(super) enum RetrySource {
    /// The fraction of all requests.
    Requests,
    /// The responses that were on time.
    OnTimeResponses,
}

pub(super) struct RetryBudget {
    from_requests: f64,
    from_on_time_responses: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget {
            from_requests: MAX_UNUSED_RETRIES,
            from_on_time_responses: 0.0,
        }
    }

    pub(super) fn record_request(&mut self) {
        self.add(RetrySource::Requests, RETRIES_PER_REQUEST);
    }

    pub(super) fn record_on_time_response(&mut self) {
        self.add(RetrySource::OnTimeResponses, RETRIES_PER_ON_TIME_RESPONSE);
    }

    /// Whether an attempt may time out early, and be retried then.
    pub(super) fn allows_early_timeout(&self) -> bool {
        self.from_requests >= 1.0
    }

    /// Takes the retry of an attempt that timed out early, which was allowed when the attempt was sent. The
    /// budget may become negative; no early timeout is allowed until it has at least one retry again.
    pub(super) fn take_for_early_timeout(&mut self) -> RetrySource {
        self.from_requests -= 1.0;
        RetrySource::Requests
    }

    /// Takes a retry after an attempt that failed without a timeout, if there is one.
    pub(super) fn take_after_failure(&mut self) -> Option<RetrySource> {
        if self.from_on_time_responses >= 1.0 {
            self.from_on_time_responses -= 1.0;
            return Some(RetrySource::OnTimeResponses);
        }
        self.take_after_timeout()
    }

    /// Takes a retry after an attempt that timed out, if there is one.
    pub(super) fn take_after_timeout(&mut self) -> Option<RetrySource> {
        if self.from_requests < 1.0 {
            return None;
        }
        self.from_requests -= 1.0;
        Some(RetrySource::Requests)
    }

    /// Gives back a retry that was not sent.
    pub(super) fn give_back(&mut self, source: RetrySource) {
        self.add(source, 1.0);
    }

    fn add(&mut self, source: RetrySource, retries: f64) {
        let available = match source {
            RetrySource::Requests => &mut self.from_requests,
            RetrySource::OnTimeResponses => &mut self.from_on_time_responses,
        };
        *available = (*available + retries).min(MAX_UNUSED_RETRIES);
    }
}
