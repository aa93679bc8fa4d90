//! The endpoints of discovery's lists, with their connections. Kept up to date with those lists.
use crate::discovery::endpoints::{EndpointUpdate, ListedEndpoint};
use crate::outbound::connection_pool::Upstream;
use balancer_core::{Availability, Millis, UpstreamId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

struct EndpointEntry {
    upstream: Rc<Upstream>,
    availability: Availability,
    /// When the upstream's process last started, as discovery reports it.
    started_at: Millis,
}

impl EndpointEntry {
    fn new(endpoint: &ListedEndpoint) -> EndpointEntry {
        let member = &endpoint.core_endpoint;
        EndpointEntry {
            upstream: Upstream::new(endpoint.address),
            availability: member.availability,
            started_at: member.started_at,
        }
    }

    /// Applies the state that discovery reports. No request is written after `write_deadline` to an
    /// upstream that is draining or gone.
    fn update(&mut self, endpoint: &ListedEndpoint, suspended: bool, write_deadline: Instant) {
        let member = &endpoint.core_endpoint;
        let previous_address = self.upstream.replace_address(endpoint.address);
        if previous_address != endpoint.address || self.started_at != member.started_at {
            self.upstream.mark_replaced();
        }
        self.availability = member.availability;
        self.started_at = member.started_at;
        match member.availability {
            Availability::Ready if suspended => {}
            Availability::Ready => self.upstream.set_write_deadline(None),
            Availability::Draining | Availability::Gone => self.drain(write_deadline),
        }
    }

    fn mark_gone(&mut self, write_deadline: Instant) {
        self.availability = Availability::Gone;
        self.drain(write_deadline);
    }

    /// Sets the write deadline, unless one is set already, and closes idle connections.
    fn drain(&self, write_deadline: Instant) {
        let write_deadline = self.upstream.write_deadline().unwrap_or(write_deadline);
        self.upstream.set_write_deadline(Some(write_deadline));
        self.upstream.close_idle();
    }
}

/// Every endpoint that is listed, and every one that is no longer listed but still has attempts in
/// flight.
pub struct EndpointTable {
    by_id: HashMap<UpstreamId, EndpointEntry>,
    /// How long requests may still be written to an upstream after the update that reports it as
    /// draining or no longer lists it.
    drain_grace: Duration,
    /// Whether any endpoint has ever been listed.
    has_ever_listed: bool,
}

impl EndpointTable {
    /// Creates a table without endpoints. Requests may be written to a draining upstream for
    /// `drain_grace` after the update that reports it.
    pub fn new(drain_grace: Duration) -> EndpointTable {
        EndpointTable {
            by_id: HashMap::new(),
            drain_grace,
            has_ever_listed: false,
        }
    }

    /// Whether any endpoint has ever been listed.
    pub fn has_ever_listed(&self) -> bool {
        self.has_ever_listed
    }

    /// Whether this endpoint is listed now.
    pub fn is_listed(&self, id: UpstreamId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|entry| entry.availability != Availability::Gone)
    }

    /// Whether this endpoint is no longer listed, but still in the table.
    pub fn is_gone(&self, id: UpstreamId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|entry| entry.availability == Availability::Gone)
    }

    /// The endpoints that are no longer listed, but still in the table.
    pub fn gone_endpoints(&self) -> Vec<UpstreamId> {
        self.by_id
            .iter()
            .filter(|(_, entry)| entry.availability == Availability::Gone)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Deletes the entry of an endpoint.
    pub fn forget(&mut self, id: UpstreamId) {
        self.by_id.remove(&id);
    }

    /// The upstream of an endpoint.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Rc<Upstream>> {
        self.by_id.get(&id).map(|entry| &entry.upstream)
    }

    /// Applies an update of discovery. A snapshot also marks the endpoints that it does not list as
    /// gone. An update does not lift the write deadline of an upstream that an operator has
    /// suspended.
    pub fn apply(
        &mut self,
        update: &EndpointUpdate,
        is_snapshot: bool,
        is_suspended: impl Fn(UpstreamId) -> bool,
    ) {
        let write_deadline = Instant::now() + self.drain_grace;
        self.has_ever_listed |= !update.endpoints.is_empty();
        if is_snapshot {
            self.mark_unlisted_gone(update, write_deadline);
        }
        for endpoint in &update.endpoints {
            let id = endpoint.core_endpoint.id;
            let entry = self
                .by_id
                .entry(id)
                .or_insert_with(|| EndpointEntry::new(endpoint));
            entry.update(endpoint, is_suspended(id), write_deadline);
        }
    }

    fn mark_unlisted_gone(&mut self, update: &EndpointUpdate, write_deadline: Instant) {
        let listed: HashSet<UpstreamId> = update
            .endpoints
            .iter()
            .map(|endpoint| endpoint.core_endpoint.id)
            .collect();
        for (id, entry) in &mut self.by_id {
            if !listed.contains(id) {
                entry.mark_gone(write_deadline);
            }
        }
    }

    /// Suspends an upstream on behalf of an operator: no more requests are written to it.
    pub fn suspend(&self, id: UpstreamId) {
        if let Some(entry) = self.by_id.get(&id) {
            entry.upstream.set_write_deadline(Some(Instant::now()));
            entry.upstream.close_idle();
        }
    }

    /// Restores an upstream that an operator suspended. Its process may have been restarted while
    /// it was suspended, so connections from before are not used again.
    pub fn restore(&self, id: UpstreamId) {
        if let Some(entry) = self.by_id.get(&id) {
            entry.upstream.mark_replaced();
            if entry.availability == Availability::Ready {
                entry.upstream.set_write_deadline(None);
            }
        }
    }

    /// How many upstreams are suspect, that is, have sent surplus data recently.
    pub fn suspect_count(&self) -> usize {
        let now = Instant::now();
        self.by_id
            .values()
            .filter(|entry| entry.upstream.surplus_history().is_suspect(now))
            .count()
    }

    /// Closes the connections that have been idle for `idle_limit`.
    pub fn close_expired(&self, idle_limit: Duration) {
        let now = Instant::now();
        for entry in self.by_id.values() {
            entry.upstream.close_expired(now, idle_limit);
        }
    }

    /// Closes the connection that has been idle for longest among the idle connections to all
    /// upstreams.
    pub fn close_oldest_idle(&self) {
        let oldest = self
            .by_id
            .values()
            .filter_map(|entry| Some((entry.upstream.oldest_idle_since()?, &entry.upstream)))
            .min_by_key(|&(idle_since, _)| idle_since);
        if let Some((_, upstream)) = oldest {
            upstream.close_oldest_idle();
        }
    }
}
