//! A socket that stays in sight while hyper reads and writes it, and what callers' bytes tell before hyper has
//! them: hyper drops `Content-Length` beside `Transfer-Encoding`, and does not tell of half a head.
use crate::net::socket_io;
use std::cell::{Cell, RefCell, RefMut};
use std::collections::VecDeque;
use std::error::Error;
use std::fmt;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Largest head of a message, both ways; hyper turns away more.
pub const HEAD_MOST: usize = 16 << 10;

/// How far a message has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// Some of it is still to be handed over.
    Partly,
    /// All of it has been handed over to be written.
    HandedOver,
    /// The socket has its last byte.
    Whole,
}

/// How much of one byte the system holds unread, at once.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    socket_io::uninterrupted(|| socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

/// A stream with more than one holder; closed when the last one drops it.
#[derive(Clone)]
pub struct ClientStream {
    stream: Rc<RefCell<TcpStream>>,
    /// How far the newest message has been written, and the count of those written whole.
    written: Rc<Cell<Written>>,
    whole: Rc<Cell<u64>>,
    /// Whether the runtime has been made to forget that there are bytes to read: the reader asks the system first.
    forgotten: Rc<Cell<bool>>,
    /// Since when bytes lie unread that were seen, if there are any.
    unread: Rc<Cell<Option<Instant>>>,
    /// Asked before the first byte of a message is written.
    permit: Rc<RefCell<Option<WritePermit>>>,
}

/// Whether the next message may be written; asked once, at its first byte.
pub type WritePermit = Box<dyn FnOnce() -> bool>;

/// The error of a write that was not permitted.
#[derive(Debug)]
struct WriteDenied;

impl fmt::Display for WriteDenied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the write was denied")
    }
}

impl Error for WriteDenied {}

/// The other side of a shared stream, for as long as the stream is open here.
pub struct Peer(Weak<RefCell<TcpStream>>);

impl Peer {
    /// Whether it has left, or the connection is closed here.
    pub fn left(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|stream| peer_left(&stream.borrow()))
    }
}

