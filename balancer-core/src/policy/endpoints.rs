//! The upstream servers that this replica knows: state of each, updates of the list, and slow start.
use super::*;

#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) member: Endpoint,
    /// When it started, on this replica's clock; zero: long ago.
    started: Millis,
    /// Requests in flight, those among them that no response is awaited for now, and their classes.
    pub(super) inflight: u32,
    pub(super) not_awaited: u32,
    pub(super) classes: Vec<usize>,
    pub(super) last_used: Millis,
    /// Connections that should be open, and since when one of them may have been idle.
    pub(super) connections: u32,
    pub(super) idle_since: Millis,
    pub(super) awaited_since: Millis,
    pub(super) slowness: f64,
    pub(super) failure_rate: f64,
    pub(super) outcomes: u32,
    pub(super) ejected_until: Millis,
    pub(super) ejections: u32,
    /// It turned a request away while the list was stale: it may have begun to drain.
    pub(super) may_drain: bool,
    /// Slow start: requests that may be sent now, and when that was computed.
    pub(super) tokens: f64,
    pub(super) tokens_at: Millis,
}

impl EndpointState {
    fn new(member: Endpoint, started: Millis, now: Millis, rng: &mut Pcg64Mcg) -> Self {
        // Hundreds of replicas must not each send their first request at once: start in random phase.
        let times = EndpointState {
            idle_since: now,
            awaited_since: now,
            tokens_at: now,
            ..Default::default()
        };
        EndpointState {
            member,
            started,
            slowness: 1.0,
            tokens: unit(rng),
            ..times
        }
    }

    /// Restarted under its old id: in slow start again, and its history is forgotten.
    fn restart(&mut self, member: Endpoint, started: Millis, now: Millis, rng: &mut Pcg64Mcg) {
        let EndpointState {
            inflight,
            not_awaited,
            classes,
            ..
        } = std::mem::take(self);
        *self = EndpointState {
            inflight,
            not_awaited,
            classes,
            ..EndpointState::new(member, started, now, rng)
        };
    }

    pub(super) fn awaited(&self) -> u32 {
        self.inflight.saturating_sub(self.not_awaited)
    }

    pub(super) fn start_awaiting(&mut self, now: Millis) {
        self.awaited_since = if self.awaited() == 0 {
            now
        } else {
            self.awaited_since
        };
    }

    pub(super) fn record_send(&mut self, attempt: &Attempt, now: Millis) {
        self.classes.push(attempt.class);
        self.connections = if attempt.idle_step == 0 {
            self.inflight
        } else {
            self.connections
        };
        self.start_awaiting(now);
        self.inflight += 1;
        self.not_awaited += u32::from(!attempt.awaited);
        if self.connections <= self.inflight {
            (self.connections, self.idle_since) = (self.inflight, now);
        }
        self.last_used = now;
        self.tokens -= 1.0;
    }

    pub(super) fn record_end(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Millis) {
        use AttemptOutcome::{Cancelled, ConnectFailed, Reset, Timeout};
        let closed = matches!(outcome, Timeout | Reset | Cancelled | ConnectFailed);
        self.idle_since = if self.inflight >= self.connections {
            now
        } else {
            self.idle_since
        };
        self.connections = self.connections.saturating_sub(u32::from(closed));
        self.inflight = self.inflight.saturating_sub(1);
        self.classes
            .iter()
            .position(|&class| class == attempt.class)
            .map(|at| self.classes.swap_remove(at));
        self.last_used = now;
    }
}

/// What takes requests on the ordinary path, slow starts by what they can do; requests in flight there.
#[derive(Default)]
pub(super) struct AdmissibleLoad {
    pub(super) endpoints: f64,
    pub(super) inflight: f64,
    pub(super) local_inflight: f64,
}

#[derive(Default)]
pub(super) struct Endpoints {
    pub(super) settings: Arc<Settings>,
    pub(super) slots: Vec<EndpointState>,
    pub(super) by_id: BTreeMap<UpstreamId, usize>,
    free: Vec<usize>,
    /// Endpoints of the subset that each class may go to: those of the own zone, and the others.
    pub(super) candidates: Vec<[Vec<usize>; 2]>,
    /// Endpoints that staff leave out, whatever the list says; and when they took others back into use.
    pub(super) suspended: BTreeSet<UpstreamId>,
    restored: BTreeMap<UpstreamId, Millis>,
    start_times: StartTimes,
    pub(super) ready: usize,
    pub(super) ready_max: usize,
    pub(super) slow_start_ends: Millis,
    pub(super) local_share: f64,
    pub(super) subset_size: usize,
    pub(super) failure_rate: f64,
    pub(super) latency: LatencyModel,
    pub(super) idle_losses: IdleLosses,
}

impl Endpoints {
    pub(super) fn new(settings: Arc<Settings>) -> Self {
        Endpoints {
            latency: LatencyModel::new(&settings),
            settings,
            ..Endpoints::default()
        }
    }

