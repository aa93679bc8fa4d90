//! The endpoints that the decision module may name, with their connections kept in step with what discovery reports.
use crate::discovery::endpoints::{EndpointUpdate, ListedEndpoint};
use crate::outbound::connection_pool::Upstream;
use balancer_core::{Availability, Millis, UpstreamId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

struct KnownEndpoint {
    upstream: Rc<Upstream>,
    availability: Availability,
    /// When the upstream last started.
    started_at: Millis,
}

impl KnownEndpoint {
    fn new(endpoint: &ListedEndpoint) -> KnownEndpoint {
        let member = &endpoint.member;
        KnownEndpoint {
            upstream: Upstream::new(endpoint.address),
            availability: member.availability,
            started_at: member.started_at,
        }
    }

    /// Takes a new report over. What is written to an upstream that drains or is gone must end by `closes`.
    fn update(&mut self, endpoint: &ListedEndpoint, suspended: bool, closes: Instant) {
        let member = &endpoint.member;
        // Another address or another start: the old connections lead nowhere.
        if self.upstream.addr.replace(endpoint.address) != endpoint.address
            || self.started_at != member.started_at
        {
            self.upstream.replaced();
        }
        (self.availability, self.started_at) = (member.availability, member.started_at);
        match member.availability {
            Availability::Ready if suspended => {}
            Availability::Ready => self.upstream.closes.set(None),
            Availability::Draining | Availability::Gone => self.close(closes),
        }
    }

    fn remove(&mut self, closes: Instant) {
        self.availability = Availability::Gone;
        self.close(closes);
    }

    fn close(&self, closes: Instant) {
        let closes = self.upstream.closes.get().unwrap_or(closes);
        self.upstream.closes.set(Some(closes));
        self.upstream.close_idle();
    }
}

/// Every endpoint that the decision module may name: those listed, and those that are gone with attempts out.
pub struct EndpointTable {
    by_id: HashMap<UpstreamId, KnownEndpoint>,
    /// Within this time after the update sends to a draining upstream must end.
    drain_grace: Duration,
    /// Whether any endpoint has ever been listed.
    listed: bool,
}

impl EndpointTable {
    /// A table without endpoints. Sends to a draining upstream must end within `drain_grace` of the update.
    pub fn new(drain_grace: Duration) -> EndpointTable {
        EndpointTable {
            by_id: HashMap::new(),
            drain_grace,
            listed: false,
        }
    }

    /// Whether any endpoint has ever been listed.
    pub fn ever_listed(&self) -> bool {
        self.listed
    }

    /// Whether this endpoint is listed now.
    pub fn lists(&self, id: UpstreamId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|known| known.availability != Availability::Gone)
    }

    /// Whether this endpoint is gone and not yet forgotten.
    pub fn is_gone(&self, id: UpstreamId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|known| known.availability == Availability::Gone)
    }

    /// The endpoints that are gone and not yet forgotten.
    pub fn gone(&self) -> Vec<UpstreamId> {
        let gone = self
            .by_id
            .iter()
            .filter(|(_, known)| known.availability == Availability::Gone);
        gone.map(|(&id, _)| id).collect()
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: UpstreamId) {
        self.by_id.remove(&id);
    }

    /// The upstream of an endpoint.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Rc<Upstream>> {
        self.by_id.get(&id).map(|known| &known.upstream)
    }

    /// Takes an update over, as the whole list or as what changed.
    pub fn apply(
        &mut self,
        update: &EndpointUpdate,
        full: bool,
        suspended: impl Fn(UpstreamId) -> bool,
    ) {
        let closes = Instant::now() + self.drain_grace;
        self.listed |= !update.endpoints.is_empty();
        if full {
            self.remove_unlisted(update, closes);
        }
        for endpoint in &update.endpoints {
            let id = endpoint.member.id;
            let known = self
                .by_id
                .entry(id)
                .or_insert_with(|| KnownEndpoint::new(endpoint));
            known.update(endpoint, suspended(id), closes);
        }
    }

    fn remove_unlisted(&mut self, update: &EndpointUpdate, closes: Instant) {
        let listed: HashSet<UpstreamId> = update
            .endpoints
            .iter()
            .map(|endpoint| endpoint.member.id)
            .collect();
        for (id, known) in &mut self.by_id {
            if !listed.contains(id) {
                known.remove(closes);
            }
        }
    }

    /// Staff leave an upstream out from now on: nothing more is written there.
    pub fn suspend(&self, id: UpstreamId) {
        if let Some(known) = self.by_id.get(&id) {
            known.upstream.closes.set(Some(Instant::now()));
            known.upstream.close_idle();
        }
    }

    /// Staff use an upstream again, which was restarted while it was left out.
    pub fn restore(&self, id: UpstreamId) {
        if let Some(known) = self.by_id.get(&id) {
            known.upstream.replaced();
            if known.availability == Availability::Ready {
                known.upstream.closes.set(None);
            }
        }
    }

    /// Closes the connections that have been idle for longer than this.
    pub fn sweep(&self, idle_limit: Duration) {
        let now = Instant::now();
        for known in self.by_id.values() {
            known.upstream.sweep(now, idle_limit);
        }
    }

    /// Closes the connection that has been idle longest, of all upstreams.
    pub fn close_oldest_idle(&self) {
        let upstreams = self.by_id.values().map(|known| &known.upstream);
        let idle = upstreams.filter_map(|upstream| Some((upstream.oldest_idle()?, upstream)));
        if let Some((_, upstream)) = idle.min_by_key(|&(since, _)| since) {
            upstream.drop_oldest();
        }
    }
}
