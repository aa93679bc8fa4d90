//! The endpoints that this replica knows, and what it has learned about them.
mod health;
mod idle_connections;
mod in_flight;
mod picker;
mod slow_start;
mod start_times;
mod state;
mod subset;
mod updates;

pub(super) use picker::PickCriteria;
pub(super) use subset::ZoneChoice;

use crate::endpoint::{Availability, Endpoint, EndpointCounts, UpstreamId};
use crate::policy::attempt::Attempt;
use crate::policy::latency::LatencyModel;
use crate::settings::Settings;
use crate::time::Millis;
use idle_connections::IdleLosses;
use start_times::StartTimes;
use state::EndpointState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use subset::{RingEntry, Subset};

/// Endpoints that accept requests and are neither ejected nor overloaded, and their requests in flight.
/// Requests in flight to other endpoints do not limit admission.
#[derive(Default)]
pub(super) struct AdmissionLoad {
    /// Number of endpoints; one in slow start counts as its fraction of full capacity.
    pub(super) endpoints: f64,
    /// Requests in flight that they are expected to respond to.
    pub(super) in_flight: f64,
    /// The part of `in_flight` to endpoints in this replica's zone.
    pub(super) local_in_flight: f64,
}

/// The table of endpoints, and what this replica learned about all of them.
pub(super) struct Endpoints {
    settings: Arc<Settings>,
    /// The state of each endpoint, by index; those at the indices in `free` are unused.
    slots: Vec<EndpointState>,
    by_id: BTreeMap<UpstreamId, usize>,
    free: Vec<usize>,
    subset: Subset,
    /// Number of endpoints that accept requests.
    accepting_count: usize,
    /// Largest `accepting_count` so far.
    max_accepting_count: usize,
    /// Endpoints that operators suspended, listed or not.
    suspended: BTreeSet<UpstreamId>,
    /// When operators restored endpoints.
    restored_at: BTreeMap<UpstreamId, Millis>,
    start_times: StartTimes,
    /// When the last endpoint leaves slow start.
    slow_start_ends_at: Millis,
    /// Smoothed fraction of failed attempts over all endpoints.
    failure_rate: f64,
    latency: LatencyModel,
    idle_losses: IdleLosses,
}

impl Endpoints {
    pub(super) fn new(settings: Arc<Settings>) -> Self {
        Endpoints {
            latency: LatencyModel::new(&settings),
            settings,
            slots: Vec::new(),
            by_id: BTreeMap::new(),
            free: Vec::new(),
            subset: Subset::default(),
            accepting_count: 0,
            max_accepting_count: 0,
            suspended: BTreeSet::new(),
            restored_at: BTreeMap::new(),
            start_times: StartTimes::default(),
            slow_start_ends_at: 0.0,
            failure_rate: 0.0,
            idle_losses: IdleLosses::default(),
        }
    }

    pub(super) fn endpoint(&self, index: usize) -> &Endpoint {
        &self.slots[index].endpoint
    }

    pub(super) fn is_suspended(&self, id: UpstreamId) -> bool {
        self.suspended.contains(&id)
    }

    pub(super) fn has_accepting_endpoint(&self) -> bool {
        self.accepting_count > 0
    }

    /// Number of endpoints that accept requests, as a fraction of the largest number so far.
    pub(super) fn accepting_fraction(&self) -> f64 {
        self.accepting_count as f64 / self.max_accepting_count.max(1) as f64
    }

    /// Largest number of endpoints that this replica uses for a class, at least one.
    pub(super) fn max_candidates(&self) -> usize {
        self.subset.max_candidates()
    }

    /// The part of this replica's quota that endpoints in its zone can serve; above one if its zone has more than an
    /// even part of the endpoints.
    pub(super) fn local_endpoint_ratio(&self) -> f64 {
        self.subset.local_endpoint_ratio()
    }

    pub(super) fn latency(&self) -> &LatencyModel {
        &self.latency
    }

    pub(super) fn idle_losses(&self) -> &IdleLosses {
        &self.idle_losses
    }

    pub(super) fn idle_losses_mut(&mut self) -> &mut IdleLosses {
        &mut self.idle_losses
    }

    pub(super) fn endpoint_failure_rate(&self, index: usize) -> f64 {
        self.slots[index].health.failure_rate()
    }

    /// Latency of an endpoint as a multiple of the expected latency.
    pub(super) fn relative_latency(&self, index: usize) -> f64 {
        self.slots[index].relative_latency()
    }

