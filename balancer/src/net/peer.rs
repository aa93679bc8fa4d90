//! The other side of a connection: whether it has disconnected, and what it has sent that is unread.
use crate::net::input_activity::InputActivity;
use crate::net::socket_io;
use crate::net::tcp_stream::TcpStream;
use std::io;
use std::mem::MaybeUninit;
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// Whether a socket has unread bytes, or its connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadState {
    /// The connection is open, and no bytes are unread.
    Nothing,
    /// Bytes are unread.
    Bytes,
    /// The connection has ended.
    Closed,
}

/// The peer of a shared stream. Does not keep the connection open.
pub struct Peer {
    stream: Weak<TcpStream>,
    input_activity: Rc<InputActivity>,
}

impl Peer {
    /// The peer of this stream, whose reader records its reads in `input_activity`.
    pub fn new(stream: &Rc<TcpStream>, input_activity: Rc<InputActivity>) -> Peer {
        Peer {
            stream: Rc::downgrade(stream),
            input_activity,
        }
    }

    /// Whether the peer has disconnected, or the connection is closed here.
    pub fn has_disconnected(&self) -> bool {
        self.stream
            .upgrade()
            .is_none_or(|stream| peer_disconnected(&stream))
    }

    /// How many bytes of the peer's are unread in the socket; 0 if the system does not say.
    pub fn unread_bytes(&self) -> u64 {
        self.stream
            .upgrade()
            .and_then(|stream| rustix::io::ioctl_fionread(&*stream).ok())
            .unwrap_or(0)
    }

    /// Whether the connection's reader waits for the peer: it has read all that has arrived.
    pub fn is_awaited(&self) -> bool {
        self.input_activity.is_awaiting()
            && self
                .stream
                .upgrade()
                .is_some_and(|stream| unread_state(&stream) == UnreadState::Nothing)
    }

    /// When bytes of the peer's were last read that the reader had waited for. Bytes that it had not
    /// waited for may have been unread for any time.
    pub fn awaited_bytes_read_at(&self) -> Option<Instant> {
        self.input_activity.awaited_bytes_read_at()
    }
}

/// Asks the kernel whether there is an unread byte, without reading it. Returns 0 at the end of the
/// stream.
pub fn peek_byte(stream: &TcpStream) -> io::Result<usize> {
    socket_io::retry_interrupted(|| {
        socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
    })
}

/// Whether the socket has unread bytes or has ended.
pub fn unread_state(stream: &TcpStream) -> UnreadState {
    match peek_byte(stream) {
        Ok(0) => UnreadState::Closed,
        Ok(_) => UnreadState::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadState::Nothing,
        Err(_) => UnreadState::Closed,
    }
}

/// Whether the peer has closed, reset or half-closed the connection, even if bytes before the end
/// are unread.
pub fn peer_disconnected(stream: &TcpStream) -> bool {
    match peek_byte(stream) {
        Ok(0) => true,
        // The runtime learns of the end of the stream even if bytes before it are unread.
        Ok(_) => stream.is_read_closed(),
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
