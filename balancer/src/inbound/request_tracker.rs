//! Tracks the requests in a client's input before hyper parses it: complete heads, partial heads
//! and when they arrived.
use crate::inbound::request_framing::{parse_framing, BodyFraming};
use crate::net::shared_stream::{SharedStream, MAX_HEAD_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The requests on one client connection, as far as its bytes have been read.
pub struct RequestTracker {
    /// How many complete heads have been read.
    requests_read: Cell<u64>,
    /// How many of these requests hyper has dispatched to the service.
    requests_dispatched: Cell<u64>,
    /// Whether part of a head has been read.
    has_partial_head: Cell<bool>,
    /// When the heads arrived that are not yet dispatched.
    arrivals: RefCell<VecDeque<Instant>>,
    /// Since when the balancer has waited for the client: the start of the connection, the first
    /// byte of a later head, or the end of the last response.
    waiting_since: Cell<Instant>,
    /// Number of the request with ambiguous framing, counted from 1 on its connection.
    ambiguous_request: Cell<Option<u64>>,
}

impl RequestTracker {
    /// Tracks a new connection.
    pub fn new() -> Rc<RequestTracker> {
        Rc::new(RequestTracker {
            requests_read: Cell::new(0),
            requests_dispatched: Cell::new(0),
            has_partial_head: Cell::new(false),
            arrivals: RefCell::default(),
            waiting_since: Cell::new(Instant::now()),
            ambiguous_request: Cell::new(None),
        })
    }

    /// Records that the next request is dispatched to the service, and returns when its head
    /// arrived.
    pub fn record_dispatch(&self) -> Instant {
        self.requests_dispatched
            .set(self.requests_dispatched.get() + 1);
        self.arrivals
            .borrow_mut()
            .pop_front()
            .unwrap_or_else(Instant::now)
    }

    /// Whether any request has been dispatched.
    pub fn has_dispatched(&self) -> bool {
        self.requests_dispatched.get() > 0
    }

    /// Whether part of a head has been read.
    pub fn has_partial_head(&self) -> bool {
        self.has_partial_head.get()
    }

    /// Whether complete requests have been read that are not yet dispatched.
    pub fn has_undispatched_request(&self) -> bool {
        self.requests_read.get() > self.requests_dispatched.get()
    }

    /// Whether input has been read that is not yet dispatched.
    pub fn has_pending_input(&self) -> bool {
        self.has_partial_head() || self.has_undispatched_request()
    }

    /// Whether the framing of the last dispatched request is ambiguous.
    pub fn is_framing_ambiguous(&self) -> bool {
        self.ambiguous_request.get() == Some(self.requests_dispatched.get())
    }

    /// Since when the balancer has waited for the client.
    pub fn waiting_since(&self) -> Instant {
        self.waiting_since.get()
    }

    /// Starts waiting for the client now.
    pub fn restart_wait(&self) {
        self.waiting_since.set(Instant::now());
    }

    fn record_head_start(&self) {
        if self.has_dispatched() {
            self.restart_wait();
        }
    }

    fn record_head_end(&self, arrival: Instant) {
        self.requests_read.set(self.requests_read.get() + 1);
        self.arrivals.borrow_mut().push_back(arrival);
    }

    fn record_ambiguous_head(&self) {
        self.ambiguous_request.set(Some(self.requests_read.get()));
    }
}

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

/// A client's stream that reports what is read to a [`RequestTracker`].
pub struct TrackedStream {
    stream: SharedStream,
    tracker: Rc<RequestTracker>,
    /// The part of a head that has been read.
    head: Vec<u8>,
    position: Position,
}

impl TrackedStream {
    /// Tracks a new stream.
    pub fn new(stream: SharedStream, tracker: Rc<RequestTracker>) -> TrackedStream {
        TrackedStream {
            stream,
            tracker,
            head: Vec::new(),
            position: Position::Head,
        }
    }

    /// Tracks bytes that were read and had arrived at `arrival`.
    fn track(&mut self, mut bytes: &[u8], arrival: Instant) {
        while !bytes.is_empty() {
            match self.position {
                Position::Untracked => return,
                Position::Body { remaining } => bytes = self.track_body(bytes, remaining),
                Position::Head => bytes = self.track_head(bytes, arrival),
            }
        }
        self.tracker.has_partial_head.set(!self.head.is_empty());
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

    /// Collects the head's bytes and returns the rest.
    fn track_head<'a>(&mut self, mut bytes: &'a [u8], arrival: Instant) -> &'a [u8] {
        if self.head.is_empty() {
            bytes = skip_blank_lines(bytes);
            if !bytes.is_empty() {
                self.tracker.record_head_start();
            }
        }
        while let Some(end) = bytes.iter().position(|&byte| byte == b'\n') {
            let (line, rest) = bytes.split_at(end + 1);
            self.head.extend_from_slice(line);
            bytes = rest;
            if self.head.ends_with(b"\n\r\n") || self.head.ends_with(b"\n\n") {
                self.finish_head(arrival);
                return bytes;
            }
        }
        self.head.extend_from_slice(bytes);
        if self.head.len() > MAX_HEAD_BYTES {
            self.head = Vec::new();
            self.position = Position::Untracked;
        }
        &[]
    }

    fn finish_head(&mut self, arrival: Instant) {
        self.tracker.record_head_end(arrival);
        self.position = match parse_framing(&self.head) {
            Ok(framing) => framing.into(),
            Err(_) => {
                self.tracker.record_ambiguous_head();
                Position::Untracked
            }
        };
        self.head = Vec::new();
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
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let arrival = self.stream.take_arrival_time();
        self.track(&buf.filled()[filled_before..], arrival);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
