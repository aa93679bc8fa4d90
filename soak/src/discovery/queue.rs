//! The queue in which discovery serves the requests of all balancers in poll mode.
use std::time::Duration;
use tokio::time::Instant;

/// Discovery rejects a request that has waited this long in the queue.
pub(super) const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Discovery immediately rejects a request that would have to wait longer than this.
const MAX_EXPECTED_WAIT: Duration = Duration::from_millis(2300);

/// How a request waits for its turn.
pub(super) enum Admission {
    /// Its turn comes at this time.
    ServedAt(Instant),
    /// It is rejected after it has waited for [`QUEUE_TIMEOUT`].
    TimesOut,
    /// The queue is full: it is rejected immediately.
    Rejected,
}

/// A queue that serves one request after the other.
pub(super) struct RequestQueue {
    /// Time that one request takes.
    service_time: Duration,
    /// When all admitted requests will have been served.
    free_at: Instant,
}

impl RequestQueue {
    pub(super) fn new(service_time: Duration, now: Instant) -> RequestQueue {
        RequestQueue {
            service_time,
            free_at: now,
        }
    }

    /// Decides how a request waits for its turn. One that times out occupies the queue for its service time all the same.
    pub(super) fn admit(&mut self, now: Instant) -> Admission {
        let turn = self.free_at.max(now);
        let wait = turn - now;
        if wait > MAX_EXPECTED_WAIT {
            return Admission::Rejected;
        }
        self.free_at = turn + self.service_time;
        if wait > QUEUE_TIMEOUT {
            return Admission::TimesOut;
        }
        Admission::ServedAt(turn)
    }
}
