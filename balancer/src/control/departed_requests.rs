//! Requests that may not run again although their client has left without a response.
use hyper::header::HeaderValue;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request is remembered.
const RETENTION_TIME: Duration = Duration::from_secs(300);
/// Largest number of requests that are remembered; the oldest are forgotten first.
const MAX_REQUESTS: usize = 16 << 10;

/// The ids of requests that may have run, must not run twice, and whose clients have left. A client
/// that comes back sends the id again.
///
/// Only hashes are kept, as ids may be long. If two ids have the same hash, a request is rejected that
/// could have run.
#[derive(Default)]
pub struct DepartedRequests {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// The same in the order of their departure.
    departures: VecDeque<Departure>,
}

struct Departure {
    at: Instant,
    hash: u64,
}

impl DepartedRequests {
    /// Remembers the id of a request.
    pub fn insert(&mut self, id: &HeaderValue) {
        let now = Instant::now();
        self.forget_old(now);
        let hash = self.hash(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.departures.push_back(Departure { at: now, hash });
        if self.departures.len() > MAX_REQUESTS {
            self.forget_oldest();
        }
    }

    /// Whether a request with this id is remembered.
    pub fn contains(&mut self, id: &HeaderValue) -> bool {
        self.forget_old(Instant::now());
        self.hashes.contains(&self.hash(id))
    }

    fn hash(&self, id: &HeaderValue) -> u64 {
        self.hasher.hash_one(id.as_bytes())
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(oldest) = self.departures.front() {
            if now - oldest.at < RETENTION_TIME {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.departures.pop_front() {
            self.hashes.remove(&oldest.hash);
        }
    }
}

#[cfg(test)]
mod tests;
