//! Receives the response of an attempt: buffers or relays its body, and returns the connection.
use super::Attempt;
use crate::body::limits::MAX_BODY_BYTES;
use crate::body::response_body::{upstream_body_stream, UpstreamResponseBody};
use crate::memory::budget::MemoryUse;
use crate::outbound::attempt_result::AttemptResult;
use crate::outbound::compact_headers::CompactHeaders;
use crate::outbound::connection_pool::Connection;
use crate::outbound::headers::end_to_end_headers;
use crate::outbound::message::FinalResponse;
use crate::outbound::response_buffer::{buffer_body, declares_large_body, BufferedBody};
use crate::outbound::response_outcome::{has_unambiguous_end, outcome_of_response};
use crate::outbound::response_progress::ResponseProgress;
use crate::outbound::response_relay::Relay;
use crate::outbound::reuse_lease::ReuseLease;
use crate::time::timeout;
use balancer_core::AttemptOutcome;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::http::response;
use hyper::{Response, StatusCode};
use std::time::Duration;
use tokio::time::Instant;

/// Time allowed for a connection to become ready for its next request after a complete response.
const CONNECTION_READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Time allowed for the body of a response that is not a success. Its head tells the outcome; its body
/// only decides whether the connection can be reused.
const UNSUCCESSFUL_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// A head that takes more memory than this to send counts as large.
const MAX_ORDINARY_HEAD_BYTES: usize = 8 << 10;

/// A response that has begun: its head, and the connection on which its body follows.
pub(super) struct StartedResponse {
    pub(super) connection: Connection,
    pub(super) lease: ReuseLease,
    pub(super) response: Response<Incoming>,
}

/// What is kept of the head of a response until it is passed on.
struct ForwardedHead {
    status: StatusCode,
    /// End-to-end headers.
    headers: CompactHeaders,
}

impl From<response::Parts> for ForwardedHead {
    fn from(head: response::Parts) -> ForwardedHead {
        ForwardedHead {
            status: head.status,
            headers: end_to_end_headers(head.headers),
        }
    }
}

impl Attempt<'_> {
    /// Buffers or relays the body of a response. After a complete response, returns the connection
    /// to the pool.
    pub(super) async fn receive_response(
        &self,
        started: StartedResponse,
        on_response_started: impl FnOnce(FinalResponse),
    ) -> Result<AttemptResult, AttemptOutcome> {
        let StartedResponse {
            connection,
            lease,
            response,
        } = started;
        let declared_length = response.body().size_hint().exact();
        let is_too_large = declared_length.is_some_and(|length| length > MAX_BODY_BYTES);
        if is_too_large || !has_unambiguous_end(&response) {
            return Err(AttemptOutcome::Error);
        }
        let outcome = outcome_of_response(&response);
        let (head, mut body) = response.into_parts();
        let head = ForwardedHead::from(head);
        let buffered = self
            .buffer_response(&mut body, declared_length, outcome)
            .await?;
        if lease.is_revoked() {
            return Err(AttemptOutcome::Error);
        }
        let response = match buffered {
            BufferedBody::Complete(buffered) if outcome == AttemptOutcome::Success => {
                let body = UpstreamResponseBody::Buffered(buffered);
                Some(self.served(head.headers, body).await)
            }
            BufferedBody::Complete(_) => client_error(outcome, head.status),
            BufferedBody::Partial(buffered) if outcome == AttemptOutcome::Success => {
                let (sender, stream) = upstream_body_stream(declared_length);
                let stream = UpstreamResponseBody::Streamed(stream);
                on_response_started(self.served(head.headers, stream).await);
                let relay = Relay::new(
                    sender,
                    body,
                    declares_large_body(declared_length),
                    self.progress.clone(),
                    self.request.clone(),
                    &self.transport.memory,
                );
                relay.run(buffered).await?;
                None
            }
            // The rest of the body stays unread, so the connection cannot be reused and is closed.
            BufferedBody::Partial(_) => {
                return Ok(AttemptResult {
                    outcome,
                    response: client_error(outcome, head.status),
                })
            }
        };
        // The connection is returned before the outcome is reported, so that the next attempt that
        // the core starts can use it.
        self.return_connection(connection).await;
        Ok(AttemptResult { outcome, response })
    }

    /// Buffers the body of a response. One that is not a success is never passed on, and is not
    /// awaited for long.
    async fn buffer_response(
        &self,
        body: &mut Incoming,
        declared_length: Option<u64>,
        outcome: AttemptOutcome,
    ) -> Result<BufferedBody, AttemptOutcome> {
        let memory = &self.transport.memory;
        let expires_at = self.request.expires_at();
        if outcome == AttemptOutcome::Success {
            return buffer_body(body, declared_length, memory, &self.progress, expires_at).await;
        }
        let unused_progress = ResponseProgress::default();
        let buffering = buffer_body(body, declared_length, memory, &unused_progress, expires_at);
        timeout(UNSUCCESSFUL_BODY_TIMEOUT, buffering)
            .await
            .unwrap_or(Ok(BufferedBody::Partial(Bytes::new())))
    }

    /// The response to pass on to the client. One with a large head waits for memory to send it.
    async fn served(&self, headers: CompactHeaders, body: UpstreamResponseBody) -> FinalResponse {
        let needed = headers.sending_bytes();
        let latest = if needed > MAX_ORDINARY_HEAD_BYTES {
            self.request.expires_at()
        } else {
            Instant::now()
        };
        let memory = self
            .transport
            .memory
            .reserve_until(latest, MemoryUse::Completion, needed);
        FinalResponse::Served {
            memory: Some(memory.await),
            headers,
            body,
        }
    }

    async fn return_connection(&self, mut connection: Connection) {
        let ready = timeout(CONNECTION_READY_TIMEOUT, connection.sender.ready()).await;
        let may_keep_idle = self.transport.connector.may_keep_idle(&self.upstream);
        if matches!(ready, Ok(Ok(()))) && may_keep_idle {
            self.upstream.return_after_response(connection);
        }
    }
}

/// The final response to a request that its upstream found invalid. Another upstream would reject
/// it too, and it is no evidence of a failure of this one.
fn client_error(outcome: AttemptOutcome, status: StatusCode) -> Option<FinalResponse> {
    (outcome == AttemptOutcome::Cancelled).then_some(FinalResponse::ClientError(status))
}
