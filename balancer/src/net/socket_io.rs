//! Reads and writes on sockets that may be short or interrupted.
//!
//! The runtime takes a read or write that moved less than it was given for a sign that the socket is drained or full, and
//! waits for the next event. But the system may end a call early for other reasons, and then that event never comes. Here
//! only `EAGAIN` says so, and a call that a signal interrupted is made again.
use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Makes a call again for as long as it is interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads what is there, at once; fails with `WouldBlock` if there is nothing.
pub fn read_now(stream: &TcpStream, buf: &mut ReadBuf<'_>) -> io::Result<()> {
    let count = uninterrupted(|| (&*SockRef::from(stream)).read(buf.initialize_unfilled()))?;
    buf.advance(count);
    Ok(())
}

/// Reads once there is something to read.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_io(Interest::READABLE, || read_now(stream, buf)) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Writes once there is room.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    bufs: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        let write = || uninterrupted(|| (&*SockRef::from(stream)).write_vectored(bufs));
        match stream.try_io(Interest::WRITABLE, write) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}

/// A stream whose reads and writes may be short or interrupted.
pub struct Socket(TcpStream);

impl Socket {
    /// Takes a stream over.
    pub fn new(stream: TcpStream) -> Socket {
        Socket(stream)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, &[IoSlice::new(buf)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
