//! The timers that have not fired, in the order of their deadlines.
use std::collections::BTreeMap;
use std::task::Waker;
use tokio::time::Instant;

/// Identifies a timer of one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    deadline: Instant,
    /// Tells timers with the same deadline apart.
    sequence: u64,
}

/// The timers that have not fired.
#[derive(Debug, Default)]
pub struct TimerQueue {
    wakers: BTreeMap<TimerKey, Waker>,
    next_sequence: u64,
}

impl TimerQueue {
    /// Adds a timer that wakes `waker` at `deadline`.
    pub fn insert(&mut self, deadline: Instant, waker: Waker) -> TimerKey {
        let key = TimerKey {
            deadline,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.wakers.insert(key, waker);
        key
    }

    /// Replaces the waker of a timer, unless it has fired.
    pub fn replace_waker(&mut self, key: TimerKey, waker: &Waker) {
        if let Some(current) = self.wakers.get_mut(&key) {
            current.clone_from(waker);
        }
    }

    /// Removes a timer, if it has not fired.
    pub fn remove(&mut self, key: TimerKey) {
        self.wakers.remove(&key);
    }

    /// The earliest deadline.
    pub fn earliest(&self) -> Option<Instant> {
        self.wakers.first_key_value().map(|(key, _)| key.deadline)
    }

    /// Removes the earliest timer if its deadline has passed, and returns its waker.
    pub fn pop_due(&mut self, now: Instant) -> Option<Waker> {
        let earliest = self.wakers.first_entry()?;
        if earliest.key().deadline > now {
            return None;
        }
        Some(earliest.remove())
    }
}

#[cfg(test)]
mod tests;
