//! How far a client has sent a request, from what has arrived of it.
use tokio::time::Instant;

/// Most bytes that the client's system buffers after the client has written them: Linux's default
/// limit of a socket's send buffer.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;

/// A lower limit of the time at which a client writes the last byte of its request.
///
/// While the balancer reads a body more slowly than its client writes, that byte may have been
/// written long before it can be read: it waits in the buffers of the two sockets. What has arrived
/// still proves that the client had not written more than its send buffer beyond that.
#[derive(Clone, Copy, Debug)]
pub struct SendProgress {
    earliest_end: Instant,
    checkpoint: Arrival,
}

/// How much of a body had arrived at some time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    bytes: u64,
}

impl SendProgress {
    /// The progress of a request whose head arrived at `head_arrived_at`.
    pub fn new(head_arrived_at: Instant) -> SendProgress {
        SendProgress {
            earliest_end: head_arrived_at,
            checkpoint: Arrival {
                at: head_arrived_at,
                bytes: 0,
            },
        }
    }

    /// The client wrote the last byte at this time or later.
    pub fn earliest_end(&self) -> Instant {
        self.earliest_end
    }

    /// Records that the client was still sending at this time.
    pub fn record_sending(&mut self, at: Instant) {
        self.earliest_end = self.earliest_end.max(at);
    }

    /// Records that `bytes` of the body have arrived, read or not. `length` is its total length, if
    /// the client stated it. Returns whether the client must still be sending.
    pub fn record_arrival(&mut self, now: Instant, bytes: u64, length: Option<u64>) -> bool {
        let length = length.unwrap_or(bytes);
        let is_sending = length > bytes + MAX_SEND_BUFFER_BYTES;
        if is_sending {
            self.record_sending(now);
        }
        // At the checkpoint the client cannot have written all that is known of the body now.
        if length > self.checkpoint.bytes + MAX_SEND_BUFFER_BYTES {
            self.record_sending(self.checkpoint.at);
            self.checkpoint = Arrival { at: now, bytes };
        }
        is_sending
    }
}

#[cfg(test)]
mod tests;
