//! Health of endpoints by the outcomes of requests: ejected, unresponsive and overloaded ones.
use super::*;

const FAILURE_GAIN: f64 = 0.25;
const FAILURE_GAIN_ALL: f64 = 0.02;
/// An endpoint is ejected when its failures exceed those of all by this, and are this multiple of them: where
/// all fail now and then, two in a row are chance, and ejecting good ones leaves the others overloaded.
const EJECT_AT: f64 = 0.4;
const EJECT_RATIO: f64 = 2.0;
const EJECT_OUTCOMES: u32 = 3;
/// One in this many is ejected at once: chance failures of all alike would jam the few that are left.
const EJECT_ONE_IN: usize = 3;
/// First ejection lasts this long, each further one as much longer, up to the most.
const EJECT_BASE: Millis = 2000.0;
const EJECT_MAX: Millis = 16_000.0;
/// An endpoint that owes responses and gave none for this many mean latencies counts as unresponsive.
const UNRESPONSIVE_FACTOR: f64 = 6.0;
const UNRESPONSIVE_MIN: Millis = 300.0;
/// And in the first tier as overloaded, for this many.
const OVERLOADED_FACTOR: f64 = 2.0;
/// Smoothing of an endpoint's own latency.
const SLOWNESS_GAIN: f64 = 0.2;

impl Endpoints {
    fn is_overdue(&self, index: usize, factor: f64, now: Millis) -> bool {
        let endpoint = &self.slots[index];
        let means = endpoint.classes.iter().map(|&class| self.latency.classes[class].mean);
        let expected = means.fold(self.latency.mean, f64::max);
        endpoint.awaited() > 0 && now - endpoint.awaited_since > (factor * expected).max(UNRESPONSIVE_MIN)
    }

    pub(super) fn is_unresponsive(&self, index: usize, now: Millis) -> bool {
        self.is_overdue(index, UNRESPONSIVE_FACTOR, now)
    }

    /// Of the replicas that overload an endpoint each sees only its own few requests wait there for far
    /// longer than responses take. Below the first tier a rejection wastes work: they are still used.
    pub(super) fn is_overloaded(&self, index: usize, now: Millis) -> bool {
        self.settings.stage == 0 && self.is_overdue(index, OVERLOADED_FACTOR, now)
    }

    pub(super) fn is_avoided(&self, index: usize, now: Millis) -> bool {
        let ejected = now < self.slots[index].ejected_until;
        ejected || self.is_unresponsive(index, now) || self.is_overloaded(index, now)
    }

    /// Tells whether a failure is the endpoint's own fault, and ejects it if so.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &Attempt,
        ending: Ending,
        took: Millis,
        now: Millis,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        use Ending::{Cancelled, ConnectFailed, Reset, Timeout};
        let Attempt { endpoint: index, class, idle_step, .. } = *attempt;
        let hung = ending == Timeout && self.is_unresponsive(index, now);
        let ejected = self.by_id.values().filter(|&&other| now < self.slots[other].ejected_until).count();
        self.idle_losses.record(idle_step, ending, took);
        let endpoint = &mut self.slots[index];
        endpoint.idle_since =
            if endpoint.inflight >= endpoint.connections { now } else { endpoint.idle_since };
        let closed = matches!(ending, Timeout | Reset | Cancelled | ConnectFailed);
        endpoint.connections = endpoint.connections.saturating_sub(u32::from(closed));
        endpoint.inflight = endpoint.inflight.saturating_sub(1);
        endpoint.classes.iter().position(|&other| other == class).map(|at| endpoint.classes.swap_remove(at));
        endpoint.last_used = now;
        if matches!(ending, Cancelled | Ending::Moot) {
            return false;
        }
        let failed = ending != Ending::Ok;
        endpoint.awaited_since = if ending == Timeout { endpoint.awaited_since } else { now };
        let expected = self.latency.classes[class].mean;
        let slow = if failed { took.max(2.0 * expected) } else { took };
        endpoint.slowness += SLOWNESS_GAIN * (slow / expected.max(1.0) - endpoint.slowness);
        if !failed {
            self.latency.record_response(class, took);
        }
        let failure = f64::from(u8::from(failed));
        // The rate of all counts every one: where most fail, it is no fault of each one's own.
        self.failure_rate += FAILURE_GAIN_ALL * (failure - self.failure_rate);
        endpoint.outcomes += 1;
        endpoint.failure_rate += FAILURE_GAIN * (failure - endpoint.failure_rate);
        // It takes work and answers nothing, while others answer: no need to wait for more time-outs.
        endpoint.failure_rate = if hung { 1.0 } else { endpoint.failure_rate };
        let rate = endpoint.failure_rate;
        let own_fault = rate > EJECT_AT + self.failure_rate && rate > EJECT_RATIO * self.failure_rate;
        let proven = own_fault && (hung || endpoint.outcomes >= EJECT_OUTCOMES);
        let in_use = now >= endpoint.ejected_until;
        if in_use && !failed && rate < EJECT_AT / 2.0 {
            endpoint.ejections = 0;
        } else if in_use && failed && proven && ejected < (self.ready / EJECT_ONE_IN).max(1) {
            // A server that fails fast holds few requests and would win every comparison: take it out.
            let length = (EJECT_BASE * f64::from(endpoint.ejections + 1)).min(EJECT_MAX);
            endpoint.ejected_until = now + length * (0.75 + 0.5 * unit(rng));
            endpoint.ejections += 1;
            endpoint.failure_rate = EJECT_AT;
        }
        own_fault
    }
}
