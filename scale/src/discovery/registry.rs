//! The endpoint list, its versions, and when balancers acknowledged them.
use crate::balancer::configuration::{MACHINE_KIND, ZONE};
use bytes::Bytes;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// The version of the list at the start of a run.
const FIRST_VERSION: u64 = 1;

/// Whether an endpoint accepts work. The names on the wire are those of the protocol.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new work.
    #[serde(rename = "active")]
    Active,
    /// Finishes the work in flight.
    #[serde(rename = "leaving")]
    Draining,
    /// Is gone; appears in deltas only.
    #[serde(rename = "left")]
    Removed,
}

/// An entry of the list, in the form of the protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    id: String,
    #[serde(rename = "addr")]
    address: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    #[serde(rename = "cell")]
    group: u16,
    state: EndpointState,
    weight: f64,
    /// When the endpoint started, in milliseconds since the Unix epoch; 0 for an endpoint that started long ago.
    #[serde(rename = "started_ms")]
    started_at_ms: u64,
}

impl Endpoint {
    /// An active endpoint that started long ago.
    pub fn new(number: usize, address: SocketAddr) -> Endpoint {
        Endpoint {
            id: format!("s-{number:08x}"),
            address,
            zone: ZONE,
            kind: MACHINE_KIND,
            group: 0,
            state: EndpointState::Active,
            weight: 1.0,
            started_at_ms: 0,
        }
    }

    /// Moves on to the next state: active, draining, removed, and active again as just started.
    fn advance(&mut self) {
        self.state = match self.state {
            EndpointState::Active => EndpointState::Draining,
            EndpointState::Draining => EndpointState::Removed,
            EndpointState::Removed => {
                self.started_at_ms = unix_time_ms();
                EndpointState::Active
            }
        };
    }
}

/// A response with the endpoint list, in the form of the protocol.
#[derive(Serialize)]
struct EndpointList<'a> {
    version: u64,
    #[serde(rename = "full")]
    is_snapshot: bool,
    #[serde(rename = "servers")]
    endpoints: Vec<&'a Endpoint>,
}

/// A change, and how long after it each balancer had it in force.
#[derive(Clone, Debug)]
pub struct PublishedChange {
    /// When the change was published.
    pub published_at: Instant,
    /// One time for each balancer that has acknowledged the change.
    pub acknowledged_after: Vec<Duration>,
}

/// The endpoint list with its latest changes.
pub struct Registry {
    state: Mutex<State>,
    /// Sends the present version to waiting watches.
    version: watch::Sender<u64>,
    /// Connections that have started to watch.
    watchers: AtomicUsize,
}

/// A change in the history, from which deltas are built.
struct RecentChange {
    version: u64,
    position: usize,
}

struct State {
    endpoints: Vec<Endpoint>,
    /// The latest changes, the oldest first.
    history: VecDeque<RecentChange>,
    max_history: usize,
    version: u64,
    /// All changes since the start, with their acknowledgements.
    published_changes: Vec<PublishedChange>,
    /// Responses for the present version. The key is the version that a delta starts from, or none for a snapshot.
    responses: HashMap<Option<u64>, Bytes>,
}

impl Registry {
    /// Lists these endpoints and remembers at most `max_history` changes.
    pub fn new(endpoints: Vec<Endpoint>, max_history: usize) -> Registry {
        let state = State {
            endpoints,
            history: VecDeque::new(),
            max_history,
            version: FIRST_VERSION,
            published_changes: Vec::new(),
            responses: HashMap::new(),
        };
        Registry {
            state: Mutex::new(state),
            version: watch::Sender::new(FIRST_VERSION),
            watchers: AtomicUsize::new(0),
        }
    }

    /// How many endpoints there are, including removed ones.
    pub fn endpoint_count(&self) -> usize {
        self.lock_state().endpoints.len()
    }

