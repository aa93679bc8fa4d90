//! Listening sockets, and the registration of the connections that they accept.
use crate::net::tcp_stream::{TcpStream, REGISTRATION_RETRY_DELAY};
use crate::net::watched_descriptor::WatchedDescriptor;
use crate::time::sleep;
use socket2::{Domain, Socket, Type};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::task::{Context, Poll};

/// Largest number of connections that the kernel queues before they are accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// A listening socket. Connections that it accepts are not yet registered with the event loop, so
/// that one whose registration fails is not lost.
pub struct Listener(WatchedDescriptor<TcpListener>);

impl Listener {
    /// Listens on an address. With `shares_address`, another process of this balancer may listen on
    /// it too.
    pub fn bind(address: SocketAddr, shares_address: bool) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_address(true)?;
        if shares_address {
            socket.set_reuse_port(true)?;
        }
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(Listener(WatchedDescriptor::register_for_reading(
            socket.into(),
        )?))
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.get().local_addr()
    }

    /// Polls for the next connection.
    pub fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<std::net::TcpStream>> {
        self.0.poll_read(cx, |listener| {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            Ok(stream)
        })
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> io::Result<std::net::TcpStream> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }

    /// Accepts a connection that is queued now; fails with `WouldBlock` if there is none. Asks the
    /// kernel, because the event loop learns of new connections only when it next polls.
    pub fn accept_queued(&self) -> io::Result<std::net::TcpStream> {
        let (stream, _) = self.0.get().accept()?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    }
}

/// Registers an accepted connection with the event loop, and retries until that succeeds. Returns
/// `None` if the client disconnects before it succeeds.
pub async fn register_accepted(mut stream: std::net::TcpStream) -> Option<TcpStream> {
    loop {
        match TcpStream::register(stream) {
            Ok(registered) => return Some(registered),
            Err(failed) if has_ended_without_unread_bytes(&failed.owner) => return None,
            Err(failed) => stream = failed.owner,
        }
        sleep(REGISTRATION_RETRY_DELAY).await;
    }
}

/// Whether the client has closed, reset or half-closed the connection, and no bytes of it are
/// unread.
fn has_ended_without_unread_bytes(stream: &std::net::TcpStream) -> bool {
    use io::ErrorKind::{Interrupted, WouldBlock};
    match stream.peek(&mut [0]) {
        Ok(unread) => unread == 0,
        Err(error) => !matches!(error.kind(), Interrupted | WouldBlock),
    }
}

#[cfg(test)]
mod tests;
