//! A TCP stream that can be inspected while hyper reads and writes it: how far a message is
//! written, whether the peer has disconnected, and since when bytes are unread.
use crate::net::input_activity::InputActivity;
use crate::net::peer::{peek_byte, peer_disconnected, unread_state, Peer, UnreadState};
use crate::net::received_bytes::{ReceivedBytes, MAX_RECORDED_BYTES};
use crate::net::socket_io;
use crate::net::tcp_stream::TcpStream;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::Instant;

/// Largest head of a request or response, in bytes; hyper rejects a larger one.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// Most bytes that wait in a socket to be sent, where that is limited: a peer that reads at 64 kB/s
/// takes them in 2 s.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// How far a message has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// Part of the message has not been handed to the stream yet.
    Partial,
    /// All of the message has been handed to the stream.
    HandedOver,
    /// The socket has accepted the last byte.
    Complete,
}

/// Decides whether the next message may be written. Called once, before the first write of that
/// message is tried.
pub type WriteCheck = Box<dyn FnOnce() -> bool>;

/// The error of a write that its [`WriteCheck`] denied.
#[derive(Debug, Error)]
#[error("the write was denied")]
struct WriteDenied;

/// The state of writing to a stream.
#[derive(Default)]
pub struct Output {
    /// The check for the next message.
    check: RefCell<Option<WriteCheck>>,
    /// Whether the socket did not accept the bytes of the last write.
    is_blocked: Cell<bool>,
}

impl Output {
    /// Whether the socket accepts no bytes now, although there are some to write.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    fn run_check(&self) -> io::Result<()> {
        let check = self.check.borrow_mut().take();
        if check.is_none_or(|check| check()) {
            return Ok(());
        }
        Err(io::Error::other(WriteDenied))
    }
}

/// A stream with several owners; closed when the last one drops it.
#[derive(Clone)]
pub struct SharedStream {
    stream: Rc<TcpStream>,
    write_progress: Rc<Cell<WriteProgress>>,
    /// The number of messages that have been written completely.
    messages_written: Rc<Cell<u64>>,
    /// Whether the runtime's record that this stream is readable was cleared although bytes may be
    /// unread. The next read then asks the kernel before it waits for the runtime.
    readiness_cleared: Rc<Cell<bool>>,
    output: Rc<Output>,
    input_activity: Rc<InputActivity>,
    /// The bytes of the newest response, on a connection to an upstream only.
    received: Option<Rc<RefCell<ReceivedBytes>>>,
}

impl SharedStream {
    /// Wraps a stream. `messages_written` is incremented for each message that is written
    /// completely.
    pub fn new(stream: TcpStream, messages_written: Rc<Cell<u64>>) -> SharedStream {
        SharedStream {
            stream: Rc::new(stream),
            write_progress: Rc::new(Cell::new(WriteProgress::Partial)),
            messages_written,
            readiness_cleared: Rc::default(),
            output: Rc::default(),
            input_activity: Rc::default(),
            received: None,
        }
    }

    /// Wraps a stream to an upstream, and records the bytes of its newest response.
    pub fn new_to_upstream(stream: TcpStream, messages_written: Rc<Cell<u64>>) -> SharedStream {
        SharedStream {
            received: Some(Rc::default()),
            ..SharedStream::new(stream, messages_written)
        }
    }

    /// Begins to record the response to a new request.
    pub fn begin_request(&self) {
        if let Some(received) = &self.received {
            received.borrow_mut().begin_request();
        }
    }

    /// Records that the response to the newest request is complete.
    pub fn complete_response(&self) {
        if let Some(received) = &self.received {
            received.borrow_mut().complete_response();
        }
    }

    /// Whether the bytes after the newest response are a duplicate of it. Reads the unread bytes;
    /// the connection cannot be used after that.
    pub fn is_response_repeated(&self) -> bool {
        let mut buffer = [0; MAX_RECORDED_BYTES];
        let mut unread = ReadBuf::new(&mut buffer);
        // If the read fails, only bytes that were read before count.
        let _ = socket_io::try_read(&self.stream, &mut unread);
        self.record_received(unread.filled());
        self.received
            .as_ref()
            .is_some_and(|received| received.borrow().is_response_repeated())
    }

    fn record_received(&self, bytes: &[u8]) {
        if let Some(received) = &self.received {
            received.borrow_mut().append(bytes);
        }
    }

