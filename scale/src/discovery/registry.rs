//! The list of endpoints, its versions, and who has acknowledged them when.
use crate::balancer::configuration::{MACHINE_KIND, ZONE};
use bytes::Bytes;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// The version of the list as a run begins.
const FIRST_VERSION: u64 = 1;

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Is gone; told among changes only.
    Left,
}

/// One line of the list.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    id: String,
    addr: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    cell: u16,
    state: EndpointState,
    weight: f64,
    started_ms: u64,
}

impl Endpoint {
    /// An active endpoint that started long ago.
    pub fn new(number: usize, addr: SocketAddr) -> Endpoint {
        Endpoint {
            id: format!("s-{number:08x}"),
            addr,
            zone: ZONE,
            kind: MACHINE_KIND,
            cell: 0,
            state: EndpointState::Active,
            weight: 1.0,
            started_ms: 0,
        }
    }
}

#[derive(Serialize)]
struct Listing<'a> {
    version: u64,
    full: bool,
    servers: Vec<&'a Endpoint>,
}

/// A change, and how long after it each balancer had it in force.
#[derive(Clone, Debug)]
pub struct PublishedChange {
    /// When discovery had it.
    pub published: Instant,
    /// One time for each balancer that has acknowledged it.
    pub acknowledged: Vec<Duration>,
}

/// The list and all that is known about its versions.
pub struct Registry {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    /// Connections that have begun to watch.
    watchers: AtomicUsize,
}

struct State {
    endpoints: Vec<Endpoint>,
    /// The latest changes: the version that each made and the endpoint's position.
    history: VecDeque<(u64, usize)>,
    history_most: usize,
    version: u64,
    changes: Vec<PublishedChange>,
    /// Answers for the present version, by what they follow.
    answers: HashMap<Option<u64>, Bytes>,
}

impl Registry {
    /// Lists these endpoints and remembers so many changes.
    pub fn new(endpoints: Vec<Endpoint>, history_most: usize) -> Registry {
        let state = State {
            endpoints,
            history: VecDeque::new(),
            history_most,
            version: FIRST_VERSION,
            changes: Vec::new(),
            answers: HashMap::new(),
        };
        Registry {
            state: Mutex::new(state),
            version: watch::Sender::new(FIRST_VERSION),
            watchers: AtomicUsize::new(0),
        }
    }

    /// How many endpoints there are, those that left too.
    pub fn endpoints(&self) -> usize {
        self.state().endpoints.len()
    }

    /// Moves an endpoint on: from active to leaving, to left, and back as just started.
    pub fn change(&self, position: usize) {
        let mut state = self.state();
        let endpoint = &mut state.endpoints[position];
        endpoint.state = match endpoint.state {
            EndpointState::Active => EndpointState::Leaving,
            EndpointState::Leaving => EndpointState::Left,
            EndpointState::Left => {
                endpoint.started_ms = unix_ms();
                EndpointState::Active
            }
        };
        state.version += 1;
        let version = state.version;
        state.history.push_back((version, position));
        if state.history.len() > state.history_most {
            state.history.pop_front();
        }
        state.answers.clear();
        state.changes.push(PublishedChange {
            published: Instant::now(),
            acknowledged: Vec::new(),
        });
        self.version.send_replace(version);
    }

    /// Waits until there is something newer than `since`, for so long at most.
    pub async fn changed(&self, since: u64, wait: Duration) {
        let mut versions = self.version.subscribe();
        // Both a change and the end of the wait are answered.
        let _ = tokio::time::timeout(wait, versions.wait_for(|&version| version != since)).await;
    }

    /// The whole list.
    pub fn whole(&self) -> Bytes {
        self.state().answer(None)
    }

    /// What follows this version; the whole list where that is not known any more.
    pub fn changes(&self, since: u64) -> Bytes {
        let mut state = self.state();
        let known = state.knows(since);
        state.answer(known.then_some(since))
    }

    /// Counts a connection that has begun to watch.
    pub fn record_watcher(&self) {
        self.watchers.fetch_add(1, Ordering::Relaxed);
    }

    /// How many connections have begun to watch, those that are gone too.
    pub fn watchers(&self) -> usize {
        self.watchers.load(Ordering::Relaxed)
    }

    /// A balancer that had version `before` in force now has `since`.
    pub fn acknowledge(&self, before: u64, since: u64) {
        if before >= since {
            return;
        }
        let mut state = self.state();
        let position = |version: u64| version.saturating_sub(FIRST_VERSION) as usize;
        let last = position(since).min(state.changes.len());
        let first = position(before).min(last);
        for change in &mut state.changes[first..last] {
            change.acknowledged.push(change.published.elapsed());
        }
    }

    /// All changes so far, the oldest first.
    pub fn published(&self) -> Vec<PublishedChange> {
        self.state().changes.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn knows(&self, since: u64) -> bool {
        let oldest = self
            .history
            .front()
            .map_or(self.version, |(version, _)| version - 1);
        (oldest..=self.version).contains(&since)
    }

    fn answer(&mut self, since: Option<u64>) -> Bytes {
        if let Some(answer) = self.answers.get(&since) {
            return answer.clone();
        }
        let answer = self.listing(since);
        self.answers.insert(since, answer.clone());
        answer
    }

    fn listing(&self, since: Option<u64>) -> Bytes {
        let servers = match since {
            None => self
                .endpoints
                .iter()
                .filter(|e| e.state != EndpointState::Left)
                .collect(),
            Some(since) => self.changed_since(since),
        };
        let listing = Listing {
            version: self.version,
            full: since.is_none(),
            servers,
        };
        // Strings and numbers always have a form in JSON.
        Bytes::from(serde_json::to_vec(&listing).unwrap_or_default())
    }

    /// Each endpoint that has changed, once, as it is now.
    fn changed_since(&self, since: u64) -> Vec<&Endpoint> {
        let newer = self.history.iter().filter(|(version, _)| *version > since);
        let mut positions: Vec<usize> = newer.map(|(_, position)| *position).collect();
        positions.sort_unstable();
        positions.dedup();
        positions
            .into_iter()
            .map(|position| &self.endpoints[position])
            .collect()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
