//! Response bodies: complete ones, and large ones that are relayed from an upstream to a client.
use crate::memory::budget::Reservation;
use crate::telemetry::metrics::{InFlightRequest, RequestOutcome};
use crate::time::timeout_at;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Largest number of chunks of a response that are queued between its upstream and its client.
const MAX_QUEUED_CHUNKS: usize = 2;

/// The large body of a response, as it arrives from the upstream.
pub struct UpstreamBodyStream {
    chunks: mpsc::Receiver<Bytes>,
    /// Bytes still to come, if the upstream stated a length.
    remaining: Option<u64>,
    state: Rc<RelayState>,
}

/// Whether the client of a response takes it.
pub trait ClientReception {
    /// Whether the client's socket accepts no bytes now, although there are some to write.
    fn is_blocked(&self) -> bool;
}

/// What the two ends of a relayed body share.
#[derive(Default)]
struct RelayState {
    /// Whether the upstream has sent all of the body.
    is_complete: Cell<bool>,
    /// The client's end; `None` until the client's connection has taken the response.
    reception: RefCell<Option<Rc<dyn ClientReception>>>,
}

/// Passes the chunks of a response on to its [`UpstreamBodyStream`]. The response is truncated if
/// this is dropped before [`UpstreamBodySender::finish`].
pub struct UpstreamBodySender {
    chunks: mpsc::Sender<Bytes>,
    state: Rc<RelayState>,
}

/// The client has disconnected, or has read nothing for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the client has disconnected or does not read the response")]
pub struct ClientNotReceiving;

impl UpstreamBodySender {
    /// Passes a chunk on once there is space in the queue. Fails if there is none until `limit`.
    pub async fn send(&self, chunk: Bytes, limit: Instant) -> Result<(), ClientNotReceiving> {
        match timeout_at(limit, self.chunks.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(ClientNotReceiving),
        }
    }

    /// Whether the client's socket has accepted all that the client's connection has taken.
    pub fn is_client_receiving(&self) -> bool {
        let reception = self.state.reception.borrow();
        reception
            .as_ref()
            .is_some_and(|reception| !reception.is_blocked())
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.state.is_complete.set(true);
    }
}

/// The two ends of a body that is relayed. `length` is its size in bytes, if the upstream stated
/// one.
pub fn upstream_body_stream(length: Option<u64>) -> (UpstreamBodySender, UpstreamBodyStream) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let state = Rc::new(RelayState::default());
    let sender = UpstreamBodySender {
        chunks: sender,
        state: state.clone(),
    };
    let stream = UpstreamBodyStream {
        chunks: receiver,
        remaining: length,
        state,
    };
    (sender, stream)
}

impl UpstreamBodyStream {
    /// Sets the client's end.
    fn set_reception(&self, reception: Rc<dyn ClientReception>) {
        *self.state.reception.borrow_mut() = Some(reception);
    }

    /// Polls for the next chunk.
    pub fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
        let Some(chunk) = ready!(self.chunks.poll_recv(cx)) else {
            return Poll::Ready(if self.state.is_complete.get() {
                None
            } else {
                Some(Err(TruncatedResponse))
            });
        };
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(chunk.len() as u64));
        Poll::Ready(Some(Ok(chunk)))
    }

    fn is_exhausted(&self) -> bool {
        self.remaining == Some(0)
    }
}

/// The body of an upstream's response.
pub enum UpstreamResponseBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still arriving.
    Streamed(UpstreamBodyStream),
}

impl fmt::Debug for UpstreamResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpstreamResponseBody::Buffered(body) => write!(f, "{} bytes", body.len()),
            UpstreamResponseBody::Streamed(stream) => {
                write!(f, "streamed body, remaining bytes: {:?}", stream.remaining)
            }
        }
    }
}

/// The body of the final response to a client. A guard of type `G` may be held until hyper has taken
/// all of the body.
pub struct ClientResponseBody<G> {
    content: ClientBodyContent,
    guard: Option<G>,
    /// Memory of the response's head, until hyper has encoded it.
    head_memory: Option<Reservation>,
}

enum ClientBodyContent {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is still arriving. The request ends when the body ends.
    Streamed(StreamedClientBody),
}

impl<G> ClientResponseBody<G> {
    /// A complete body.
    pub fn buffered(body: Bytes) -> ClientResponseBody<G> {
        ClientResponseBody {
            content: ClientBodyContent::Buffered(Full::new(body)),
            guard: None,
            head_memory: None,
        }
    }

    /// A body that is relayed to the client from `stream`. Records the outcome of `request`.
    pub fn streamed(stream: UpstreamBodyStream, request: InFlightRequest) -> ClientResponseBody<G> {
        ClientResponseBody {
            content: ClientBodyContent::Streamed(StreamedClientBody { stream, request }),
            guard: None,
            head_memory: None,
        }
    }

    /// Sets the client's end of a body that is relayed.
    pub fn set_reception(&self, reception: Rc<dyn ClientReception>) {
        if let ClientBodyContent::Streamed(response) = &self.content {
            response.stream.set_reception(reception);
        }
    }

    /// Holds the memory for the response's head until hyper has encoded it, which it does before it
    /// polls the body.
    pub fn hold_memory_for_head(&mut self, memory: Option<Reservation>) {
        self.head_memory = memory;
    }

    /// Holds `guard` until the body is dropped.
    pub fn hold(&mut self, guard: G) {
        self.guard = Some(guard);
    }
}

/// A response body that is relayed to the client, with the request that ends with it.
struct StreamedClientBody {
    stream: UpstreamBodyStream,
    request: InFlightRequest,
}

impl StreamedClientBody {
    fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
        let chunk = ready!(self.stream.poll_chunk(cx));
        match &chunk {
            Some(Err(TruncatedResponse)) => self.request.set_outcome(RequestOutcome::Failed),
            Some(Ok(_)) if !self.stream.is_exhausted() => {}
            Some(Ok(_)) | None => self.request.set_outcome(RequestOutcome::Served),
        }
        Poll::Ready(chunk)
    }
}

/// An upstream's response ended early. The client's connection is closed, so that the client
/// notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the upstream's response ended early")]
pub struct TruncatedResponse;

impl<G: Unpin> Body for ClientResponseBody<G> {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        let body = self.get_mut();
        body.head_memory = None;
        match &mut body.content {
            ClientBodyContent::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            ClientBodyContent::Streamed(response) => {
                let chunk = ready!(response.poll_chunk(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            ClientBodyContent::Buffered(body) => body.is_end_stream(),
            ClientBodyContent::Streamed(response) => response.stream.is_exhausted(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            ClientBodyContent::Buffered(body) => body.size_hint(),
            ClientBodyContent::Streamed(response) => response
                .stream
                .remaining
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
