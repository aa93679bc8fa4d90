//! Attempts: where and when they are sent, their timeouts and outcomes, and retries.
use crate::action::Action;
use crate::class::Idempotency;
use crate::policy::attempt::{Attempt, RetryConstraint};
use crate::policy::capacity::ADMISSION_CYCLE;
use crate::policy::endpoints::{PickCriteria, ZoneChoice};
use crate::policy::latency::{latency_ratio, MAX_LATENCY_RATIO};
use crate::policy::pending_request::PendingRequest;
use crate::policy::Balancer;
use crate::request::{AttemptOutcome, RequestId};
use crate::time::Millis;

/// Fraction of requests that still use a connection that seems stale, to find out whether it is.
const STALE_PROBE_FRACTION: f64 = 0.02;

/// How an attempt ended, as the host reports it.
pub(super) struct AttemptEnd {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) outcome: AttemptOutcome,
    pub(super) duration: Millis,
    pub(super) request_completed: bool,
}

/// Whether and where a request may be sent again.
enum RetryRule {
    Anywhere,
    Within(RetryConstraint),
    Forbidden,
}

impl Balancer {
    /// Sends an attempt if an endpoint can be found, and returns whether it was sent.
    pub(super) fn send_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(index) = self.pick_endpoint(now, id) else {
            return false;
        };
        let idle_bucket = self.choose_connection(now, index, actions);
        let Some(pending) = self.pending.get_mut(&id) else {
            return false;
        };
        let endpoint = self.endpoints.endpoint(index);
        let upstream = endpoint.id;
        let attempt = pending.start_attempt(index, endpoint, idle_bucket, now);
        let number = attempt.number;
        self.endpoints.record_send(attempt, now);
        let after = self.choose_timeout(now, id, number);
        actions.push(Action::Send {
            request: id,
            upstream,
            timeout: after,
        });
        true
    }

    /// Returns the timeout of a started attempt; zero: none but the client's deadline. Marks the attempt if its
    /// timeout is early, because the retry after an early timeout was allowed when the attempt was sent.
    fn choose_timeout(&mut self, now: Millis, id: RequestId, number: u32) -> Millis {
        let Some(pending) = self.pending.get(&id) else {
            return 0.0;
        };
        let Some(attempt) = pending.attempt(number) else {
            return 0.0;
        };
        let timeout = self.attempt_timeout(pending, attempt, now);
        if timeout.is_early {
            if let Some(attempt) = self
                .pending
                .get_mut(&id)
                .and_then(|pending| pending.attempt_mut(number))
            {
                attempt.has_early_timeout = true;
            }
        }
        timeout.after
    }

    /// Picks the endpoint of the next attempt; `None` if no attempt is allowed or no endpoint is usable.
    fn pick_endpoint(&mut self, now: Millis, id: RequestId) -> Option<usize> {
        let pending = self.pending.get(&id)?;
        if !pending.has_remaining_attempts(self.settings.max_attempts)
            || now >= pending.expires_at()
        {
            return None;
        }
        let retry_constraint = match self.retry_rule(pending, now) {
            RetryRule::Forbidden => return None,
            RetryRule::Anywhere => None,
            RetryRule::Within(constraint) => Some(constraint),
        };
        let usual = PickCriteria {
            now,
            class: pending.class(),
            even_rate: self.even_rate(),
            previous: pending.previous_endpoint(),
            is_last_resort: false,
            retry_constraint,
        };
        let last_resort = PickCriteria {
            previous: None,
            is_last_resort: true,
            ..usual
        };
        let [first, second] = self.zone_choices();
        let picks = [
            (first, usual),
            (second, usual),
            (ZoneChoice::Preferred, last_resort),
            (ZoneChoice::Other, last_resort),
        ];
        picks.iter().find_map(|(zone_choice, criteria)| {
            self.endpoints
                .pick(*zone_choice, criteria, &mut self.random)
        })
    }

    /// Which endpoints to pick from, in order of preference.
    fn zone_choices(&self) -> [ZoneChoice; 2] {
        let local_endpoint_ratio = self.endpoints.local_endpoint_ratio();
        if self.admission.exceeds_local_quota(local_endpoint_ratio) {
            [ZoneChoice::Other, ZoneChoice::Preferred]
        } else {
            [ZoneChoice::Preferred, ZoneChoice::Other]
        }
    }

    fn retry_rule(&self, pending: &PendingRequest, now: Millis) -> RetryRule {
        let Some(first_possible_run) = pending.first_possible_run() else {
            return RetryRule::Anywhere;
        };
        match self.settings.classes[pending.class()].idempotency {
            Idempotency::Idempotent => RetryRule::Anywhere,
            Idempotency::NonIdempotent => RetryRule::Forbidden,
            Idempotency::IdempotencyKey { scope, window } => {
                // The retry may wait for a connection, and must arrive while upstreams still discard it.
                let latest_arrival = now + self.settings.connect_timeout;
                if latest_arrival >= first_possible_run.sent_at + window {
                    return RetryRule::Forbidden;
                }
                RetryRule::Within(RetryConstraint {
                    scope,
                    first_possible_run,
                })
            }
        }
    }

    /// Requests per millisecond that this replica sends to an endpoint with full capacity, if it divides them evenly.
    fn even_rate(&self) -> f64 {
        let max_candidates = self.endpoints.max_candidates() as f64;
        let accepting_fraction = self.endpoints.accepting_fraction();
        let sent_per_cycle = self.admission.capacity().sent_per_cycle(accepting_fraction);
        sent_per_cycle / ADMISSION_CYCLE / max_candidates
    }

    /// Returns the idle bucket of the connection for a request; closes idle connections first if they are stale.
    fn choose_connection(&mut self, now: Millis, index: usize, actions: &mut Vec<Action>) -> usize {
        let idle_bucket = self.endpoints.idle_bucket(index, now);
        let is_stale = self.endpoints.idle_losses().is_stale_within(idle_bucket);
        if is_stale && self.random.fraction() > STALE_PROBE_FRACTION {
            let upstream = self.endpoints.endpoint(index).id;
            actions.push(Action::CloseIdleConnections(upstream));
            return 0;
        }
        idle_bucket
    }

    /// Records the end of an attempt. After the last one in flight, retries the request or gives its final
    /// response.
    pub(super) fn handle_attempt_ended(
        &mut self,
        now: Millis,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&end.request) else {
            return;
        };
        let Some(attempt) = pending.remove_attempt(end.attempt) else {
            return;
        };
        self.endpoints.remove_from_unawaited(&attempt);
        let is_last_in_flight = !pending.has_attempts();
        // If upstreams also reject requests that they have started, a rejection does not prove that the request
        // never ran.
        let may_have_run =
            end.outcome == AttemptOutcome::Rejected && self.settings.rejects_after_start;
        if end.outcome.never_ran() && !may_have_run && is_last_in_flight {
            pending.record_never_ran(attempt.number);
        }
        if end.request_completed {
            pending.close();
        }
        let is_closed = pending.is_closed();
        self.record_attempt_outcome(&attempt, end.outcome, end.duration, now);
        if !is_last_in_flight {
            return;
        }
        if is_closed {
            self.pending.remove(&end.request);
            return;
        }
        if self.retry(now, &attempt, &end, actions) {
            return;
        }
        self.reject_or_fail(end.request, actions);
    }

    /// Sends another attempt after this one, if it failed, the retry budget allows it and an endpoint can be found.
    fn retry(
        &mut self,
        now: Millis,
        attempt: &Attempt,
        end: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) -> bool {
        let source = match end.outcome {
            AttemptOutcome::Success => None,
            AttemptOutcome::Timeout if attempt.has_early_timeout => {
                Some(self.retry_budget.take_for_early_timeout())
            }
            AttemptOutcome::Timeout => self.retry_budget.take_after_timeout(),
            _ => self.retry_budget.take_after_failure(),
        };
        let Some(source) = source else {
            return false;
        };
        let is_sent = self.send_attempt(now, end.request, actions);
        if !is_sent {
            self.retry_budget.give_back(source);
        }
        is_sent
    }

    /// Records what an outcome shows about the endpoint, its connections and the tier's capacity.
    fn record_attempt_outcome(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        duration: Millis,
        now: Millis,
    ) {
        let is_endpoint_fault =
            self.endpoints
                .record_outcome(attempt, outcome, duration, now, &mut self.random);
        if outcome == AttemptOutcome::Rejected && self.polling.is_stale(&self.settings, now) {
            self.endpoints.mark_may_be_draining(attempt.endpoint);
        }
        self.endpoints.remove_if_gone(attempt.endpoint);
        // Faults of a single endpoint or connection do not reduce the capacity of the tier.
        let is_stale = self.endpoints.idle_losses().is_stale(attempt.idle_bucket);
        let ratio = match outcome {
            AttemptOutcome::Success => {
                let objective = self.settings.classes[attempt.class].objective;
                let ratio = latency_ratio(duration, objective);
                if ratio <= 0.0 {
                    self.retry_budget.record_on_time_response();
                }
                ratio
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return,
            _ if is_endpoint_fault || is_stale => return,
            _ => MAX_LATENCY_RATIO,
        };
        self.admission.record_response(ratio);
    }
}
