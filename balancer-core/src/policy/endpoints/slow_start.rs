//! Slow start: how much an endpoint can serve after its start, and the send tokens that limit its requests.
use crate::settings::Settings;
use crate::time::Millis;

/// Fraction of the allowed requests that is sent; the rest is a margin for random variation and heavy requests.
const SENT_FRACTION: f64 = 0.5;

/// Smallest fraction of its full capacity that an endpoint has now, if its slow start began at `started_at`. A
/// `started_at` of zero means long ago.
pub(super) fn capacity_fraction(settings: &Settings, started_at: Millis, now: Millis) -> f64 {
    let age = now - started_at;
    if started_at <= 0.0 || age >= settings.slow_start_duration {
        return 1.0;
    }
    let initial = settings.slow_start_initial_fraction;
    let gained = (1.0 - initial) * age.max(0.0) / settings.slow_start_duration;
    (initial + gained).min(1.0)
}

/// Requests per millisecond that may be sent to an endpoint in slow start; `full_rate` is the rate for an
/// endpoint with full capacity.
pub(super) fn send_rate(settings: &Settings, full_rate: f64, capacity_fraction: f64) -> f64 {
    let allowed = SENT_FRACTION * settings.slow_start_overload_factor * capacity_fraction;
    full_rate * allowed.min(1.0)
}

/// Tokens for requests to an endpoint in slow start. Each request takes one.
#[derive(Default)]
pub(super) struct SendTokens {
    count: f64,
    updated_at: Millis,
}

impl SendTokens {
    pub(super) fn new(count: f64, now: Millis) -> Self {
        SendTokens {
            count,
            updated_at: now,
        }
    }

    /// Adds the tokens gained at `rate` per millisecond since the last call, and returns whether one is
    /// available. Unused tokens expire, so that they cannot all be used at once: at most one is kept, and
    /// that only for `window`.
    pub(super) fn refill(&mut self, rate: f64, window: Millis, now: Millis) -> bool {
        self.count += rate * (now - self.updated_at);
        self.updated_at = now;
        let excess = self.count.fract();
        let is_available = self.count >= 1.0 && excess < rate * window;
        self.count = if is_available { excess + 1.0 } else { excess };
        is_available
    }

    pub(super) fn take(&mut self) {
        self.count -= 1.0;
    }
}
