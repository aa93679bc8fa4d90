//! Idle connections: which are likely stale, judged by how long they were idle.
use super::*;

/// Idle time is counted in steps that double from this.
const FIRST_STEP: Millis = 125.0;
const STEPS: usize = 10;
/// Smoothing of the share of requests that got no response; and the share at which connections are stale.
const LOSS_GAIN: f64 = 0.1;
const LOSS_STALE: f64 = 0.2;
/// Share of requests that still probe connections held to be stale.
const PROBE_SHARE: f64 = 0.02;
/// Weight of a reset that comes at once, within this time: the connection went stale, as all such do.
const RESET_GAIN: f64 = 0.5;
const RESET_AT_ONCE: Millis = 10.0;

/// Share of requests that got no response, by the idle step of their connection (zero: a fresh one).
#[derive(Default)]
pub(super) struct IdleLosses {
    pub(super) shares: [f64; STEPS],
}

impl IdleLosses {
    pub(super) fn step(endpoint: &Endpoint, idle_close: Millis, now: Millis) -> usize {
        let idle = now - endpoint.idle_since;
        if endpoint.connections <= endpoint.inflight || idle >= idle_close {
            return 0;
        }
        (((idle / FIRST_STEP).max(0.5).log2() + 2.0) as usize).min(STEPS - 1)
    }

    pub(super) fn is_stale(&self, step: usize) -> bool {
        self.shares[step] > LOSS_STALE && self.shares[step] > 2.0 * self.shares[0]
    }

    pub(super) fn closes(&self, step: usize, rng: &mut Pcg64Mcg) -> bool {
        (1..=step).any(|shorter| self.is_stale(shorter)) && unit(rng) > PROBE_SHARE
    }

    pub(super) fn record(&mut self, step: usize, ending: Ending, duration: Millis) {
        if matches!(ending, Ending::Cancelled | Ending::ConnectFailed | Ending::Moot) {
            return;
        }
        // What broke later was carried: its connection had not been dropped on the way.
        let reset = ending == Ending::Reset && duration < RESET_AT_ONCE;
        let lost = f64::from(u8::from(reset || ending == Ending::Timeout));
        let gain = if reset && step > 0 { RESET_GAIN } else { LOSS_GAIN };
        self.shares[step] += gain * (lost - self.shares[step]);
    }
}
