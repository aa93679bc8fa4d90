//! Requests and their attempts, as clients and upstreams observe them.
use crate::ids::{BalancerId, UpstreamId};
use crate::request_class::Idempotency;
use std::time::Duration;
use tokio::time::Instant;

/// How an attempt ended, as its upstream observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream served it.
    Success,
    /// The upstream rejected it, with the header that states that the request was not executed.
    Rejected,
    /// The upstream responded with an error.
    Error,
    /// The upstream reset or closed the connection.
    Reset,
    /// The balancer closed the connection.
    Cancelled,
}

/// One attempt at one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When its first byte arrived.
    pub started_at: Instant,
    /// When its last byte arrived; none if that has not arrived.
    pub received_at: Option<Instant>,
    /// The remaining time that the balancer forwarded as the deadline.
    pub forwarded_deadline: Option<Duration>,
    /// How and when it ended.
    pub outcome: Option<(AttemptOutcome, Instant)>,
}

impl Attempt {
    /// Whether the upstream may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        let rejected = matches!(self.outcome, Some((AttemptOutcome::Rejected, _)));
        self.received_at.is_some() && !rejected
    }
}

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A complete response with this status arrived.
    Response(u16),
    /// A response started and was truncated.
    TruncatedResponse,
    /// The connection closed without a byte of a response.
    ConnectionClosed,
    /// The client disconnected, or the connection ended before the balancer had to read the request.
    Disconnected,
    /// No response arrived before the client stopped waiting, some time after the deadline.
    NoResponse,
}

/// The properties of a request that its client knows before sending it.
#[derive(Clone, Copy, Debug)]
pub struct RequestProperties {
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// The balancer that it goes to.
    pub balancer: BalancerId,
    /// Time that the client allows for the response.
    pub deadline: Duration,
    /// Time within which the response must arrive. It exceeds `deadline` if an earlier request of the same pipeline, whose
    /// response comes first, has a longer deadline.
    pub response_timeout: Duration,
    /// Whether its connection has carried no request before.
    pub new_connection: bool,
    /// Whether the client sends the complete request.
    pub complete: bool,
}

/// A request and everything observed of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The properties that its client knew before sending it.
    pub properties: RequestProperties,
    /// When its last byte was written, or writing it failed; until then, when the client began to write it.
    pub sent_at: Instant,
    /// How and when it ended at its client.
    pub outcome: Option<(ClientOutcome, Instant)>,
    /// Its attempts, in the order of their complete arrival.
    pub attempts: Vec<Attempt>,
}
