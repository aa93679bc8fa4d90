//! Keeping the list of endpoints current where it must be asked for: when a call that failed is repeated, and
//! whether what is known is recent.
use super::*;

/// Pause after a first call that failed, doubling up to a third of `poll_acknowledge_timeout`.
const RETRY_PAUSE: Millis = 400.0;
/// Pause after a first call that was refused, and the most, as a multiple of `poll_acknowledge_timeout`: hundreds of
/// replicas that lost discovery together come back spread over what it needs to serve them all, while their
/// old lists serve them.
const REFUSED_PAUSE: Millis = 2000.0;
/// The same where the list is stale, as after a restart: many come back together then, each with much to be
/// told, and their next calls must not fill the queue again.
const REFUSED_PAUSE_STALE: Millis = 3500.0;
const REFUSED_PAUSE_SHARE: f64 = 1.5;
/// Least share of a pause: of one after a refusal, and of any other.
const REFUSED_JITTER: f64 = 0.2;
const RETRY_JITTER: f64 = 0.5;

/// Why a call for the list brought none.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// It broke, was not answered in time, or its answer was malformed.
    Failed,
    /// Discovery answered that it does not serve it now.
    Refused,
}

/// The calls for the list of endpoints.
#[derive(Default)]
pub(super) struct Subscription {
    failures: u32,
    /// When discovery last confirmed the list; none: never.
    confirmed: Option<Millis>,
    /// When discovery moved: what it has to tell counts soon after that, so that no pause is long.
    moved: Option<Millis>,
}

impl Subscription {
    pub(super) fn record_answer(&mut self, now: Millis) {
        (self.failures, self.confirmed) = (0, Some(now));
    }

    pub(super) fn record_move(&mut self, now: Millis) {
        (self.failures, self.moved) = (0, Some(now));
    }

    /// How long to wait before the next call. Without any endpoint no pause is long.
    pub(super) fn pause(
        &mut self,
        failure: CallFailure,
        known: bool,
        now: Millis,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
    ) -> Millis {
        let doubled = f64::from(1u32 << self.failures.min(10));
        self.failures += 1;
        let (first, most, jitter) = match failure {
            CallFailure::Refused if known => {
                let moved = self
                    .moved
                    .is_some_and(|at| now - at < settings.poll_acknowledge_timeout);
                let stale = !moved && self.is_stale(settings, now);
                let first = if stale {
                    REFUSED_PAUSE_STALE
                } else {
                    REFUSED_PAUSE
                };
                let most = if moved {
                    REFUSED_PAUSE
                } else {
                    settings.poll_acknowledge_timeout * REFUSED_PAUSE_SHARE
                };
                (first, most, REFUSED_JITTER)
            }
            _ => (
                RETRY_PAUSE,
                settings.poll_acknowledge_timeout / 3.0,
                RETRY_JITTER,
            ),
        };
        (first * doubled).min(most) * (jitter + (1.0 - jitter) * unit(rng))
    }

    /// Whether discovery has not confirmed the list for so long that endpoints may have begun to drain since.
    pub(super) fn is_stale(&self, settings: &Settings, now: Millis) -> bool {
        settings.poll_endpoints
            && self
                .confirmed
                .is_none_or(|at| now - at >= settings.poll_acknowledge_timeout)
    }
}
