//! TCP connections that are registered with the event loop. Unlike a connection of the runtime's
//! own type, one whose registration fails for a time is not lost.
use crate::net::watched_descriptor::{RegistrationError, WatchedDescriptor};
use crate::time::sleep;
use socket2::{Domain, Socket, Type};
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::Interest;

/// Pause before a failed registration is retried.
pub const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(10);
/// `errno` value of Linux for a connection that is being established.
const EINPROGRESS: i32 = 115;

/// A TCP connection that is registered with the event loop.
pub struct TcpStream(WatchedDescriptor<std::net::TcpStream>);

impl TcpStream {
    /// Connects to an address. The caller limits the time.
    pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM.nonblocking(),
            None,
        )?;
        match socket.connect(&address.into()) {
            Err(error) if error.raw_os_error() != Some(EINPROGRESS) => return Err(error),
            Ok(()) | Err(_) => {}
        }
        let stream = TcpStream::register_with_retries(socket.into()).await;
        poll_fn(|cx| stream.poll_write_ready(cx)).await?;
        match stream.0.get().take_error()? {
            Some(error) => Err(error),
            None => Ok(stream),
        }
    }

    /// Registers a non-blocking connection with the event loop.
    pub fn register(
        stream: std::net::TcpStream,
    ) -> Result<TcpStream, RegistrationError<std::net::TcpStream>> {
        WatchedDescriptor::register(stream, Interest::READABLE | Interest::WRITABLE).map(TcpStream)
    }

    /// Registers a connection with the event loop, and retries until that succeeds. The caller
    /// limits the time.
    async fn register_with_retries(mut stream: std::net::TcpStream) -> TcpStream {
        loop {
            match TcpStream::register(stream) {
                Ok(registered) => return registered,
                Err(failed) => stream = failed.owner,
            }
            sleep(REGISTRATION_RETRY_DELAY).await;
        }
    }

    /// Polls until bytes or the end of the stream may be available.
    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read_ready(cx)
    }

    /// Polls until bytes may be written.
    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_write_ready(cx)
    }

    /// Calls `call` if the socket may be ready for it. If that fails with `WouldBlock`, the socket
    /// counts as not ready until the next event.
    pub fn try_io<R>(
        &self,
        interest: Interest,
        mut call: impl FnMut() -> io::Result<R>,
    ) -> io::Result<R> {
        self.0.try_io(interest, |_| call())
    }

    /// Whether the event loop has learned that the stream has ended for reading. Bytes before the
    /// end may still be unread.
    pub fn is_read_closed(&self) -> bool {
        self.0.is_read_closed()
    }

    /// Sets whether small writes are sent at once (`TCP_NODELAY`).
    pub fn set_nodelay(&self, nodelay: bool) -> io::Result<()> {
        self.0.get().set_nodelay(nodelay)
    }

    /// Shuts down the writing side of the connection.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.0.get().shutdown(Shutdown::Write)
    }
}

impl AsFd for TcpStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.get().as_fd()
    }
}
