//! What is kept of the head of a client's request.
use crate::body::request_body::RequestBody;
use crate::net::peer::Peer;
use crate::outbound::compact_headers::CompactHeaders;
use crate::outbound::headers::{end_to_end_headers, DEADLINE_HEADER};
use crate::outbound::message::OutboundRequest;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::request;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Uri};
use std::cell::Cell;
use std::time::Duration;

/// What is kept of the head of a request until the request ends. It shares no memory with the buffer
/// that the head was read into.
pub struct ForwardedHead {
    request_id: Option<HeaderValue>,
    method: Method,
    target: Uri,
    headers: CompactHeaders,
}

impl From<request::Parts> for ForwardedHead {
    fn from(parts: request::Parts) -> ForwardedHead {
        let mut headers = parts.headers;
        headers.remove(&DEADLINE_HEADER);
        ForwardedHead {
            request_id: headers.get("req-id").and_then(copy_of_value),
            method: parts.method,
            target: copy_of_target(&parts.uri),
            headers: end_to_end_headers(headers),
        }
    }
}

fn copy_of_value(value: &HeaderValue) -> Option<HeaderValue> {
    HeaderValue::from_bytes(value.as_bytes()).ok()
}

/// Path and query of a request.
fn copy_of_target(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map(|target| Bytes::copy_from_slice(target.as_str().as_bytes()))
        .and_then(|target| PathAndQuery::from_maybe_shared(target).ok())
        .map(Uri::from)
        .unwrap_or_default()
}

impl ForwardedHead {
    /// The client's id for the request.
    pub fn request_id(&self) -> Option<&HeaderValue> {
        self.request_id.as_ref()
    }

    /// The request to forward with this body. Its client waits for `client_timeout`.
    pub fn into_request(
        self,
        body: RequestBody,
        client: Peer,
        client_timeout: Duration,
    ) -> OutboundRequest {
        OutboundRequest {
            request_id: self.request_id,
            method: self.method,
            target: self.target,
            headers: self.headers,
            body,
            client_timeout,
            deadline: Cell::new(None),
            ended: Cell::new(false),
            client: Some(client),
        }
    }
}
