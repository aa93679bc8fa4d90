//! Idle connections: how long the connection of the next request was idle, and after which idle time
//! connections are stale.
use crate::request::AttemptOutcome;
use crate::time::Millis;

/// Connections are grouped into buckets by their idle time. Bucket 0 holds new connections; this is the upper
/// bound of bucket 1, and each further bound is double the one before. The last bucket has no upper bound.
const FIRST_IDLE_BUCKET_BOUND: Millis = 125.0;
const IDLE_BUCKETS: usize = 10;
/// Weight of the newest attempt in a bucket's fraction of lost attempts.
const LOSS_GAIN: f64 = 0.1;
/// The same for an immediate reset, which proves that the connection was stale.
const RESET_GAIN: f64 = 0.5;
/// A reset within this time of the send is an immediate one.
const IMMEDIATE_RESET: Millis = 10.0;
/// Connections are stale only if they lose more than this fraction of their attempts.
const STALE_LOSS: f64 = 0.2;
/// Connections are stale only if they lose more than this multiple of the fraction that new connections lose.
const STALE_LOSS_RATIO: f64 = 2.0;

/// The connections to one endpoint, estimated from the requests sent.
pub(super) struct IdleConnections {
    /// Number of connections that should be open, in use or idle.
    open: u32,
    /// Earliest time at which one of them may have become idle: all were last in use then.
    idle_since: Millis,
}

impl IdleConnections {
    pub(super) fn new(now: Millis) -> Self {
        IdleConnections {
            open: 0,
            idle_since: now,
        }
    }

    /// Idle bucket of the connection that the next request gets; zero for a new connection.
    pub(super) fn idle_bucket(&self, in_flight: u32, idle_close: Millis, now: Millis) -> usize {
        let idle = now - self.idle_since;
        if self.open <= in_flight || idle >= idle_close {
            return 0;
        }
        let bucket = ((idle / FIRST_IDLE_BUCKET_BOUND).max(0.5).log2() + 2.0) as usize;
        bucket.min(IDLE_BUCKETS - 1)
    }

    /// Records that a request is sent; `in_flight` is the number of earlier requests in flight.
    pub(super) fn record_send(&mut self, idle_bucket: usize, in_flight: u32, now: Millis) {
        if idle_bucket == 0 {
            self.open = in_flight;
        }
        let in_use = in_flight + 1;
        if self.open <= in_use {
            self.open = in_use;
            self.idle_since = now;
        }
    }

    /// Records that a request ended; `in_flight` is the number of requests in flight including it.
    pub(super) fn record_end(&mut self, outcome: AttemptOutcome, in_flight: u32, now: Millis) {
        if in_flight >= self.open {
            self.idle_since = now;
        }
        let is_closed = matches!(
            outcome,
            AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::Cancelled
                | AttemptOutcome::ConnectFailed
        );
        if is_closed {
            self.open = self.open.saturating_sub(1);
        }
    }
}

/// Smoothed fraction of lost attempts, which got no response, by the idle bucket of their connection.
#[derive(Default)]
pub(crate) struct IdleLosses {
    by_bucket: [f64; IDLE_BUCKETS],
}

impl IdleLosses {
    pub(crate) fn fraction(&self, bucket: usize) -> f64 {
        self.by_bucket[bucket]
    }

    /// Whether connections of this idle bucket are stale: an intermediary closed them without notice.
    pub(crate) fn is_stale(&self, bucket: usize) -> bool {
        let loss = self.by_bucket[bucket];
        loss > STALE_LOSS && loss > STALE_LOSS_RATIO * self.by_bucket[0]
    }

    /// Whether connections of this idle bucket or a shorter one are stale.
    pub(crate) fn is_stale_within(&self, bucket: usize) -> bool {
        (1..=bucket).any(|shorter| self.is_stale(shorter))
    }

    pub(crate) fn record(&mut self, bucket: usize, outcome: AttemptOutcome, duration: Millis) {
        let is_unrelated_to_idle_time = matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if is_unrelated_to_idle_time {
            return;
        }
        // A reset later than `IMMEDIATE_RESET` after the send shows that the connection was usable.
        let is_immediate_reset = outcome == AttemptOutcome::Reset && duration < IMMEDIATE_RESET;
        let is_lost = is_immediate_reset || outcome == AttemptOutcome::Timeout;
        let gain = if is_immediate_reset && bucket > 0 {
            RESET_GAIN
        } else {
            LOSS_GAIN
        };
        let loss = &mut self.by_bucket[bucket];
        *loss += gain * (f64::from(is_lost) - *loss);
    }
}