/// Whether the peer has closed, reset or half-closed the connection, also behind bytes that nobody has read.
fn peer_left(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(0) => true,
        // The runtime is told of the end, whatever lies before it.
        Ok(_) => {
            let ready = pin!(stream.ready(Interest::READABLE));
            let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
            matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
        }
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

impl ClientStream {
    /// Shares a stream, which counts the messages in `whole` that are written whole.
    pub fn new(stream: TcpStream, whole: Rc<Cell<u64>>) -> ClientStream {
        let written = Rc::new(Cell::new(Written::Partly));
        let (forgotten, unread, permit) = Default::default();
        ClientStream {
            stream: Rc::new(RefCell::new(stream)),
            written,
            whole,
            forgotten,
            unread,
            permit,
        }
    }

    /// How far the newest message has been written; whoever hands it over keeps this up to then.
    pub fn written(&self) -> Rc<Cell<Written>> {
        self.written.clone()
    }

    /// Whether the socket is open and holds nothing unread. Asks the system: the runtime learns of bytes and of
    /// ends only when it next waits.
    pub fn quiet(&self) -> bool {
        peek(&self.stream.borrow()).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed, reset or half-closed the connection, also behind bytes that nobody has read.
    pub fn left(&self) -> bool {
        peer_left(&self.stream.borrow())
    }

    /// The other side, to be asked about without keeping the connection open.
    pub fn peer(&self) -> Peer {
        Peer(Rc::downgrade(&self.stream))
    }

    /// Has the next message written only if `permit` says so at its first byte.
    pub fn set_permit(&self, permit: WritePermit) {
        *self.permit.borrow_mut() = Some(permit);
    }

    fn ensure_permitted(&self) -> io::Result<()> {
        let permit = self.permit.borrow_mut().take();
        if permit.is_none_or(|permit| permit()) {
            return Ok(());
        }
        Err(io::Error::other(WriteDenied))
    }

    /// Acknowledges at once what has been read: some peers hold a further small write back until then.
    pub fn acknowledge(&self) {
        // Where it fails, what is held back comes a little later.
        let _ = socket2::SockRef::from(&*self.stream.borrow()).set_tcp_quickack(true);
    }

    /// Notes bytes that lie unread, if there are any: they have been there since `since` at the earliest.
    pub fn note_unread(&self, since: Instant) {
        if self.unread.get().is_none() && peek(&self.stream.borrow()).is_ok_and(|count| count > 0) {
            self.unread.set(Some(since));
        }
    }

    /// When what is read now came: when it was first seen to lie unread, or just now.
    fn arrival(&self) -> Instant {
        self.unread.take().unwrap_or_else(Instant::now)
    }

    /// Returns once the peer has left.
    pub async fn leaves(&self) {
        while !self.left() {
            self.note_unread(Instant::now());
            // Bytes that lie unread would be all the news there is: the end behind them would not be seen at once. The
            // runtime forgets them, but never an end, and waits for what comes next.
            self.forgotten.set(true);
            let forget = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
            let _ = self.stream.borrow().try_io(Interest::READABLE, forget);
            if poll_fn(|cx| self.stream.borrow().poll_read_ready(cx))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn stream(&self) -> RefMut<'_, TcpStream> {
        self.stream.borrow_mut()
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        if self.forgotten.get() {
            match socket_io::read_now(&stream, buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.forgotten.set(false),
                read => return Poll::Ready(read),
            }
        }
        socket_io::poll_read(&stream, cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.ensure_permitted()?;
        socket_io::poll_write(&self.stream.borrow(), cx, &[io::IoSlice::new(buf)])
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut *self.stream()).poll_flush(cx);
        // hyper flushes the socket only once it has written all that it was handed.
        if matches!(flushed, Poll::Ready(Ok(()))) && self.written.get() == Written::HandedOver {
            self.written.set(Written::Whole);
            self.whole.set(self.whole.get().wrapping_add(1));
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.ensure_permitted()?;
        socket_io::poll_write(&self.stream.borrow(), cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}

/// What a caller's bytes have told.
pub struct RequestTracker {
    /// Whole heads read.
    pub heads: Cell<u64>,
    /// Of these, those that the service has been given.
    pub given: Cell<u64>,
    /// Whether part of a head has been read.
    pub midway: Cell<bool>,
    /// When the heads came that the service has not been given yet.
    arrivals: RefCell<VecDeque<Instant>>,
    /// Since when the caller is waited for: its connection, the first byte of a head, or the last answer.
    pub since: Cell<Instant>,
    /// The head, by number from 1, whose body has no one end: it states its length in two ways.
    pub ambiguous: Cell<Option<u64>>,
}

impl RequestTracker {
    /// Begins with the connection.
    pub fn new() -> Rc<RequestTracker> {
        Rc::new(RequestTracker {
            heads: Cell::new(0),
            given: Cell::new(0),
            midway: Cell::new(false),
            arrivals: RefCell::default(),
            since: Cell::new(Instant::now()),
            ambiguous: Cell::new(None),
        })
    }

    /// The service is given the next head; since when that has been here.
    pub fn give(&self) -> Instant {
        self.given.set(self.given.get() + 1);
        self.arrivals
            .borrow_mut()
            .pop_front()
            .unwrap_or_else(Instant::now)
    }

    /// Whether more has been read than the service has been given.
    pub fn more(&self) -> bool {
        self.midway.get() || self.heads.get() > self.given.get()
    }
}

enum At {
    /// Within a head, or before one.
    Head,
    /// Within a body with this much to come.
    Body(u64),
    /// Behind a head after which the connection closes, or that hyper refuses.
    Lost,
}

/// A caller's stream, watched while it is read.
pub struct TrackedStream {
    stream: ClientStream,
    watch: Rc<RequestTracker>,
    head: Vec<u8>,
    at: At,
}

impl TrackedStream {
    /// Watches a new stream.
    pub fn new(stream: ClientStream, watch: Rc<RequestTracker>) -> TrackedStream {
        TrackedStream {
            stream,
            watch,
            head: Vec::new(),
            at: At::Head,
        }
    }

    /// These bytes have been read, which came at `arrival`.
    fn saw(&mut self, mut bytes: &[u8], arrival: Instant) {
        while !bytes.is_empty() {
            match self.at {
                At::Lost => return,
                At::Body(left) => {
                    let n = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[n..];
                    self.at = if left > n as u64 {
                        At::Body(left - n as u64)
                    } else {
                        At::Head
                    };
                }
                At::Head => bytes = self.saw_head(bytes, arrival),
            }
        }
        self.watch.midway.set(!self.head.is_empty());
    }

    /// Takes what belongs to the head and returns what is behind it.
    fn saw_head<'a>(&mut self, mut bytes: &'a [u8], arrival: Instant) -> &'a [u8] {
        if self.head.is_empty() {
            // Empty lines before a request are allowed.
            let blank = bytes
                .iter()
                .take_while(|b| matches!(b, b'\r' | b'\n'))
                .count();
            bytes = &bytes[blank..];
            if !bytes.is_empty() && self.watch.given.get() > 0 {
                self.watch.since.set(Instant::now());
            }
        }
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (line, rest) = bytes.split_at(end + 1);
            self.head.extend_from_slice(line);
            bytes = rest;
            if self.head.ends_with(b"\n\r\n") || self.head.ends_with(b"\n\n") {
                self.watch.heads.set(self.watch.heads.get() + 1);
                self.watch.arrivals.borrow_mut().push_back(arrival);
                self.at = framing(&self.head).unwrap_or_else(|Ambiguous| {
                    self.watch.ambiguous.set(Some(self.watch.heads.get()));
                    At::Lost
                });
                self.head = Vec::new();
                return bytes;
            }
        }
        self.head.extend_from_slice(bytes);
        if self.head.len() > HEAD_MOST {
            (self.head, self.at) = (Vec::new(), At::Lost);
        }
        &[]
    }
}

struct Ambiguous;

/// Where the bytes behind a head belong.
fn framing(head: &[u8]) -> Result<At, Ambiguous> {
    let (mut lengths, mut codings) = (0, 0);
    let mut length = Some(0);
    for line in head.split(|&b| b == b'\n') {
        let mut parts = line.splitn(2, |&b| b == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else {
            continue;
        };
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            lengths += 1;
            let value = std::str::from_utf8(value.trim_ascii()).ok();
            length = value
                .filter(|v| v.bytes().all(|b| b.is_ascii_digit()))
                .and_then(|v| v.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            codings += 1;
        }
    }
    match (lengths, codings) {
        (0 | 1, 0) => Ok(length.map_or(At::Lost, At::Body)),
        (0, 1) => Ok(At::Lost),
        _ => Err(Ambiguous),
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let arrival = self.stream.arrival();
        self.saw(&buf.filled()[before..], arrival);
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

#[cfg(test)]
mod tests;
