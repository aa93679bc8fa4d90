//! Reads and writes on sockets, where a call may be short or interrupted.
//!
//! After a short read or write the runtime assumes that the socket is drained or full, and waits
//! for the next event. But the kernel may end a call early for other reasons, and then that event
//! never arrives. Here only `EAGAIN` means drained or full, and a call that a signal interrupted is
//! repeated.
use crate::net::tcp_stream::TcpStream;
use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

/// Most bytes of one read. hyper doubles its buffer of 8 KiB, and keeps it, once a read fills it.
const MAX_READ_BYTES: usize = 7 << 10;

/// Repeats a call while signals interrupt it.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads available bytes without waiting, up to [`MAX_READ_BYTES`]; fails with `WouldBlock` if there are none.
pub fn try_read(stream: &TcpStream, buf: &mut ReadBuf<'_>) -> io::Result<()> {
    let space = buf.remaining().min(MAX_READ_BYTES);
    let count =
        retry_interrupted(|| (&*SockRef::from(stream)).read(buf.initialize_unfilled_to(space)))?;
    buf.advance(count);
    Ok(())
}

/// Reads as soon as bytes are available.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_io(Interest::READABLE, || try_read(stream, buf)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Writes as soon as the socket accepts bytes.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    bufs: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        let write = || (&*SockRef::from(stream)).write_vectored(bufs);
        match stream.try_io(Interest::WRITABLE, write) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// A stream that handles short and interrupted reads and writes as this module describes.
pub struct Socket(TcpStream);

impl Socket {
    /// Wraps a stream.
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

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered in this process.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shutdown_write())
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
