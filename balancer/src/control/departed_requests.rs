//! Requests that may not run again although their client has left without a response.
use crate::control::request_claims::RequestIdHash;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long a request is remembered.
const RETENTION_TIME: Duration = Duration::from_secs(300);
/// Largest number of requests that are remembered; the oldest are forgotten first.
const MAX_REQUESTS: usize = 16 << 10;

/// The ids of requests that may have run, must not run twice, and whose clients have left. A client
/// that comes back sends the id again. Only hashes are kept, as ids may be long.
#[derive(Default)]
pub struct DepartedRequests {
    ids: HashSet<RequestIdHash>,
    /// The same in the order of their departure.
    departures: VecDeque<Departure>,
}

struct Departure {
    at: Instant,
    id: RequestIdHash,
}

impl DepartedRequests {
    /// Remembers the id of a request.
    pub fn insert(&mut self, id: RequestIdHash) {
        let now = Instant::now();
        self.forget_old(now);
        if !self.ids.insert(id) {
            return;
        }
        self.departures.push_back(Departure { at: now, id });
        if self.departures.len() > MAX_REQUESTS {
            self.forget_oldest();
        }
    }

    /// Whether a request with this id is remembered.
    pub fn contains(&mut self, id: RequestIdHash) -> bool {
        self.forget_old(Instant::now());
        self.ids.contains(&id)
    }

    /// All that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = RequestIdHash> + '_ {
        self.ids.iter().copied()
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
            self.ids.remove(&oldest.id);
        }
    }
}

#[cfg(test)]
mod tests;
