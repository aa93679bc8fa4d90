//! Changes of the endpoint table: updates of the list, and operators' suspensions.
use crate::endpoint::{Availability, Endpoint, EndpointEvent, UpstreamId};
use crate::policy::endpoints::state::EndpointState;
use crate::policy::endpoints::Endpoints;
use crate::policy::random::Random;
use crate::time::Millis;
use std::collections::BTreeSet;

impl Endpoints {
    /// Applies a list or a delta; other events change nothing.
    pub(in crate::policy) fn apply(
        &mut self,
        update: EndpointEvent,
        now: Millis,
        random: &mut Random,
    ) {
        let changes = match update {
            EndpointEvent::Snapshot(list) | EndpointEvent::CachedSnapshot(list) => {
                self.mark_unlisted_as_gone(&list);
                list
            }
            EndpointEvent::Delta(changes) => changes,
            EndpointEvent::Unchanged
            | EndpointEvent::DiscoveryFailed
            | EndpointEvent::DiscoveryMigrated
            | EndpointEvent::DiscoveryRejected => return,
        };
        for endpoint in changes {
            self.update(endpoint, now, random);
        }
        for index in 0..self.slots.len() {
            self.remove_if_gone(index);
        }
        let by_id = &self.by_id;
        self.start_times
            .end_update(now, |id| by_id.contains_key(id));
        self.choose_subset();
    }

    fn mark_unlisted_as_gone(&mut self, list: &[Endpoint]) {
        let listed: BTreeSet<UpstreamId> = list.iter().map(|endpoint| endpoint.id).collect();
        for state in &mut self.slots {
            if !listed.contains(&state.endpoint.id) {
                state.endpoint.availability = Availability::Gone;
            }
        }
    }

    fn update(&mut self, endpoint: Endpoint, now: Millis, random: &mut Random) {
        let started_at = self.start_times.record(&endpoint, now);
        self.extend_slow_start(started_at);
        let Some(&index) = self.by_id.get(&endpoint.id) else {
            if endpoint.availability != Availability::Gone {
                self.insert(endpoint, started_at, now, random);
            }
            return;
        };
        let known = &mut self.slots[index];
        if known.endpoint.started_at != endpoint.started_at {
            known.reset_after_restart(endpoint, started_at, now, random);
        } else {
            known.endpoint = endpoint;
        }
    }

    fn insert(&mut self, endpoint: Endpoint, started_at: Millis, now: Millis, random: &mut Random) {
        let id = endpoint.id;
        let state = EndpointState::new(endpoint, started_at, now, random);
        let index = if let Some(index) = self.free.pop() {
            self.slots[index] = state;
            index
        } else {
            self.slots.push(state);
            self.slots.len() - 1
        };
        self.by_id.insert(id, index);
    }

    /// Removes an endpoint that is gone once no requests to it are in flight.
    pub(in crate::policy) fn remove_if_gone(&mut self, index: usize) {
        let state = &self.slots[index];
        let id = state.endpoint.id;
        let is_gone = state.endpoint.availability == Availability::Gone;
        let is_in_table = self.by_id.get(&id) == Some(&index);
        if is_gone && state.in_flight.count() == 0 && is_in_table {
            self.by_id.remove(&id);
            self.free.push(index);
        }
    }

    /// Records that discovery confirmed the list: no endpoint that it lists as ready is draining.
    pub(in crate::policy) fn confirm(&mut self) {
        for state in &mut self.slots {
            state.may_be_draining = false;
        }
    }

    pub(in crate::policy) fn suspend(&mut self, id: UpstreamId) {
        self.suspended.insert(id);
        self.choose_subset();
    }

    /// Ends a suspension; the endpoint's slow start begins at `restored_at`, but not in the future: the
    /// operator's request may come from another process with a different clock.
    pub(in crate::policy) fn restore(
        &mut self,
        id: UpstreamId,
        restored_at: Millis,
        now: Millis,
        random: &mut Random,
    ) {
        let restored_at = restored_at.min(now);
        let retention = self.settings.slow_start_duration;
        self.suspended.remove(&id);
        self.restored_at.retain(|_, &mut at| now - at < retention);
        self.restored_at.insert(id, restored_at);
        self.extend_slow_start(restored_at);
        if let Some(&index) = self.by_id.get(&id) {
            self.slots[index].reset_after_unreported_restart(now, random);
        }
        self.choose_subset();
    }

    fn extend_slow_start(&mut self, started_at: Millis) {
        let ends_at = started_at + self.settings.slow_start_duration;
        self.slow_start_ends_at = self.slow_start_ends_at.max(ends_at);
    }
}
