//! Tracks what is read from and written to a client before hyper parses it, and after hyper has
//! encoded it.
use crate::inbound::client_connection::ClientConnection;
use crate::inbound::request_framing::{BodyFraming, HeadScanner, HeadSize};
use crate::inbound::request_tracker::RequestTracker;
use crate::memory::budget::{MemoryBudget, MemoryUse};
use crate::memory::report::MemoryRefusal;
use crate::net::shared_stream::{SharedStream, MAX_HEAD_BYTES};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// A head with more bytes or more lines counts as large for the memory budget.
const MAX_ORDINARY_HEAD: HeadSize = HeadSize {
    bytes: 4 << 10,
    lines: 32,
};
/// Memory that an ordinary request takes until it waits for its upstream.
const ORDINARY_REQUEST_BYTES: usize = 8 << 10;
/// The same of a request with the largest head: what hyper reads it into, and what is parsed of it.
const LARGE_REQUEST_BYTES: usize = 64 << 10;

/// Position of the next byte.
enum Position {
    /// Within a head, or before one.
    Head,
    /// Within a body.
    Body { remaining: u64 },
    /// After a head that ends the tracking: the connection closes after the request of that head,
    /// or hyper rejects the head.
    Untracked,
}

impl From<BodyFraming> for Position {
    fn from(framing: BodyFraming) -> Position {
        match framing {
            BodyFraming::Length(length) => Position::Body { remaining: length },
            BodyFraming::Untracked => Position::Untracked,
        }
    }
}

/// The stream of a client connection. Reports what is read to the connection's [`RequestTracker`],
/// and what is written to its [`ResponseDelivery`].
///
/// [`ResponseDelivery`]: crate::inbound::response_delivery::ResponseDelivery
pub struct TrackedStream {
    connection: Rc<ClientConnection>,
    stream: SharedStream,
    /// The head that is being read.
    head: HeadScanner,
    position: Position,
    memory: MemoryBudget,
}

impl TrackedStream {
    /// Tracks the stream of a new connection.
    pub fn new(connection: &Rc<ClientConnection>, memory: &MemoryBudget) -> TrackedStream {
        TrackedStream {
            connection: connection.clone(),
            stream: connection.stream().clone(),
            head: HeadScanner::default(),
            position: Position::Head,
            memory: memory.clone(),
        }
    }

    fn tracker(&self) -> &RequestTracker {
        self.connection.tracker()
    }

    fn track_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(_)) => self.connection.delivery().record_written(),
            Poll::Pending => self.connection.delivery().record_blocked(),
            Poll::Ready(Err(_)) => {}
        }
    }

    /// Tracks bytes that were read and had arrived at `arrival`. Returns the largest head, or part of
    /// one, among them.
    fn track(&mut self, mut bytes: &[u8], arrival: Instant) -> Option<HeadSize> {
        let mut largest_head = None;
        while !bytes.is_empty() {
            match self.position {
                Position::Untracked => return largest_head,
                Position::Body { remaining } => bytes = self.track_body(bytes, remaining),
                Position::Head => {
                    let (size, rest) = self.track_head(bytes, arrival);
                    largest_head = largest_head.max(size);
                    bytes = rest;
                }
            }
        }
        self.tracker().set_partial_head(self.head.has_begun());
        largest_head
    }

    /// Skips the body's bytes and returns the rest.
    fn track_body<'a>(&mut self, bytes: &'a [u8], remaining: u64) -> &'a [u8] {
        let count = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        let remaining = remaining - count as u64;
        self.position = if remaining > 0 {
            Position::Body { remaining }
        } else {
            Position::Head
        };
        &bytes[count..]
    }

    /// Scans the head's bytes and returns its size so far, if it has begun, and the rest.
    fn track_head<'a>(
        &mut self,
        mut bytes: &'a [u8],
        arrival: Instant,
    ) -> (Option<HeadSize>, &'a [u8]) {
        if !self.head.has_begun() {
            bytes = skip_blank_lines(bytes);
            if bytes.is_empty() {
                return (None, bytes);
            }
            self.tracker().record_head_start();
        }
        let end = self.head.scan(bytes);
        let size = self.head.size();
        if let Some(end) = end {
            self.finish_head(arrival);
            return (Some(size), &bytes[end..]);
        }
        if size.bytes > MAX_HEAD_BYTES {
            self.head = HeadScanner::default();
            self.position = Position::Untracked;
        }
        (Some(size), &[])
    }

    fn finish_head(&mut self, arrival: Instant) {
        self.tracker().record_head_end(arrival);
        let head = std::mem::take(&mut self.head);
        self.position = match head.framing() {
            Ok(framing) => framing.into(),
            Err(_) => {
                self.tracker().record_ambiguous_head();
                Position::Untracked
            }
        };
    }

    /// Whether memory is left for a request with a head of this size. Only a request that is the first
    /// after a delivered response can be rejected before it is parsed.
    fn may_admit(&self, head: HeadSize) -> bool {
        if !self.connection.is_idle() {
            return true;
        }
        let (memory_use, needed) = if head.is_within(MAX_ORDINARY_HEAD) {
            (MemoryUse::Admission, ORDINARY_REQUEST_BYTES)
        } else {
            (MemoryUse::Bulk, LARGE_REQUEST_BYTES)
        };
        self.memory.check(memory_use, needed).is_ok()
    }
}

/// Skips empty lines, which HTTP allows before a request.
fn skip_blank_lines(bytes: &[u8]) -> &[u8] {
    let blank = bytes
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .count();
    &bytes[blank..]
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_rejected() {
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let arrival = self.stream.take_arrival_time();
        let largest_head = self.track(&buf.filled()[filled_before..], arrival);
        if largest_head.is_some_and(|head| !self.may_admit(head)) {
            self.memory.record_refused(MemoryRefusal::RequestHead);
            // The task of the connection responds and closes it.
            self.connection.reject();
            buf.set_filled(filled_before);
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.track_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.track_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