    /// Idle bucket of the connection that the next request to an endpoint gets; zero for a new connection.
    pub(super) fn idle_bucket(&self, index: usize, now: Millis) -> usize {
        self.slots[index].idle_bucket(self.settings.idle_close, now)
    }

    pub(super) fn counts(&self, now: Millis) -> EndpointCounts {
        let mut counts = EndpointCounts {
            listed: 0,
            avoided: 0,
        };
        for &index in self.by_id.values() {
            let endpoint = self.endpoint(index);
            if endpoint.availability == Availability::Gone {
                continue;
            }
            counts.listed += 1;
            if self.is_suspended(endpoint.id) || self.is_avoided(index, now) {
                counts.avoided += 1;
            }
        }
        counts
    }

    pub(super) fn admission_load(&self, now: Millis) -> AdmissionLoad {
        let mut load = AdmissionLoad::default();
        for &index in self.by_id.values() {
            let state = &self.slots[index];
            let counts_for_admission = self.accepts_requests(index)
                && !state.health.is_ejected(now)
                && !self.is_overloaded(index, now);
            if !counts_for_admission {
                continue;
            }
            let awaited = f64::from(state.in_flight.awaited());
            load.endpoints += self.capacity_fraction(index, now);
            load.in_flight += awaited;
            if state.endpoint.zone == self.settings.zone {
                load.local_in_flight += awaited;
            }
        }
        load
    }

    pub(super) fn record_send(&mut self, attempt: &Attempt, now: Millis) {
        self.slots[attempt.endpoint].record_send(attempt, now);
    }

    /// Records that the body of a request in flight is complete: its endpoint is now expected to respond.
    pub(super) fn record_body_complete(&mut self, attempt: &mut Attempt, now: Millis) {
        attempt.is_awaited = true;
        self.slots[attempt.endpoint].in_flight.start_awaiting(now);
    }

    /// Records that the response of an attempt has started: it is no longer expected.
    pub(super) fn record_response_started(&mut self, attempt: &mut Attempt, now: Millis) {
        let in_flight = &mut self.slots[attempt.endpoint].in_flight;
        in_flight.record_response(now);
        if attempt.is_awaited {
            attempt.is_awaited = false;
            in_flight.stop_awaiting();
        }
    }

    /// Stops counting an ending attempt among the requests without an expected response; must be called before its
    /// outcome is recorded.
    pub(super) fn remove_from_unawaited(&mut self, attempt: &Attempt) {
        if !attempt.is_awaited {
            self.slots[attempt.endpoint].in_flight.decrement_unawaited();
        }
    }

    /// Marks an endpoint that rejected a request while the endpoint list was stale: it is avoided until
    /// discovery responds.
    pub(super) fn mark_may_be_draining(&mut self, index: usize) {
        self.slots[index].may_be_draining = true;
    }

    /// Adapts the number of endpoints in use to this replica's traffic.
    pub(super) fn resize_subset(&mut self, requests_per_cycle: f64) {
        let mean_latency = self.latency.mean();
        let is_resized = self
            .subset
            .resize(requests_per_cycle, mean_latency, &self.settings);
        if is_resized {
            self.choose_subset();
        }
    }

    fn choose_subset(&mut self) {
        let ring: Vec<RingEntry> = self
            .by_id
            .values()
            .filter(|&&index| self.accepts_requests(index))
            .map(|&index| RingEntry {
                index,
                endpoint: &self.slots[index].endpoint,
            })
            .collect();
        self.accepting_count = ring.len();
        self.max_accepting_count = self.max_accepting_count.max(self.accepting_count);
        self.subset.choose(ring, &self.settings);
    }

    /// Whether an endpoint is ready and not suspended.
    fn accepts_requests(&self, index: usize) -> bool {
        let endpoint = &self.slots[index].endpoint;
        endpoint.availability == Availability::Ready && !self.is_suspended(endpoint.id)
    }

    /// Smallest fraction of its full capacity that an endpoint has now; less than one during its slow start.
    fn capacity_fraction(&self, index: usize, now: Millis) -> f64 {
        let state = &self.slots[index];
        let restored_at = self.restored_at.get(&state.endpoint.id);
        let started_at = restored_at.map_or(state.started_at(), |&restored| {
            restored.max(state.started_at())
        });
        slow_start::capacity_fraction(&self.settings, started_at, now)
    }
}
