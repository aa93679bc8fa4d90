//! Actions that a [`Balancer`](crate::Balancer) asks its host to carry out.
use crate::endpoint::UpstreamId;
use crate::request::RequestId;
use crate::time::Millis;

/// An output of the balancer. The host carries out actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// Timeout of this attempt, counted from now; zero: none but the client's deadline.
        timeout: Millis,
    },
    /// Cancel an attempt. Its outcome still follows as [`Event::AttemptEnded`](crate::Event::AttemptEnded).
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final response: rejected, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry; zero: no advice.
        retry_after: Millis,
    },
    /// Final response: failed, and the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Close the connections to an upstream that carry no request now.
    CloseIdleConnections(UpstreamId),
    /// Call discovery for changes of the endpoint list; one [`EndpointEvent`](crate::EndpointEvent) follows.
    PollEndpoints,
    /// Set a timer; one [`Event::Timer`](crate::Event::Timer) follows.
    SetTimer {
        /// Time from now.
        after: Millis,
        /// Returned with the event.
        token: u32,
    },
    /// A line for the operators' log.
    Log(String),
}
