//! Counts the bytes and messages that a stand-in exchanges with its clients.
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a server has exchanged with its clients, over all connections.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes read and written.
    bytes: AtomicU64,
    /// Requests answered.
    messages: AtomicU64,
}

impl Traffic {
    /// Bytes so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Requests answered so far.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Counts a request as answered.
    pub fn record_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    fn record_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A connection that adds its bytes to a [`Traffic`].
pub struct CountingStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountingStream {
    /// Counts the bytes of this connection from now on.
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>) -> CountingStream {
        CountingStream { stream, traffic }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic
            .record_bytes(buffer.filled().len() - filled_before);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.record_bytes(written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
