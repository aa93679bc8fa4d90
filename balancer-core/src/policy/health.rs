//! Health by the outcomes of attempts: ejected and overdue endpoints, and idle connections that went stale.
use super::*;

/// Smoothing of an endpoint's share of failures, of that of all endpoints, and of an endpoint's own latency.
const FAILURE_GAIN: f64 = 0.25;
const FAILURE_GAIN_ALL: f64 = 0.02;
const SLOWNESS_GAIN: f64 = 0.2;
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
/// Mean latencies without a response that make an endpoint unresponsive, or overloaded; and the least wait.
pub(super) const UNRESPONSIVE_FACTOR: f64 = 6.0;
const OVERLOADED_FACTOR: f64 = 2.0;
const OVERDUE_MIN: Millis = 300.0;
/// Idle time is counted in steps that double from this.
const FIRST_IDLE_STEP: Millis = 125.0;
const IDLE_STEPS: usize = 10;
/// Smoothing of the share of requests that got no response; and the share at which connections are stale.
const LOSS_GAIN: f64 = 0.1;
const LOSS_STALE: f64 = 0.2;
/// Share of requests that still probe connections held to be stale.
pub(super) const PROBE_SHARE: f64 = 0.02;
/// Weight of a reset that comes at once, within this time: the connection went stale, as all such do.
const RESET_GAIN: f64 = 0.5;
const RESET_AT_ONCE: Millis = 10.0;

/// Share of requests that got no response, by the idle step of their connection (zero: a fresh one).
#[derive(Default)]
pub(super) struct IdleLosses(pub(super) [f64; IDLE_STEPS]);

impl IdleLosses {
    pub(super) fn step(endpoint: &EndpointState, idle_close: Millis, now: Millis) -> usize {
        let idle = now - endpoint.idle_since;
        if endpoint.connections <= endpoint.inflight || idle >= idle_close {
            return 0;
        }
        (((idle / FIRST_IDLE_STEP).max(0.5).log2() + 2.0) as usize).min(IDLE_STEPS - 1)
    }

    pub(super) fn is_stale(&self, step: usize) -> bool {
        self.0[step] > LOSS_STALE && self.0[step] > 2.0 * self.0[0]
    }

    pub(super) fn record(&mut self, step: usize, outcome: AttemptOutcome, duration: Millis) {
        if matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        ) {
            return;
        }
        // What broke later was carried: its connection had not been dropped on the way.
        let reset = outcome == AttemptOutcome::Reset && duration < RESET_AT_ONCE;
        let lost = f64::from(u8::from(reset || outcome == AttemptOutcome::Timeout));
        let gain = if reset && step > 0 {
            RESET_GAIN
        } else {
            LOSS_GAIN
        };
        self.0[step] += gain * (lost - self.0[step]);
    }
}

impl Endpoints {
    /// Whether an endpoint that owes responses gave none for `factor` times what they are expected to take.
    pub(super) fn is_overdue(&self, index: usize, factor: f64, now: Millis) -> bool {
        let endpoint = &self.slots[index];
        let means = endpoint
            .classes
            .iter()
            .map(|&class| self.latency.classes[class].mean);
        let expected = means.fold(self.latency.mean, f64::max);
        endpoint.awaited() > 0
            && now - endpoint.awaited_since > (factor * expected).max(OVERDUE_MIN)
    }

    /// Each replica sees only its own few wait. Still used below the first tier: rejections waste work.
    pub(super) fn is_overloaded(&self, index: usize, now: Millis) -> bool {
        self.settings.tier == 0 && self.is_overdue(index, OVERLOADED_FACTOR, now)
    }

    pub(super) fn is_avoided(&self, index: usize, now: Millis) -> bool {
        let ejected = now < self.slots[index].ejected_until;
        ejected
            || self.slots[index].may_drain
            || self.is_overdue(index, UNRESPONSIVE_FACTOR, now)
            || self.is_overloaded(index, now)
    }
}

