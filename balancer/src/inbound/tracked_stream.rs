//! Tracks what is read from and written to a client before hyper parses it, and after hyper has
//! encoded it.
use crate::inbound::client_connection::ClientConnection;
use crate::inbound::request_framing::{parse_framing, BodyFraming};
use crate::inbound::request_tracker::RequestTracker;
use crate::net::shared_stream::{SharedStream, MAX_HEAD_BYTES};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

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
    /// The part of a head that has been read.
    head: Vec<u8>,
    position: Position,
}

impl TrackedStream {
    /// Tracks the stream of a new connection.
    pub fn new(connection: &Rc<ClientConnection>) -> TrackedStream {
        TrackedStream {
            connection: connection.clone(),
            stream: connection.stream().clone(),
            head: Vec::new(),
            position: Position::Head,
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

    /// Tracks bytes that were read and had arrived at `arrival`.
    fn track(&mut self, mut bytes: &[u8], arrival: Instant) {
        while !bytes.is_empty() {
            match self.position {
                Position::Untracked => return,
                Position::Body { remaining } => bytes = self.track_body(bytes, remaining),
                Position::Head => bytes = self.track_head(bytes, arrival),
            }
        }
        self.tracker().set_partial_head(!self.head.is_empty());
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
                self.tracker().record_head_start();
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
        self.tracker().record_head_end(arrival);
        self.position = match parse_framing(&self.head) {
            Ok(framing) => framing.into(),
            Err(_) => {
                self.tracker().record_ambiguous_head();
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