    /// How far the newest message has been written. The writer of the message sets this to
    /// [`WriteProgress::HandedOver`]; the flush after that sets [`WriteProgress::Complete`].
    pub fn write_progress(&self) -> Rc<Cell<WriteProgress>> {
        self.write_progress.clone()
    }

    /// The state of writing to the stream.
    pub fn output(&self) -> &Rc<Output> {
        &self.output
    }

    /// Writes as soon as the socket accepts bytes, if the message may be written.
    fn poll_write_checked(
        &self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.output.run_check()?;
        let result = socket_io::poll_write(&self.stream, cx, bufs);
        self.output.is_blocked.set(result.is_pending());
        result
    }

    /// Whether the socket has unread bytes or has ended. Asks the kernel, because the runtime
    /// learns of either only when it next polls.
    pub fn unread_state(&self) -> UnreadState {
        unread_state(&self.stream)
    }

    /// Whether the socket is open and has no unread bytes.
    pub fn is_open_without_unread_bytes(&self) -> bool {
        self.unread_state() == UnreadState::Nothing
    }

    /// Whether the peer has closed, reset or half-closed the connection, even if bytes before the
    /// end are unread.
    pub fn peer_disconnected(&self) -> bool {
        peer_disconnected(&self.stream)
    }

    /// The peer.
    pub fn peer(&self) -> Peer {
        Peer::new(&self.stream, self.input_activity.clone())
    }

    /// Sets the check for the next message: the message is written only if `check` returns true
    /// when its first write is tried.
    pub fn set_write_check(&self, check: WriteCheck) {
        *self.output.check.borrow_mut() = Some(check);
    }

    /// Limits how many bytes wait in the socket to be sent, so that writes follow a peer that reads
    /// slowly. By default the socket takes no byte until a third of several megabytes has been sent.
    pub fn limit_unsent_bytes(&self) {
        // Without the limit, such a peer is only taken for a stalled one earlier.
        let _ = socket2::SockRef::from(&*self.stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    }

    /// Acknowledges received bytes at once: some peers delay a further small write until the
    /// acknowledgement.
    pub fn acknowledge_received_data(&self) {
        // A failure here only delays such a write.
        let _ = socket2::SockRef::from(&*self.stream).set_tcp_quickack(true);
    }

    /// Records `since` as the arrival time of unread bytes, if there are any and no time is
    /// recorded yet: they arrived at `since` at the earliest.
    pub fn record_unread(&self, since: Instant) {
        if self.input_activity.has_known_unread() {
            return;
        }
        if peek_byte(&self.stream).is_ok_and(|count| count > 0) {
            self.input_activity.record_unread(since);
        }
    }

    /// The arrival time of the bytes that were just read: the recorded time, which is cleared, or
    /// now.
    pub fn take_arrival_time(&self) -> Instant {
        self.input_activity
            .take_unread_since()
            .unwrap_or_else(Instant::now)
    }

    /// Waits until the peer has disconnected.
    pub async fn wait_for_disconnect(&self) {
        while !self.peer_disconnected() {
            self.record_unread(Instant::now());
            // With unread bytes the stream stays readable, and the end of the stream after them
            // would not wake this task. Clearing the readiness makes the runtime wait for the next
            // event; it never clears the end of the stream.
            self.readiness_cleared.set(true);
            let clear = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::READABLE, clear);
            let readable = poll_fn(|cx| self.stream.poll_read_ready(cx)).await;
            if readable.is_err() {
                return;
            }
        }
    }

    fn poll_read_unrecorded(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.stream;
        if self.readiness_cleared.get() {
            match socket_io::try_read(stream, buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.readiness_cleared.set(false);
                }
                result => return Poll::Ready(result),
            }
        }
        socket_io::poll_read(stream, cx, buf)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = self.poll_read_unrecorded(cx, buf);
        let received = &buf.filled()[filled..];
        match &result {
            Poll::Pending => self.input_activity.record_empty(),
            Poll::Ready(_) if !received.is_empty() => self.input_activity.record_bytes(),
            Poll::Ready(_) => {}
        }
        self.record_received(received);
        result
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_checked(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered in this process. hyper flushes the stream only after it has written
        // all of the message.
        if self.write_progress.get() == WriteProgress::HandedOver {
            self.write_progress.set(WriteProgress::Complete);
            self.messages_written
                .set(self.messages_written.get().wrapping_add(1));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_checked(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