    pub(super) fn apply(&mut self, update: EndpointEvent, now: Millis, rng: &mut Pcg64Mcg) {
        use EndpointEvent::{CachedSnapshot, Delta, Snapshot};
        let complete = !matches!(update, Delta(_));
        let (Snapshot(members) | CachedSnapshot(members) | Delta(members)) = update else {
            return;
        };
        let listed: BTreeSet<UpstreamId> = members.iter().map(|member| member.id).collect();
        for endpoint in self
            .slots
            .iter_mut()
            .filter(|slot| complete && !listed.contains(&slot.member.id))
        {
            endpoint.member.availability = Availability::Gone;
        }
        for member in members {
            let started = self.start_times.record(&member, now);
            self.slow_start_ends = self
                .slow_start_ends
                .max(started + self.settings.slow_start_duration);
            match self
                .by_id
                .get(&member.id)
                .map(|&index| &mut self.slots[index])
            {
                Some(known) if known.member.started_at != member.started_at => {
                    known.restart(member, started, now, rng)
                }
                Some(known) => known.member = member,
                None if member.availability == Availability::Gone => {}
                None => {
                    let index = self.free.pop().unwrap_or(self.slots.len());
                    self.by_id.insert(member.id, index);
                    self.slots
                        .resize_with(self.slots.len().max(index + 1), EndpointState::default);
                    self.slots[index] = EndpointState::new(member, started, now, rng);
                }
            }
        }
        (0..self.slots.len()).for_each(|index| self.forget_if_gone(index));
        self.start_times
            .end_update(now, |id| self.by_id.contains_key(id));
        self.choose_subset();
    }

    /// Discovery has confirmed what is listed.
    pub(super) fn confirm(&mut self) {
        self.slots
            .iter_mut()
            .for_each(|endpoint| endpoint.may_drain = false);
    }

    /// Takes an endpoint back into use that staff had left out, listed or not.
    pub(super) fn restore(
        &mut self,
        id: UpstreamId,
        restored_at: Millis,
        now: Millis,
        rng: &mut Pcg64Mcg,
    ) {
        // Another process may have carried it out, whose clock was off.
        let restored_at = restored_at.min(now);
        self.suspended.remove(&id);
        self.restored
            .retain(|_, &mut at| now - at < self.settings.slow_start_duration);
        self.restored.insert(id, restored_at);
        self.slow_start_ends = self
            .slow_start_ends
            .max(restored_at + self.settings.slow_start_duration);
        if let Some(endpoint) = self.by_id.get(&id).map(|&index| &mut self.slots[index]) {
            endpoint.restart(endpoint.member.clone(), endpoint.started, now, rng);
        }
        self.choose_subset();
    }

    /// Whether an endpoint may be sent requests at all: listed as ready, and not left out by staff.
    pub(super) fn is_open(&self, index: usize) -> bool {
        let member = &self.slots[index].member;
        member.availability == Availability::Ready && !self.suspended.contains(&member.id)
    }

    /// Frees the slot of an endpoint that is gone once nothing is in flight to it.
    pub(super) fn forget_if_gone(&mut self, index: usize) {
        let EndpointState {
            member: Endpoint {
                id, availability, ..
            },
            inflight,
            ..
        } = &self.slots[index];
        if *availability == Availability::Gone
            && *inflight == 0
            && self.by_id.get(id) == Some(&index)
        {
            self.by_id.remove(id);
            self.free.push(index);
        }
    }

    /// What others still owe, those that left and overloaded ones, is no burden.
    pub(super) fn admissible_load(&self, now: Millis) -> AdmissibleLoad {
        let mut load = AdmissibleLoad::default();
        let open = self.by_id.values().filter(|&&index| self.is_open(index));
        for &index in
            open.filter(|&&i| now >= self.slots[i].ejected_until && !self.is_overloaded(i, now))
        {
            let endpoint = &self.slots[index];
            let awaited = f64::from(endpoint.awaited());
            load.endpoints += self.warmth(index, now);
            load.inflight += awaited;
            load.local_inflight += if endpoint.member.zone == self.settings.zone {
                awaited
            } else {
                0.0
            };
        }
        load
    }

    /// The share of its full capacity that an endpoint in slow start has now, for sure.
    pub(super) fn warmth(&self, index: usize, now: Millis) -> f64 {
        let (settings, endpoint) = (&self.settings, &self.slots[index]);
        let restored = self.restored.get(&endpoint.member.id);
        let since = restored.map_or(endpoint.started, |&at| at.max(endpoint.started));
        let age = now - since;
        if since <= 0.0 || age >= settings.slow_start_duration {
            return 1.0;
        }
        (settings.slow_start_initial_fraction
            + (1.0 - settings.slow_start_initial_fraction) * age.max(0.0)
                / settings.slow_start_duration)
            .min(1.0)
    }
}
