//! Buffers the bodies of small responses, so that nothing is passed on of one that fails.
use crate::body::body_buffer::BodyBuffer;
use crate::body::limits::MAX_BUFFERED_BODY_BYTES;
use crate::memory::budget::{MemoryBudget, MemoryExhausted};
use crate::outbound::response_outcome::outcome_of_read_error;
use crate::outbound::response_progress::ResponseProgress;
use crate::time::sleep_until;
use balancer_core::AttemptOutcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::time::Duration;
use tokio::time::Instant;

/// How long a body of undeclared length is buffered before it is relayed like a large one.
const UNDECLARED_LENGTH_BUFFER_TIME: Duration = Duration::from_secs(1);

/// How long before its request expires a body of undeclared length is relayed, so that its first
/// bytes are in time although the process may be held up.
const FIRST_BYTES_MARGIN: Duration = Duration::from_millis(150);

/// What was read of a response body before the response was passed on.
pub enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The start of a body that is large or slow, or for which too little memory is left; the rest is
    /// still to be read.
    Partial(Bytes),
}

/// Buffers a body as long as it may be a small one and memory is left. Nothing is read of a body that
/// declares a large length. A body that declares a small length waits for memory and is read to its
/// end, which only the attempt's timeout limits. One of undeclared length waits for memory with its
/// first bytes, until the time of its request is over. Records in `progress` what arrives. The request
/// expires at `expires_at`.
pub async fn buffer_body(
    body: &mut Incoming,
    declared_length: Option<u64>,
    memory: &MemoryBudget,
    progress: &ResponseProgress,
    expires_at: Instant,
) -> Result<BufferedBody, AttemptOutcome> {
    if declares_large_body(declared_length) {
        return Ok(BufferedBody::Partial(Bytes::new()));
    }
    let relay_times = match declared_length {
        Some(_) => None,
        None => {
            progress.record_begin();
            Some(RelayTimes::new(Instant::now(), expires_at))
        }
    };
    let buffering = Buffering {
        body,
        buffer: BodyBuffer::for_response(declared_length, memory),
        relay_times,
        progress,
    };
    buffering.run().await
}

/// When a body of undeclared length is relayed.
#[derive(Clone, Copy, Debug)]
struct RelayTimes {
    /// After being buffered.
    buffered: Instant,
    /// At the latest, also where it waits for memory.
    latest: Instant,
}

impl RelayTimes {
    /// The times of a body that begins now.
    fn new(now: Instant, expires_at: Instant) -> RelayTimes {
        let remaining = expires_at.saturating_duration_since(now);
        let margin = FIRST_BYTES_MARGIN.min(remaining / 2);
        let latest = now + (remaining - margin);
        RelayTimes {
            buffered: latest.min(now + UNDECLARED_LENGTH_BUFFER_TIME),
            latest,
        }
    }
}

/// A body that is being buffered.
struct Buffering<'a> {
    body: &'a mut Incoming,
    buffer: BodyBuffer,
    /// When it is relayed; `None` if it must be complete before.
    relay_times: Option<RelayTimes>,
    progress: &'a ResponseProgress,
}

/// What ends the wait for a body's next frame.
enum BufferEvent {
    Frame(Frame<Bytes>),
    EndOfBody,
    /// The body is to be relayed from now on.
    RelayDue,
}

impl Buffering<'_> {
    async fn run(mut self) -> Result<BufferedBody, AttemptOutcome> {
        if self.relay_times.is_none() {
            self.buffer.allocate_when_possible().await;
        }
        while self.buffer.len() <= MAX_BUFFERED_BODY_BYTES {
            let frame = match self.next_event().await? {
                BufferEvent::Frame(frame) => frame,
                BufferEvent::EndOfBody => {
                    self.progress.record_complete();
                    return Ok(BufferedBody::Complete(self.buffer.into_bytes()));
                }
                BufferEvent::RelayDue => break,
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            self.progress.record_data(data.len());
            if self.append(data).await.is_err() {
                self.buffer.record_refused();
                self.buffer.append_beyond_budget(data);
                break;
            }
        }
        Ok(BufferedBody::Partial(self.buffer.into_bytes()))
    }

    /// Appends data to the buffer. Fails if there is too little memory; the first bytes wait for it
    /// as long as the request has time.
    async fn append(&mut self, data: &[u8]) -> Result<(), MemoryExhausted> {
        if self.buffer.len() > 0 {
            return self.buffer.append(data);
        }
        let latest_relay_at = self.relay_times.map(|times| times.latest);
        tokio::select! {
            biased;
            () = self.buffer.append_when_possible(data) => Ok(()),
            () = relay_due(self.progress, latest_relay_at) => Err(MemoryExhausted),
        }
    }

    async fn next_event(&mut self) -> Result<BufferEvent, AttemptOutcome> {
        self.progress.begin_wait();
        // Before the first byte there is nothing to relay.
        let relay_at = self
            .relay_times
            .filter(|_| self.buffer.len() > 0)
            .map(|times| times.buffered);
        let frame = tokio::select! {
            biased;
            frame = self.body.frame() => frame,
            () = relay_due(self.progress, relay_at) => return Ok(BufferEvent::RelayDue),
        };
        match frame {
            None => Ok(BufferEvent::EndOfBody),
            Some(Ok(frame)) => Ok(BufferEvent::Frame(frame)),
            Some(Err(error)) => Err(outcome_of_read_error(&error)),
        }
    }
}

/// Waits until a body is to be relayed: at `relay_at`, or when the time of its request is over.
async fn relay_due(progress: &ResponseProgress, relay_at: Option<Instant>) {
    let Some(relay_at) = relay_at else {
        return progress.relay_requested().await;
    };
    tokio::select! {
        () = progress.relay_requested() => {}
        () = sleep_until(relay_at) => {}
    }
}

/// Whether a body's declared length is too large for buffering.
pub fn declares_large_body(declared_length: Option<u64>) -> bool {
    declared_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64)
}

#[cfg(test)]
mod tests;
