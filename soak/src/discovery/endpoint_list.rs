//! The endpoint list, its versions and its JSON format.
use crate::ids::UpstreamId;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Number of cells over which upstreams are spread.
const CELLS: usize = 3;

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Active,
    /// It takes no new requests and will be removed.
    Draining,
    /// It has been removed and takes no requests.
    Removed,
}

impl EndpointState {
    /// The name of this state in the list.
    fn wire_name(self) -> &'static str {
        match self {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        }
    }
}

/// One entry of the list.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    address: SocketAddr,
    state: EndpointState,
    started_at_unix_ms: u64,
    /// The version of the list in which its state last changed.
    version: u64,
    changed_at: Instant,
}

impl Entry {
    /// Whether the endpoint takes requests.
    pub(super) fn is_active(&self) -> bool {
        self.state == EndpointState::Active
    }

    /// When its state last changed.
    pub(super) fn changed_at(&self) -> Instant {
        self.changed_at
    }

    fn to_json(&self, upstream: UpstreamId) -> Value {
        json!({
            "id": upstream.endpoint_id(),
            "addr": self.address.to_string(),
            "zone": "a",
            "kind": "m",
            "cell": upstream.0 % CELLS,
            "state": self.state.wire_name(),
            "weight": 1.0,
            "started_ms": self.started_at_unix_ms,
        })
    }
}

/// The endpoint list. Each change makes a new version.
pub(super) struct EndpointList {
    entries: Vec<Entry>,
    version: u64,
}

impl EndpointList {
    /// Lists these upstreams as active and past their slow start, in version 1.
    pub(super) fn new(upstreams: &[SocketAddr], now: Instant) -> EndpointList {
        let entries = upstreams
            .iter()
            .map(|&address| Entry {
                address,
                state: EndpointState::Active,
                started_at_unix_ms: 0,
                version: 1,
                changed_at: now,
            })
            .collect();
        EndpointList {
            entries,
            version: 1,
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// All entries, including removed endpoints.
    pub(super) fn entries(&self) -> impl Iterator<Item = (UpstreamId, &Entry)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(number, entry)| (UpstreamId(number), entry))
    }

    /// Changes the state of an upstream. Returns the new version of the list.
    pub(super) fn set_state(&mut self, upstream: UpstreamId, state: EndpointState) -> u64 {
        self.version += 1;
        let entry = &mut self.entries[upstream.0];
        entry.state = state;
        entry.version = self.version;
        entry.changed_at = Instant::now();
        self.version
    }

    /// Lists an upstream as active since this time. Returns the new version of the list.
    pub(super) fn set_started(&mut self, upstream: UpstreamId, started_at_unix_ms: u64) -> u64 {
        self.entries[upstream.0].started_at_unix_ms = started_at_unix_ms;
        self.set_state(upstream, EndpointState::Active)
    }

    /// The complete list, without removed endpoints.
    pub(super) fn snapshot(&self) -> String {
        let servers = self
            .entries()
            .filter(|(_, entry)| entry.state != EndpointState::Removed)
            .map(|(upstream, entry)| entry.to_json(upstream))
            .collect();
        self.to_json(true, servers)
    }

    /// The entries that have changed since a version.
    pub(super) fn delta(&self, since_version: u64) -> String {
        let servers = self
            .entries()
            .filter(|(_, entry)| entry.version > since_version)
            .map(|(upstream, entry)| entry.to_json(upstream))
            .collect();
        self.to_json(false, servers)
    }

    fn to_json(&self, is_snapshot: bool, servers: Vec<Value>) -> String {
        json!({ "version": self.version, "full": is_snapshot, "servers": servers }).to_string()
    }
}
