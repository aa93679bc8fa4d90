//! The idle client connections, and which of them is evicted when a new connection needs a
//! descriptor.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that has carried no request yet may be evicted after this long.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(30);
/// Grace period of a new connection while no used connection may be evicted instead of it.
const MIN_NEW_CONNECTION_GRACE: Duration = Duration::from_millis(5);
/// A used connection that has been idle for this long is evicted before new ones that are still in
/// their grace period.
const USED_CONNECTION_EVICTION_AGE: Duration = Duration::from_secs(2);

/// A connection that has carried no request yet may be closed after this long, whatever else is
/// connected.
const NEW_CONNECTION_IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Whether a connection has carried a request. New connections sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionKind {
    /// It has carried no request yet.
    New,
    /// It has carried a request.
    Used,
}

/// Identifies an idle connection. Keys of one kind sort by when their connections became idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleKey {
    kind: ConnectionKind,
    sequence: u64,
}

struct IdleConnection {
    idle_since: Instant,
    /// Notified when the connection is evicted.
    evict: Rc<Notify>,
}

/// The idle connections of one kind.
#[derive(Clone, Copy, Debug)]
struct IdleGroup {
    /// How long the oldest of them has been idle.
    oldest_age: Option<Duration>,
    count: usize,
}

/// All idle client connections.
#[derive(Default)]
pub struct IdleConnections {
    connections: RefCell<BTreeMap<IdleKey, IdleConnection>>,
    last_sequence: Cell<u64>,
}

impl IdleConnections {
    /// Marks a connection as idle. `evict` is notified when it is evicted. The key is passed to
    /// [`IdleConnections::unmark_idle`] when the connection is no longer idle.
    pub fn mark_idle(&self, kind: ConnectionKind, evict: &Rc<Notify>) -> IdleKey {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let key = IdleKey { kind, sequence };
        self.connections.borrow_mut().insert(
            key,
            IdleConnection {
                idle_since: Instant::now(),
                evict: evict.clone(),
            },
        );
        key
    }

    /// Removes a connection that is no longer idle.
    pub fn unmark_idle(&self, key: IdleKey) {
        self.connections.borrow_mut().remove(&key);
    }

    /// Evicts an idle connection, if one may be evicted for a new one. Returns whether it did.
    pub fn evict_idle_connection(&self) -> bool {
        let new = self.group(ConnectionKind::New);
        let used = self.group(ConnectionKind::Used);
        select_eviction_candidate(new, used).is_some_and(|kind| self.evict_oldest(kind))
    }

    /// Evicts an idle connection, if one may be evicted for its memory: one that has carried no request
    /// for so long that it may be closed, or one that has. Returns whether it did.
    pub fn evict_for_memory(&self) -> bool {
        let new_age = self.group(ConnectionKind::New).oldest_age;
        if new_age.is_some_and(|age| age >= NEW_CONNECTION_IDLE_LIMIT) {
            return self.evict_oldest(ConnectionKind::New);
        }
        self.evict_oldest(ConnectionKind::Used)
    }

    fn evict_oldest(&self, kind: ConnectionKind) -> bool {
        let Some(key) = self.oldest(kind) else {
            return false;
        };
        let Some(evicted) = self.connections.borrow_mut().remove(&key) else {
            return false;
        };
        evicted.evict.notify_one();
        true
    }

    fn group(&self, kind: ConnectionKind) -> IdleGroup {
        let connections = self.connections.borrow();
        let group = || connections.range(IdleKey::range(kind));
        IdleGroup {
            oldest_age: group()
                .next()
                .map(|(_, connection)| connection.idle_since.elapsed()),
            count: group().count(),
        }
    }

    fn oldest(&self, kind: ConnectionKind) -> Option<IdleKey> {
        let connections = self.connections.borrow();
        let (key, _) = connections.range(IdleKey::range(kind)).next()?;
        Some(*key)
    }
}

impl IdleKey {
    /// All keys of one kind.
    fn range(kind: ConnectionKind) -> RangeInclusive<IdleKey> {
        let first = IdleKey { kind, sequence: 0 };
        let last = IdleKey {
            kind,
            sequence: u64::MAX,
        };
        first..=last
    }
}

/// The kind of connection whose oldest member is evicted, so that a connection that has just
/// arrived gets its descriptor.
///
/// New connections are evicted first, after [`NEW_CONNECTION_GRACE`], in which their requests can
/// be read: otherwise hundreds of clients that send nothing would block those that send requests.
/// Used connections are evicted without that delay if the oldest has been idle for
/// [`USED_CONNECTION_EVICTION_AGE`], or if they are the larger group. If no used connection may be
/// evicted, a new one is evicted after [`MIN_NEW_CONNECTION_GRACE`].
fn select_eviction_candidate(new: IdleGroup, used: IdleGroup) -> Option<ConnectionKind> {
    let new_is_older_than = |grace| new.oldest_age.is_some_and(|age| age >= grace);
    if new_is_older_than(NEW_CONNECTION_GRACE) {
        return Some(ConnectionKind::New);
    }
    let is_used_evictable = used
        .oldest_age
        .is_some_and(|age| age >= USED_CONNECTION_EVICTION_AGE || used.count > new.count);
    if is_used_evictable {
        return Some(ConnectionKind::Used);
    }
    new_is_older_than(MIN_NEW_CONNECTION_GRACE).then_some(ConnectionKind::New)
}

#[cfg(test)]
mod tests;