    /// Moves an endpoint on: from active to draining, to removed, and back to active as just started.
    pub fn advance_endpoint(&self, position: usize) {
        let mut state = self.lock_state();
        state.endpoints[position].advance();
        state.publish_change(position);
        self.version.send_replace(state.version);
    }

    /// Waits until the version differs from `since`, at most for `timeout`.
    pub async fn wait_for_change(&self, since: u64, timeout: Duration) {
        let mut versions = self.version.subscribe();
        // The result is ignored: a watch is answered in the same way after a change and after the timeout.
        let _ = tokio::time::timeout(timeout, versions.wait_for(|&version| version != since)).await;
    }

    /// A response with the complete list.
    pub fn snapshot(&self) -> Bytes {
        self.lock_state().response(None)
    }

    /// A response with the changes since this version, or with the complete list if they are no longer remembered.
    pub fn changes_since(&self, since: u64) -> Bytes {
        let mut state = self.lock_state();
        let remembered = state.remembers(since);
        state.response(remembered.then_some(since))
    }

    /// Counts a connection that has started to watch.
    pub fn record_watcher(&self) {
        self.watchers.fetch_add(1, Ordering::Relaxed);
    }

    /// How many connections have started to watch, including closed ones.
    pub fn watchers(&self) -> usize {
        self.watchers.load(Ordering::Relaxed)
    }

    /// Records that a balancer that had version `previous` in force now has version `current`.
    pub fn acknowledge(&self, previous: u64, current: u64) {
        if previous >= current {
            return;
        }
        let mut state = self.lock_state();
        let position = |version: u64| version.saturating_sub(FIRST_VERSION) as usize;
        let end = position(current).min(state.published_changes.len());
        let start = position(previous).min(end);
        for change in &mut state.published_changes[start..end] {
            change
                .acknowledged_after
                .push(change.published_at.elapsed());
        }
    }

    /// All changes so far, the oldest first.
    pub fn published_changes(&self) -> Vec<PublishedChange> {
        self.lock_state().published_changes.clone()
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Starts a new version with the changed endpoint at this position.
    fn publish_change(&mut self, position: usize) {
        self.version += 1;
        self.history.push_back(RecentChange {
            version: self.version,
            position,
        });
        if self.history.len() > self.max_history {
            self.history.pop_front();
        }
        self.responses.clear();
        self.published_changes.push(PublishedChange {
            published_at: Instant::now(),
            acknowledged_after: Vec::new(),
        });
    }

    /// Whether all changes since this version are in the history.
    fn remembers(&self, since: u64) -> bool {
        let oldest = self
            .history
            .front()
            .map_or(self.version, |change| change.version - 1);
        (oldest..=self.version).contains(&since)
    }

    fn response(&mut self, since: Option<u64>) -> Bytes {
        if let Some(response) = self.responses.get(&since) {
            return response.clone();
        }
        let response = self.serialize_list(since);
        self.responses.insert(since, response.clone());
        response
    }

    fn serialize_list(&self, since: Option<u64>) -> Bytes {
        let endpoints = match since {
            None => self.listed_endpoints(),
            Some(since) => self.changed_endpoints(since),
        };
        let list = EndpointList {
            version: self.version,
            is_snapshot: since.is_none(),
            endpoints,
        };
        // Strings and numbers always serialize.
        Bytes::from(serde_json::to_vec(&list).unwrap_or_default())
    }

    fn listed_endpoints(&self) -> Vec<&Endpoint> {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.state != EndpointState::Removed)
            .collect()
    }

    /// Each endpoint that has changed since this version, once, in its present state.
    fn changed_endpoints(&self, since: u64) -> Vec<&Endpoint> {
        let newer = self.history.iter().filter(|change| change.version > since);
        let mut positions: Vec<usize> = newer.map(|change| change.position).collect();
        positions.sort_unstable();
        positions.dedup();
        positions
            .into_iter()
            .map(|position| &self.endpoints[position])
            .collect()
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
