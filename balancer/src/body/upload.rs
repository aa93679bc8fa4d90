//! A large request body that is forwarded to an upstream while the client still sends it.
use crate::body::body_buffer::{copy_of, BodyBuffer};
use crate::body::body_error::BodyError;
use crate::body::limits::{BODY_STALL_TIMEOUT, MAX_BUFFERED_BODY_BYTES};
use crate::body::request_end::{ClientState, RequestEnd};
use crate::body::time_limited_body::TimeLimitedBody;
use crate::memory::budget::{MemoryBudget, MemoryUse};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Receives notifications about the body of a pending request.
pub trait UploadObserver {
    /// The body has arrived completely.
    fn completed(&self);

    /// The start of the body is no longer buffered, so that no other attempt can send the body.
    fn buffer_released(&self);
}

/// A large request body. All that has arrived stays buffered for further attempts, until that is
/// more than [`MAX_BUFFERED_BODY_BYTES`]; then the buffer is released.
pub struct Upload {
    state: RefCell<UploadState>,
    /// Total length, if the client stated it.
    length: Option<u64>,
    observer: RefCell<Option<Box<dyn UploadObserver>>>,
    error: Cell<Option<BodyError>>,
    /// When the client wrote the last byte.
    end: Rc<RequestEnd>,
    /// When an attempt last polled for data.
    last_polled_at: Cell<Instant>,
    memory: MemoryBudget,
}

struct UploadState {
    body: TimeLimitedBody,
    /// A chunk that has been read and waits for memory to be copied.
    waiting_chunk: Option<WaitingChunk>,
    /// All bytes received, while they are not more than [`MAX_BUFFERED_BODY_BYTES`] and memory is
    /// left.
    buffered: Option<BodyBuffer>,
    is_complete: bool,
}

/// A chunk that waits for memory.
struct WaitingChunk {
    chunk: Bytes,
    memory_available: Pin<Box<dyn Future<Output = ()>>>,
}

impl WaitingChunk {
    fn new(chunk: Bytes, memory: MemoryBudget) -> WaitingChunk {
        let needed = chunk.len();
        WaitingChunk {
            chunk,
            memory_available: Box::pin(async move {
                memory
                    .wait_until(|memory| memory.has_room(MemoryUse::Bulk, needed))
                    .await;
            }),
        }
    }
}

/// What the observer is notified of after a poll.
#[derive(Clone, Copy, Default)]
struct UploadProgress {
    buffer_released: bool,
    completed: bool,
}

impl UploadState {
    /// Polls for the next data of the body. If the upstream `is_blocked`, polls then until there is
    /// memory for a copy of it, and nothing more is read from the client. What the upstream takes at
    /// once does not stay in memory.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        memory: &MemoryBudget,
        is_blocked: bool,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.waiting_chunk.is_none() {
            let next = ready!(self.body.poll_next(cx));
            let Some(Ok(chunk)) = next else {
                return Poll::Ready(next);
            };
            if !is_blocked || memory.has_room(MemoryUse::Bulk, chunk.len()) {
                return Poll::Ready(Some(Ok(chunk)));
            }
            self.waiting_chunk = Some(WaitingChunk::new(chunk, memory.clone()));
        }
        if let Some(waiting) = self.waiting_chunk.as_mut().filter(|_| is_blocked) {
            ready!(waiting.memory_available.as_mut().poll(cx));
        }
        Poll::Ready(self.waiting_chunk.take().map(|waiting| Ok(waiting.chunk)))
    }

    /// Records the data of a poll.
    fn record(&mut self, next: Option<&Result<Bytes, BodyError>>) -> UploadProgress {
        let mut progress = UploadProgress::default();
        if let Some(Ok(chunk)) = next {
            progress.buffer_released = self.buffer_or_release(chunk);
        }
        progress.completed = next.is_none() || self.body.remaining_length() == Some(0);
        self.is_complete |= progress.completed;
        progress
    }

    /// Buffers a chunk while all of the body fits and memory is left. Returns whether the buffer was
    /// released.
    fn buffer_or_release(&mut self, chunk: &Bytes) -> bool {
        let fits = self.body.bytes_received() <= MAX_BUFFERED_BODY_BYTES as u64;
        let Some(buffered) = &mut self.buffered else {
            return false;
        };
        if fits {
            if buffered.append(chunk).is_ok() {
                return false;
            }
            buffered.record_refused();
        }
        self.buffered = None;
        true
    }
}

