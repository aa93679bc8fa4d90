//! What the parts of a balancer hand one another about a request: the request as it goes to upstreams, and its answer.
use crate::body::payload::{Fault, RequestBody, ResponseContent};
use crate::inbound::client_stream::Peer;
use balancer_core::Millis;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use std::borrow::Cow;
use std::cell::Cell;

/// A request as it goes on to upstreams.
pub struct OutboundRequest {
    /// The caller's id for it.
    pub name: Option<HeaderValue>,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// Set when the request has ended: what has not been written for it by then must not be.
    pub over: Cell<bool>,
    /// The client's side of its connection, where there is one.
    pub client: Option<Peer>,
}

impl OutboundRequest {
    /// The client's id for it, for logs.
    pub fn label(&self) -> Cow<'_, str> {
        self.name
            .as_ref()
            .map_or("-".into(), |name| String::from_utf8_lossy(name.as_bytes()))
    }

    /// Whether its client has left. Asks the system: the runtime learns of it only when it next waits.
    pub fn client_left(&self) -> bool {
        self.client.as_ref().is_some_and(Peer::left)
    }
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// An upstream's answer.
    Served {
        /// Its end-to-end headers.
        headers: HeaderMap,
        /// Its body.
        body: ResponseContent,
    },
    /// Refused: another try does no harm.
    Refused {
        /// How long the client should stay away; zero: no advice.
        retry_after: Millis,
    },
    /// Turned away by the upstream as something it can't use.
    Unusable(StatusCode),
    /// Its body did not come as it should.
    Unsent(Fault),
    /// Failed, with no promise about its effect.
    Failed,
}

/// Why a request was not taken.
#[derive(Debug)]
pub enum SubmitError {
    /// As many are open as may be.
    Full,
    /// One with its id is open.
    Known,
}
