//! When the bytes of a connection's peer arrived, as far as its reader can tell.
use std::cell::Cell;
use tokio::time::Instant;

/// Since when bytes are unread, whether the reader waits for the peer, and when bytes that it waited
/// for arrived.
#[derive(Default)]
pub struct InputActivity {
    /// Since when bytes are known to be unread.
    unread_since: Cell<Option<Instant>>,
    /// Whether the last read found the socket empty.
    is_awaiting: Cell<bool>,
    awaited_bytes_read_at: Cell<Option<Instant>>,
}

impl InputActivity {
    /// Whether bytes are known to be unread.
    pub fn has_known_unread(&self) -> bool {
        self.unread_since.get().is_some()
    }

    /// Records that bytes are unread, which arrived at `since` at the earliest.
    pub fn record_unread(&self, since: Instant) {
        self.unread_since.set(Some(since));
    }

    /// Since when the bytes that were just read are known to have been unread, if they are.
    pub fn take_unread_since(&self) -> Option<Instant> {
        self.unread_since.take()
    }

    /// Records that a read found the socket empty.
    pub fn record_empty(&self) {
        self.is_awaiting.set(true);
    }

    /// Records that bytes were read.
    pub fn record_bytes(&self) {
        if self.is_awaiting.replace(false) {
            self.awaited_bytes_read_at.set(Some(Instant::now()));
        }
    }

    /// Whether the last read found the socket empty, so that the reader waits for the peer.
    pub fn is_awaiting(&self) -> bool {
        self.is_awaiting.get()
    }

    /// When bytes were last read that the reader had waited for: the peer wrote them then, and not
    /// earlier. Bytes that were not waited for may have been unread for any time.
    pub fn awaited_bytes_read_at(&self) -> Option<Instant> {
        self.awaited_bytes_read_at.get()
    }
}
