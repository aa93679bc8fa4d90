//! Every decision of the balancer. The types it speaks in are in `src/interface.rs`.
//! Ordinary path of a request: admit it if its tenant is within its limit or capacity is not used up; send it
//! to the less busy of two random ready endpoints. All else is an exception, and says what it guards against.
mod admission;
mod capacity;
mod endpoints;
mod health;
mod latency;
mod picker;
mod requests;
mod start_times;
mod subscription;

pub use admission::limits;

use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::{cmp::Ordering, sync::Arc};
use {
    admission::*, capacity::*, endpoints::*, health::*, latency::*, picker::*, requests::*,
    start_times::*, subscription::*,
};

const TIMER_CYCLE: u32 = 0;
const TIMER_ASK: u32 = 1;

/// One instance of the decision logic.
pub struct Balancer {
    settings: Arc<Settings>,
    rng: Pcg64Mcg,
    admission: Admission,
    endpoints: Endpoints,
    pending: BTreeMap<RequestId, PendingRequest>,
    retries: f64,
    started: bool,
    subscription: Subscription,
    late: bool,
}

impl Balancer {
    /// A fresh instance that knows nothing yet. `seed` feeds its random choices.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let settings = Arc::new(settings);
        let admission = Admission::new(&settings, now);
        let mut endpoints = Endpoints::new(Arc::clone(&settings));
        endpoints.resize_subset(admission.capacity.admitted_mean);
        let (rng, pending) = (Pcg64Mcg::seed_from_u64(seed), BTreeMap::new());
        let (retries, subscription, started, late) =
            (RETRY_BURST, Subscription::default(), false, false);
        Ok(Balancer {
            settings,
            rng,
            admission,
            endpoints,
            pending,
            retries,
            started,
            subscription,
            late,
        })
    }

    /// Whether staff have left an upstream out.
    pub fn is_suspended(&self, id: UpstreamId) -> bool {
        self.endpoints.suspended.contains(&id)
    }

    /// How many endpoints are listed, and how many of them requests avoid now.
    pub fn endpoint_counts(&self, now: Millis) -> EndpointCounts {
        let mut counts = EndpointCounts {
            listed: 0,
            avoided: 0,
        };
        for &index in self.endpoints.by_id.values() {
            let member = &self.endpoints.slots[index].member;
            if member.availability == Availability::Gone {
                continue;
            }
            counts.listed += 1;
            if self.is_suspended(member.id) || self.endpoints.is_avoided(index, now) {
                counts.avoided += 1;
            }
        }
        counts
    }

    /// Takes one event and appends what is to be done. `now` must not go back.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !std::mem::replace(&mut self.started, true) {
            // Replicas started together must not recompute in step.
            let after = CYCLE * (0.5 + 0.5 * unit(&mut self.rng));
            actions.push(Action::SetTimer {
                after,
                token: TIMER_CYCLE,
            });
            actions.extend(
                self.settings
                    .poll_endpoints
                    .then_some(Action::PollEndpoints),
            );
        }
        match event {
            Event::Endpoints(update) => self.record_update(update, now, actions),
            Event::Request(request) => self.request(now, request, actions),
            Event::RequestBodyComplete { request, deadline } => {
                self.complete(now, request, deadline)
            }
            Event::BodyDiscarded(id) => {
                let spent = self.pending.get_mut(&id);
                spent
                    .into_iter()
                    .for_each(|pending| pending.sends = self.settings.max_attempts);
            }
            Event::ResponseStarted { request, attempt } => {
                self.response_started(now, request, attempt)
            }
            Event::AttemptEnded { .. } => self.attempt_ended(now, event, actions),
            Event::ClientDisconnected(id) => self.client_gone(id, actions),
            Event::Suspend(id) => {
                self.endpoints.suspended.insert(id);
                self.endpoints.choose_subset();
                self.record_load(now);
            }
            Event::Restore {
                upstream,
                restored_at,
            } => {
                self.endpoints
                    .restore(upstream, restored_at, now, &mut self.rng);
                self.record_load(now);
            }
            Event::Timer(TIMER_CYCLE) => self.end_cycle(now, actions),
            Event::Timer(TIMER_ASK) => actions.push(Action::PollEndpoints),
            Event::Timer(_) => {}
        }
    }

    fn record_update(&mut self, update: EndpointEvent, now: Millis, actions: &mut Vec<Action>) {
        match update {
            EndpointEvent::DiscoveryFailed => {
                return self.subscribe_again(CallFailure::Failed, now, actions)
            }
            EndpointEvent::DiscoveryRejected => {
                return self.subscribe_again(CallFailure::Refused, now, actions)
            }
            EndpointEvent::DiscoveryMigrated => return self.subscription.record_move(now),
            EndpointEvent::CachedSnapshot(_) => {}
            EndpointEvent::Unchanged | EndpointEvent::Snapshot(_) | EndpointEvent::Delta(_) => {
                self.subscription.record_answer(now);
                self.endpoints.confirm();
            }
        }
        if update != EndpointEvent::Unchanged {
            self.endpoints.apply(update, now, &mut self.rng);
            self.record_load(now);
        }
    }

    fn subscribe_again(&mut self, failure: CallFailure, now: Millis, actions: &mut Vec<Action>) {
        if self.settings.poll_endpoints {
            let known = self.endpoints.ready > 0;
            let after = self
                .subscription
                .pause(failure, known, now, &self.settings, &mut self.rng);
            actions.push(Action::SetTimer {
                after,
                token: TIMER_ASK,
            });
        }
    }

    fn record_load(&mut self, now: Millis) {
        self.admission.load = self.endpoints.admissible_load(now);
        self.admission
            .capacity
            .record_endpoints(self.admission.load.endpoints);
    }

    fn end_cycle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.record_overdue(now);
        self.admission
            .capacity
            .record_latency(self.endpoints.latency.mean);
        self.record_load(now);
        self.admission.end_cycle(now);
        let late = self.admission.capacity.success < SUCCESS_WANTED;
        if std::mem::replace(&mut self.late, late) != late {
            let state = if late {
                "late or failed: capacity is cut"
            } else {
                "in time again"
            };
            actions.push(Action::Log(format!(
                "answers of tier {} {state}",
                self.settings.tier
            )));
        }
        self.endpoints
            .resize_subset(self.admission.capacity.admitted_mean);
        actions.push(Action::SetTimer {
            after: CYCLE,
            token: TIMER_CYCLE,
        });
    }
}

fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn below(rng: &mut Pcg64Mcg, count: usize) -> usize {
    ((u128::from(rng.next_u64()) * count as u128) >> 64) as usize
}
