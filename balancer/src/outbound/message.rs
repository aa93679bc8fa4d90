//! A request as it is forwarded to upstreams, and the final response to it.
use crate::body::body_error::BodyError;
use crate::body::request_body::{AttemptBody, RequestBody};
use crate::body::response_body::UpstreamResponseBody;
use crate::memory::budget::Reservation;
use crate::net::peer::Peer;
use crate::outbound::compact_headers::CompactHeaders;
use balancer_core::Millis;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode, Uri};
use std::borrow::Cow;
use std::cell::Cell;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Subtracted from a client's timeout, so that the final response arrives before the client stops
/// waiting.
const RESPONSE_DELIVERY_MARGIN: Duration = Duration::from_millis(5);

/// A request to forward to upstreams.
pub struct OutboundRequest {
    /// The client's id for the request.
    pub request_id: Option<HeaderValue>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: CompactHeaders,
    /// The body.
    pub body: RequestBody,
    /// How long the client waits after the end of its request.
    pub client_timeout: Duration,
    /// When the final response must be given. `None` while the body is incomplete.
    pub deadline: Cell<Option<Instant>>,
    /// Set when the request has its final response or its client has disconnected: it is not
    /// written to an upstream any more.
    pub ended: Cell<bool>,
    /// The client at the other end of the request's connection. `None` for requests that came
    /// without a socket.
    pub client: Option<Peer>,
}

impl OutboundRequest {
    /// The client's id for the request, for logs.
    pub fn label(&self) -> Cow<'_, str> {
        self.request_id
            .as_ref()
            .map_or("-".into(), |id| String::from_utf8_lossy(id.as_bytes()))
    }

    /// The request for one attempt, with the attempt's body.
    pub fn to_http(&self, body: AttemptBody) -> Result<Request<AttemptBody>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(body)?;
        *request.headers_mut() = self.headers.to_map();
        Ok(request)
    }

    /// How long the final response may take after the end of the request.
    pub fn response_timeout(&self) -> Duration {
        self.client_timeout.saturating_sub(RESPONSE_DELIVERY_MARGIN)
    }

    /// When the request expires. While its body is incomplete, progress of its client or its upstream
    /// postpones this.
    pub fn expires_at(&self) -> Instant {
        match (self.deadline.get(), &self.body) {
            (Some(deadline), _) => deadline,
            (None, RequestBody::Streamed(upload)) => upload.expires_at(self.response_timeout()),
            (None, RequestBody::Buffered(_)) => Instant::now() + self.response_timeout(),
        }
    }

    /// Whether the client has disconnected. Asks the kernel, because the runtime learns of it only
    /// when it next polls.
    pub fn client_disconnected(&self) -> bool {
        self.client.as_ref().is_some_and(Peer::has_disconnected)
    }
}

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// An upstream's response.
    Served {
        /// Its end-to-end headers.
        headers: CompactHeaders,
        /// Memory for sending the headers; `None` for a response that is not sent over a socket.
        memory: Option<Reservation>,
        /// Its body.
        body: UpstreamResponseBody,
    },
    /// The request was rejected and has not run: the client may retry.
    Rejected {
        /// Milliseconds after which the client should retry; zero for no advice.
        retry_after: Millis,
    },
    /// The upstream found the request invalid, with this status.
    ClientError(StatusCode),
    /// The request body could not be read from the client to its end.
    RequestBodyFailed(BodyError),
    /// The request failed, and may have run.
    Failed,
}

impl FinalResponse {
    /// Whether its body is relayed while it arrives.
    pub fn is_streamed(&self) -> bool {
        matches!(
            self,
            FinalResponse::Served {
                body: UpstreamResponseBody::Streamed(_),
                ..
            }
        )
    }
}

/// Why the driver did not accept a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// As many requests are in progress as are allowed.
    #[error("as many requests are in progress as are allowed")]
    AtCapacity,
    /// A request with the same id is in progress.
    #[error("a request with this Req-Id is already in progress")]
    DuplicateRequestId,
    /// A request with the same id may have run and must not run again. Its client has left.
    #[error("the request with this Req-Id may have run, and its client has left")]
    MayHaveRun,
}
