//! When a client wrote the last byte of its request, as far as its socket shows it.
use crate::body::send_progress::SendProgress;
use crate::net::peer::Peer;
use std::cell::RefCell;
use tokio::time::Instant;

/// The time at which a client wrote the last byte of its request. The time of the request runs from
/// then on.
pub struct RequestEnd {
    client: Peer,
    progress: RefCell<SendProgress>,
}

/// What the client of an incomplete request does, as far as the balancer can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// The balancer has read all that has arrived, and waits for more.
    Awaited,
    /// More is missing than the client's send buffer holds, so the client still writes.
    Sending,
    /// The rest may wait in buffers since the earliest possible end of the request.
    MayHaveSentAll,
}

impl RequestEnd {
    /// The end of a request of `client`, whose head arrived at `head_arrived_at`.
    pub fn new(client: Peer, head_arrived_at: Instant) -> RequestEnd {
        RequestEnd {
            client,
            progress: RefCell::new(SendProgress::new(head_arrived_at)),
        }
    }

    /// The client wrote the last byte at this time or later.
    pub fn earliest(&self) -> Instant {
        let mut progress = self.progress.borrow_mut();
        if let Some(read_at) = self.client.awaited_bytes_read_at() {
            progress.record_sending(read_at);
        }
        progress.earliest_end()
    }

    /// Updates the earliest end, and returns what the client does now. `bytes_read` of the body have
    /// been read; `length` is its total length, if the client stated it.
    pub fn update(&self, bytes_read: u64, length: Option<u64>) -> ClientState {
        let now = Instant::now();
        let bytes_arrived = bytes_read + self.client.unread_bytes();
        let is_sending = self
            .progress
            .borrow_mut()
            .record_arrival(now, bytes_arrived, length);
        if self.client.is_awaited() {
            self.progress.borrow_mut().record_sending(now);
            return ClientState::Awaited;
        }
        if is_sending {
            return ClientState::Sending;
        }
        ClientState::MayHaveSentAll
    }
}
