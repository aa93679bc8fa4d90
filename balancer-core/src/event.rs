//! Events that the host passes to a [`Balancer`](crate::Balancer).
use crate::endpoint::{EndpointEvent, UpstreamId};
use crate::request::{AttemptOutcome, Request, RequestId};
use crate::time::Millis;

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change of the endpoint list, or the result of a call to discovery.
    Endpoints(EndpointEvent),
    /// A request arrived. The balancer ends it with exactly one [`Action::Reject`](crate::Action::Reject) or
    /// [`Action::Fail`](crate::Action::Fail), unless the client receives an upstream's response or needs none any
    /// more.
    Request(Request),
    /// The body of an earlier request is complete: the request's deadline applies from now on, and its upstream
    /// is expected to respond.
    RequestBodyComplete {
        /// The request.
        request: RequestId,
        /// When the client's deadline expires.
        deadline: Millis,
    },
    /// The host no longer keeps the body of a request: the request can no longer be retried.
    BodyDiscarded(RequestId),
    /// A streamed response has started: the client receives the response of this attempt.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt ended. Follows each [`Action::Send`](crate::Action::Send) exactly once.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number, counted from zero in the order of sends.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time from the complete send of the request to the start of a streamed response, or to the end of any
        /// other one.
        /// Excludes the time to connect where the host knows it. Finite.
        duration: Millis,
        /// Whether the client needs no further response, because of this outcome or something earlier.
        request_completed: bool,
    },
    /// The client disconnected, or its deadline expired: no final response is needed.
    ClientDisconnected(RequestId),
    /// An operator suspended an upstream, listed or not: it receives no requests until it is restored, whatever
    /// the endpoint list says.
    Suspend(UpstreamId),
    /// An operator restored an upstream. The upstream was restarted while it was suspended; the endpoint list may
    /// report the restart only later.
    Restore {
        /// The upstream.
        upstream: UpstreamId,
        /// When it was restored; its slow start begins then.
        restored_at: Millis,
    },
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer(u32),
}
