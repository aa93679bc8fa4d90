//! Relays bodies of responses that are large or slow to the client, as they arrive.
use crate::body::body_buffer::copy_of;
use crate::body::limits::{BODY_STALL_TIMEOUT, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::body::response_body::UpstreamBodySender;
use crate::memory::budget::{MemoryBudget, MemoryUse};
use crate::outbound::message::OutboundRequest;
use crate::outbound::response_outcome::outcome_of_read_error;
use crate::outbound::response_progress::ResponseProgress;
use crate::time::timeout_at;
use balancer_core::AttemptOutcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval in which a response that has begun before its request was complete looks for the
/// request's deadline.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its request's deadline the end of a response may come that is not complete. A body
/// of which more arrives later cannot be a small one that is in time, and is awaited like a large
/// one.
const FINAL_RESPONSE_GRACE: Duration = Duration::from_millis(300);

/// A body that is relayed to the client.
///
/// A body that may be a small one has to be complete by its request's deadline, or in progress: the
/// client is owed a final response, also where the upstream never sends the end of its own. A body
/// that is known to be large is in time once its first bytes are. It ends when it has stalled: after
/// a pause of [`BODY_STALL_TIMEOUT`], or once it has been below the least rate for too long.
pub struct Relay {
    sender: UpstreamBodySender,
    body: Incoming,
    /// Bytes passed on so far.
    forwarded: u64,
    /// Whether the body declares a large length.
    declares_large_body: bool,
    /// How steadily the upstream sends the body.
    progress: Rc<ResponseProgress>,
    request: Rc<OutboundRequest>,
    memory: MemoryBudget,
}

/// When the next frame must have arrived, and the outcome of the attempt if it has not.
struct FrameDeadline {
    at: Instant,
    outcome: AttemptOutcome,
}

impl Relay {
    /// Creates a relay from `body`, the response to `request`, to `sender`. `progress` is what has
    /// arrived of it so far, and `memory` limits what is queued for the client.
    pub fn new(
        sender: UpstreamBodySender,
        body: Incoming,
        declares_large_body: bool,
        progress: Rc<ResponseProgress>,
        request: Rc<OutboundRequest>,
        memory: &MemoryBudget,
    ) -> Relay {
        Relay {
            sender,
            body,
            forwarded: 0,
            declares_large_body,
            progress,
            request,
            memory: memory.clone(),
        }
    }

    /// Forwards `buffered` and then the remainder of the body, as fast as the client reads it. Each
    /// chunk is copied, as it is kept until then.
    pub async fn run(mut self, buffered: Bytes) -> Result<(), AttemptOutcome> {
        self.forwarded = buffered.len() as u64;
        if !buffered.is_empty() {
            self.send(buffered).await?;
        }
        loop {
            let Some(frame) = self.next_frame().await? else {
                self.sender.finish();
                return Ok(());
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.progress.record_data(data.len());
            self.forwarded += data.len() as u64;
            if self.forwarded > MAX_BODY_BYTES {
                return Err(AttemptOutcome::Error);
            }
            self.wait_for_memory(data.len()).await?;
            self.send(copy_of(&data)).await?;
        }
    }

    /// Waits until there is memory for a copy of the next chunk. Until then nothing more is read from
    /// the upstream. A client that has taken everything so far gets the chunk in any case: it does not
    /// stay in memory.
    async fn wait_for_memory(&self, chunk_bytes: usize) -> Result<(), AttemptOutcome> {
        let has_room = |memory: &MemoryBudget| {
            self.sender.is_client_receiving() || memory.has_room(MemoryUse::Bulk, chunk_bytes)
        };
        let deadline = self.frame_deadline(Instant::now());
        timeout_at(deadline.at, self.memory.wait_until(has_room))
            .await
            .map_err(|_| deadline.outcome)
    }

    async fn send(&self, data: Bytes) -> Result<(), AttemptOutcome> {
        let limit = self.stall_limit(Instant::now() + BODY_STALL_TIMEOUT);
        self.sender
            .send(data, limit)
            .await
            .map_err(|_| AttemptOutcome::Cancelled)
    }

    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, AttemptOutcome> {
        let started_at = Instant::now();
        self.progress.begin_wait();
        loop {
            let wake_at = self.wake_at(self.frame_deadline(started_at).at);
            if let Ok(frame) = timeout_at(wake_at, self.body.frame()).await {
                return frame
                    .transpose()
                    .map_err(|error| outcome_of_read_error(&error));
            }
            let deadline = self.frame_deadline(started_at);
            if Instant::now() >= deadline.at {
                return Err(deadline.outcome);
            }
        }
    }

    /// Until when to wait for a frame: until `frame_deadline`, or until the next look whether the
    /// request has its deadline now.
    fn wake_at(&self, frame_deadline: Instant) -> Instant {
        if self.request.deadline.get().is_some() {
            return frame_deadline;
        }
        frame_deadline.min(Instant::now() + DEADLINE_CHECK_INTERVAL)
    }

    /// When the next frame must have arrived, which is awaited since `started_at`.
    fn frame_deadline(&self, started_at: Instant) -> FrameDeadline {
        match self.completion_deadline() {
            Some(deadline) => FrameDeadline {
                at: self
                    .end_of_progress(started_at)
                    .max(deadline + FINAL_RESPONSE_GRACE),
                outcome: AttemptOutcome::Timeout,
            },
            None => FrameDeadline {
                at: self.stall_limit(self.progress.stalls_at(started_at)),
                outcome: AttemptOutcome::Reset,
            },
        }
    }

    /// Until when the body counts as in progress if nothing more arrives.
    fn end_of_progress(&self, now: Instant) -> Instant {
        self.progress.in_progress_until(now).unwrap_or(now)
    }

    /// From when on the body has to be in progress if it is not complete; `None` if that does not
    /// apply. A client may have written its request and wait, although the upstream has not read all
    /// of it.
    fn completion_deadline(&self) -> Option<Instant> {
        let deadline = self.request.expires_at();
        let is_late = self
            .progress
            .made_progress_after(deadline + FINAL_RESPONSE_GRACE);
        (self.may_be_small() && !is_late).then_some(deadline)
    }

    /// When a body that has stalled at `stalled_at` is given up: not before the request's deadline.
    fn stall_limit(&self, stalled_at: Instant) -> Instant {
        let deadline = self.request.deadline.get().unwrap_or(stalled_at);
        stalled_at.max(deadline)
    }

    fn may_be_small(&self) -> bool {
        !self.declares_large_body && self.forwarded <= MAX_BUFFERED_BODY_BYTES as u64
    }
}

#[cfg(test)]
mod tests;