impl Upload {
    /// An upload whose start `buffered` has been read; `body` is the rest, and `end` the end of its
    /// request. `memory` limits what waits for the upstream.
    pub fn new(
        body: TimeLimitedBody,
        buffered: BodyBuffer,
        end: Rc<RequestEnd>,
        memory: &MemoryBudget,
    ) -> Rc<Upload> {
        let length = body
            .remaining_length()
            .map(|remaining| remaining + buffered.len() as u64);
        Rc::new(Upload {
            state: RefCell::new(UploadState {
                body,
                waiting_chunk: None,
                buffered: Some(buffered),
                is_complete: false,
            }),
            length,
            observer: RefCell::default(),
            error: Cell::new(None),
            end,
            last_polled_at: Cell::new(Instant::now()),
            memory: memory.clone(),
        })
    }

    /// Sets the observer of the upload.
    pub fn observe(&self, observer: Box<dyn UploadObserver>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Total length, if the client stated it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body has arrived completely.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().is_complete
    }

    /// Whether the start of the body is still buffered, so that an attempt can send the body.
    pub fn is_replayable(&self) -> bool {
        self.state.borrow().buffered.is_some()
    }

    /// The client's failure to send the body, if there was one.
    pub fn error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Whether the body is complete and has no byte after the first `position` ones.
    pub fn ends_at(&self, position: usize) -> bool {
        let state = self.state.borrow();
        let buffered_bytes = state.buffered.as_ref().map_or(0, BodyBuffer::len);
        state.is_complete && position >= buffered_bytes
    }

    /// The client wrote the last byte at this time or later.
    pub fn earliest_end(&self) -> Instant {
        self.update_end();
        self.end.earliest()
    }

    /// When the request expires unless its client or its upstream makes progress until then. The
    /// client waits `response_timeout` after its last byte.
    pub fn expires_at(&self, response_timeout: Duration) -> Instant {
        match self.update_end() {
            Some(ClientState::Sending) => {
                // The client's time has not begun. The limit guards against upstreams that never
                // read on.
                self.last_polled_at.get() + response_timeout.max(BODY_STALL_TIMEOUT)
            }
            Some(ClientState::Awaited | ClientState::MayHaveSentAll) | None => {
                self.end.earliest() + response_timeout
            }
        }
    }

    /// Updates the end of the request, as long as the body is incomplete.
    fn update_end(&self) -> Option<ClientState> {
        let state = self.state.borrow();
        if state.is_complete {
            return None;
        }
        Some(self.end.update(state.body.bytes_received(), self.length))
    }

    /// Polls for bytes after the first `position` ones, and advances `position`. The bytes are a copy:
    /// they are kept until the upstream reads on. `is_blocked` tells that it does not read now.
    pub fn poll_next(
        &self,
        cx: &mut Context<'_>,
        position: &mut usize,
        is_blocked: bool,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.update_end();
        let mut state = self.state.borrow_mut();
        if state.waiting_chunk.is_none() {
            self.last_polled_at.set(Instant::now());
        }
        let buffered_chunk = state
            .buffered
            .as_ref()
            .and_then(|buffered| buffered.chunk_at(*position));
        if let Some(chunk) = buffered_chunk {
            *position += chunk.len();
            return Poll::Ready(Some(Ok(chunk)));
        }
        if state.is_complete {
            return Poll::Ready(None);
        }
        let next = ready!(state.poll_body(cx, &self.memory, is_blocked));
        let progress = state.record(next.as_ref());
        // The observer may call back into this upload.
        drop(state);
        if let Some(Ok(chunk)) = &next {
            *position += chunk.len();
        }
        self.notify(progress);
        if let Some(Err(error)) = next {
            self.error.set(Some(error));
        }
        Poll::Ready(next.map(|chunk| chunk.map(|chunk| copy_of(&chunk))))
    }

    fn notify(&self, progress: UploadProgress) {
        let observer = self.observer.borrow();
        let Some(observer) = observer.as_ref() else {
            return;
        };
        if progress.buffer_released {
            observer.buffer_released();
        }
        if progress.completed {
            observer.completed();
        }
    }
}