impl Balancer {
    pub(super) fn attempt_ended(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            request: id,
            attempt: number,
            outcome,
            duration,
            request_completed,
        } = event
        else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Some(at) = pending
            .attempts
            .iter()
            .position(|attempt| attempt.number == number)
        else {
            return;
        };
        let attempt = pending.attempts.swap_remove(at);
        let (index, is_last) = (attempt.endpoint, pending.attempts.is_empty());
        let endpoint = &mut self.endpoints.slots[index];
        endpoint.not_awaited = endpoint
            .not_awaited
            .saturating_sub(u32::from(!attempt.awaited));
        // Where upstreams also shed work that they had begun, 'full' proves nothing.
        let never_ran = outcome.never_ran()
            && !(outcome == AttemptOutcome::Rejected && self.settings.rejects_after_start);
        pending
            .first_run
            .take_if(|run| never_ran && is_last && run.attempt == number);
        pending.closed |= request_completed;
        let closed = pending.closed;
        let own_fault = self.record_outcome(&attempt, outcome, duration, now);
        if outcome == AttemptOutcome::Rejected && self.subscription.is_stale(&self.settings, now) {
            self.endpoints.slots[index].may_drain = true;
        }
        self.endpoints.forget_if_gone(index);
        let ratio = match outcome {
            AttemptOutcome::Success => Some(latency_ratio(
                duration,
                self.settings.classes[attempt.class].objective,
            )),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => None,
            // Blame the server or the connection, not the whole tier, for failures that are its own.
            _ if own_fault || self.endpoints.idle_losses.is_stale(attempt.idle_step) => None,
            _ => Some(LATENCY_RATIO_MAX),
        };
        ratio
            .into_iter()
            .for_each(|ratio| self.admission.capacity.record_response(ratio));
        if closed && is_last {
            self.pending.remove(&id);
        } else if is_last
            && outcome != AttemptOutcome::Success
            && self.retries >= 1.0
            && self.send(now, id, actions)
        {
            self.retries -= 1.0;
        } else if is_last {
            self.give_up(id, actions);
        }
    }

    /// Tells whether a failure is the endpoint's own fault, and ejects it if so.
    fn record_outcome(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        took: Millis,
        now: Millis,
    ) -> bool {
        let endpoints = &mut self.endpoints;
        let index = attempt.endpoint;
        let hung = outcome == AttemptOutcome::Timeout
            && endpoints.is_overdue(index, UNRESPONSIVE_FACTOR, now);
        let ejected = endpoints
            .by_id
            .values()
            .filter(|&&i| now < endpoints.slots[i].ejected_until)
            .count();
        endpoints
            .idle_losses
            .record(attempt.idle_step, outcome, took);
        let endpoint = &mut endpoints.slots[index];
        endpoint.record_end(attempt, outcome, now);
        if matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            return false;
        }
        let failed = outcome != AttemptOutcome::Success;
        endpoint.awaited_since = if outcome == AttemptOutcome::Timeout {
            endpoint.awaited_since
        } else {
            now
        };
        let expected = endpoints.latency.classes[attempt.class].mean;
        let slow = if failed {
            took.max(2.0 * expected)
        } else {
            took
        };
        endpoint.slowness += SLOWNESS_GAIN * (slow / expected.max(1.0) - endpoint.slowness);
        if !failed {
            endpoints.latency.record_response(attempt.class, took);
        }
        let failure = f64::from(u8::from(failed));
        // The rate of all counts every one: where most fail, it is no fault of each one's own.
        endpoints.failure_rate += FAILURE_GAIN_ALL * (failure - endpoints.failure_rate);
        endpoint.outcomes += 1;
        endpoint.failure_rate += FAILURE_GAIN * (failure - endpoint.failure_rate);
        // It takes work and answers nothing, while others answer: no need to wait for more time-outs.
        endpoint.failure_rate = if hung { 1.0 } else { endpoint.failure_rate };
        let (rate, rate_of_all) = (endpoint.failure_rate, endpoints.failure_rate);
        let own_fault = rate > EJECT_AT + rate_of_all && rate > EJECT_RATIO * rate_of_all;
        let proven = own_fault && (hung || endpoint.outcomes >= EJECT_OUTCOMES);
        let in_use = now >= endpoint.ejected_until;
        if in_use && !failed && rate < EJECT_AT / 2.0 {
            endpoint.ejections = 0;
        } else if in_use && failed && proven && ejected < (endpoints.ready / EJECT_ONE_IN).max(1) {
            // A server that fails fast holds few requests and would win every comparison: take it out.
            let length = (EJECT_BASE * f64::from(endpoint.ejections + 1)).min(EJECT_MAX);
            endpoint.ejected_until = now + length * (0.75 + 0.5 * unit(&mut self.rng));
            endpoint.ejections += 1;
            endpoint.failure_rate = EJECT_AT;
        }
        own_fault
    }
}
