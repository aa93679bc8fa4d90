//! The driver's queue of timers, ordered by due time.
use crate::control::attempt_id::AttemptId;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// What happens when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// The core receives the token that it set the timer with.
    CoreTimer(u32),
    /// The attempt has timed out.
    AttemptTimeout(AttemptId),
    /// Connections that have been idle for too long are closed.
    IdleConnectionCheck,
}

/// Identifies a timer that is set. Timers due at the same instant fire in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    due_at: Instant,
    sequence: u64,
}

/// All timers that are set.
#[derive(Default)]
pub struct TimerQueue {
    by_id: BTreeMap<TimerId, TimerEvent>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, due_at: Instant, event: TimerEvent) -> TimerId {
        self.last_sequence += 1;
        let id = TimerId {
            due_at,
            sequence: self.last_sequence,
        };
        self.by_id.insert(id, event);
        id
    }

    /// Cancels a timer. Does nothing if it has fired.
    pub fn cancel(&mut self, id: TimerId) {
        self.by_id.remove(&id);
    }

    /// When the next timer is due.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.by_id.first_key_value().map(|(id, _)| id.due_at)
    }

    /// Removes the timer with the earliest due time, whether or not it is due yet, and returns its event.
    pub fn pop_next(&mut self) -> Option<TimerEvent> {
        self.by_id.pop_first().map(|(_, event)| event)
    }
}
