//! The life of an admitted request: attempts, their outcomes, retries, and the one final answer.
use super::*;

/// Share of its objective at which a request ends whose late response earns nothing: just in time to say so.
const USEFUL_SHARE: f64 = 0.98;
/// Further attempts allowed per request on average: a failing tier is not sent a multiple.
const RETRY_RATIO: f64 = 0.2;
pub(super) const RETRY_BURST: f64 = 10.0;
/// An attempt that may be repeated is given up after its class's mean latency and this many mean deviations,
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// but only where failures exceed this, or a quarter of it on connections that were idle as long.
const SUSPECT_AT: f64 = 0.2;

pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) class: usize,
    pub(super) endpoint: usize,
    /// When all of it was sent; infinite until then.
    sent: Millis,
    pub(super) idle_step: usize,
    pub(super) awaited: bool,
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub(super) attempt: u32,
    sent: Millis,
    pub(super) zone: u16,
    pub(super) group: u16,
}

#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) class: usize,
    /// When a response stops being worth anything; infinite until all of the request has come.
    pub(super) ends: Millis,
    pub(super) sends: u32,
    pub(super) attempts: Vec<Attempt>,
    pub(super) first_run: Option<FirstRun>,
    avoid: Option<usize>,
    pub(super) closed: bool,
}

/// When a request ends whose client gives up at `deadline`.
fn useful_until(class: &Class, deadline: Millis, now: Millis) -> Millis {
    // A late response that earns nothing only holds a slot in every tier above.
    let unlimited = deadline == f64::INFINITY || class.late_weight > 0.0;
    deadline.min(if unlimited {
        f64::INFINITY
    } else {
        now + class.objective * USEFUL_SHARE
    })
}

impl Balancer {
    pub(super) fn request(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        self.retries = (self.retries + RETRY_RATIO).min(RETRY_BURST);
        self.record_load(now);
        let class = self.settings.classes.get(request.class);
        let Some(class) = class.filter(|_| self.admission.admit(request.tenant, now)) else {
            return actions.push(self.rejection(request.id));
        };
        let ends = useful_until(class, request.deadline, now);
        self.pending.insert(
            request.id,
            PendingRequest {
                class: request.class,
                ends,
                ..Default::default()
            },
        );
        if !self.send(now, request.id, actions) {
            self.give_up(request.id, actions);
        }
    }

    pub(super) fn send(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(index) = self.pick_endpoint(now, id) else {
            return false;
        };
        let mut idle_step =
            IdleLosses::step(&self.endpoints.slots[index], self.settings.idle_close, now);
        let stale = (1..=idle_step).any(|shorter| self.endpoints.idle_losses.is_stale(shorter));
        if stale && unit(&mut self.rng) > PROBE_SHARE {
            actions.push(Action::CloseIdleConnections(
                self.endpoints.slots[index].member.id,
            ));
            idle_step = 0;
        }
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let (number, class, awaited) = (pending.sends, pending.class, pending.ends.is_finite());
        let sent = if awaited { now } else { f64::INFINITY };
        let attempt = Attempt {
            number,
            class,
            endpoint: index,
            sent,
            idle_step,
            awaited,
        };
        let endpoint = &mut self.endpoints.slots[index];
        endpoint.record_send(&attempt, now);
        let Endpoint {
            id: upstream,
            zone,
            group,
            ..
        } = endpoint.member;
        pending.first_run.get_or_insert(FirstRun {
            attempt: number,
            sent: now,
            zone,
            group,
        });
        pending.attempts.push(attempt);
        pending.sends += 1;
        pending.avoid = Some(index);
        let timeout = self.timeout(&self.pending[&id], index, idle_step, now);
        actions.push(Action::Send {
            request: id,
            upstream,
            timeout,
        });
        true
    }

    fn pick_endpoint(&mut self, now: Millis, id: RequestId) -> Option<usize> {
        let &PendingRequest {
            class,
            ends,
            sends,
            first_run,
            avoid,
            ..
        } = self.pending.get(&id)?;
        if sends >= self.settings.max_attempts || now >= ends {
            return None;
        }
        let repeat = match (first_run, self.settings.classes[class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => None,
            (Some(_), Idempotency::NonIdempotent) => return None,
            // It may wait for a connection first, and must arrive while repeats are still discarded.
            (Some(run), Idempotency::IdempotencyKey { window, .. })
                if now + self.settings.connect_timeout >= run.sent + window =>
            {
                return None
            }
            (Some(run), Idempotency::IdempotencyKey { scope, .. }) => Some((scope, run)),
        };
        let endpoints = &mut self.endpoints;
        let counts = endpoints
            .candidates
            .iter()
            .map(|zones| zones.iter().map(Vec::len).sum());
        let most_candidates = counts.fold(1, usize::max) as f64;
        let ready_share = endpoints.ready as f64 / endpoints.ready_max.max(1) as f64;
        let Admission { capacity, load, .. } = &self.admission;
        let stated = if capacity.first_tier {
            capacity.quota * ready_share
        } else {
            f64::INFINITY
        };
        let carried = stated.min(capacity.admitted_mean);
        let even_rate = carried / CYCLE / most_candidates;
        let usual = PickRequest {
            now,
            class,
            even_rate,
            avoid,
            last_resort: false,
            repeat,
        };
        let last_resort = PickRequest {
            avoid: None,
            last_resort: true,
            ..usual
        };
        let spills = capacity.spills(load.local_inflight, endpoints.local_share);
        let tries = [
            (spills, usual),
            (!spills, usual),
            (false, last_resort),
            (true, last_resort),
        ];
        tries
            .iter()
            .find_map(|(remote, request)| endpoints.pick(*remote, request, &mut self.rng))
    }

    /// The request's end, unless responses got lost of late and a repeat is legal and in time.
    fn timeout(
        &self,
        pending: &PendingRequest,
        index: usize,
        idle_step: usize,
        now: Millis,
    ) -> Millis {
        let endpoint = &self.endpoints.slots[index];
        let losses = self.endpoints.idle_losses.0[idle_step];
        let suspect = endpoint.failure_rate > SUSPECT_AT || losses > SUSPECT_AT / 4.0;
        let legal = self.settings.classes[pending.class].idempotency != Idempotency::NonIdempotent;
        let repeats = legal && pending.sends < self.settings.max_attempts && self.retries >= 1.0;
        let ExpectedLatency {
            mean, deviation, ..
        } = self.endpoints.latency.classes[pending.class];
        let patience =
            mean * endpoint.slowness.clamp(1.0, 3.0) + (TIMEOUT_DEVIATIONS * deviation).max(mean);
        match pending.ends {
            f64::INFINITY => 0.0,
            ends if suspect && repeats && now + patience + mean < ends => patience,
            ends => ends - now,
        }
    }

    /// Gives the one final answer: a rejection where another try is known to do no harm, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let idempotency = self.settings.classes[pending.class].idempotency;
        let free = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: DedupScope::All,
                    ..
                }
        );
        let harmless = free || pending.first_run.is_none();
        pending.closed = true;
        if pending.attempts.is_empty() {
            self.pending.remove(&id);
        }
        actions.push(if harmless {
            self.rejection(id)
        } else {
            Action::Fail { request: id }
        });
    }

    pub(super) fn rejection(&mut self, request: RequestId) -> Action {
        // Until the next cycle has begun, with jitter, so that those who heed it do not return together.
        let retry_after = (CYCLE * (0.5 + unit(&mut self.rng))).min(self.settings.max_retry_after);
        Action::Reject {
            request,
            retry_after,
        }
    }

    /// All of a request has come: its attempts are owed a response from now on.
    pub(super) fn complete(&mut self, now: Millis, id: RequestId, deadline: Millis) {
        let Some(pending) = self
            .pending
            .get_mut(&id)
            .filter(|p| p.ends == f64::INFINITY)
        else {
            return;
        };
        pending.ends = useful_until(&self.settings.classes[pending.class], deadline, now);
        for attempt in pending
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.sent == f64::INFINITY)
        {
            attempt.sent = now;
            if !pending.closed {
                let endpoint = &mut self.endpoints.slots[attempt.endpoint];
                endpoint.start_awaiting(now);
                endpoint.not_awaited = endpoint.not_awaited.saturating_sub(1);
                attempt.awaited = true;
            }
        }
    }

    /// A response has begun: nothing is repeated, and the endpoint has shown that it responds.
    pub(super) fn response_started(&mut self, now: Millis, id: RequestId, number: u32) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.closed = true;
        let Some(attempt) = pending.attempts.iter_mut().find(|a| a.number == number) else {
            return;
        };
        let endpoint = &mut self.endpoints.slots[attempt.endpoint];
        endpoint.awaited_since = now;
        endpoint.not_awaited += u32::from(std::mem::take(&mut attempt.awaited));
    }

    pub(super) fn client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.closed = true;
        let cancelled = pending.attempts.iter().filter(|_| self.settings.cancel);
        actions.extend(cancelled.map(|attempt| Action::Cancel {
            request: id,
            attempt: attempt.number,
        }));
        if pending.attempts.is_empty() {
            self.pending.remove(&id);
        }
    }

    /// Requests that are late count before their responses come, the first of which are the fast ones.
    pub(super) fn record_overdue(&mut self, now: Millis) {
        self.admission.inflight_lost = 0.0;
        for pending in self.pending.values().filter(|pending| !pending.closed) {
            let Some(&Attempt {
                endpoint,
                sent,
                idle_step,
                ..
            }) = pending.attempts.last()
            else {
                continue;
            };
            // The time-out tells of stale connections too late: lost requests fill what may be in flight.
            let ExpectedLatency {
                mean, deviation, ..
            } = self.endpoints.latency.classes[pending.class];
            let overdue = now - sent - mean - TIMEOUT_DEVIATIONS * deviation;
            if (0.0..CYCLE).contains(&overdue) {
                self.endpoints
                    .idle_losses
                    .record(idle_step, AttemptOutcome::Timeout, overdue);
            }
            let lost = overdue >= 0.0 && self.endpoints.idle_losses.is_stale(idle_step);
            self.admission.inflight_lost += f64::from(u8::from(lost));
            let ratio = latency_ratio(now - sent, self.settings.classes[pending.class].objective);
            if ratio > 0.0
                && !lost
                && !self
                    .endpoints
                    .is_overdue(endpoint, UNRESPONSIVE_FACTOR, now)
            {
                self.admission.capacity.record_response(ratio);
            }
        }
    }
}
