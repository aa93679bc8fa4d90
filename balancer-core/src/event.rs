//! Events that the host passes to a [`Balancer`](crate::Balancer).
use crate::endpoint::{EndpointEvent, UpstreamId};
use crate::request::{AttemptOutcome, Request, RequestId};
use crate::time::Millis;

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change of the endpoint list, or the result of a call to discovery.
    Endpoints(EndpointEvent),
    /// A request arrived. The balancer ends it with exactly one final response.
    Request(Request),
    /// The body of an earlier request is complete: its deadline applies from now on, and its upstream is
    /// expected to respond.
    RequestBodyComplete {
        /// The request.
        request: RequestId,
        /// When the client's deadline expires.
        deadline: Millis,
    },
    /// The host no longer keeps the body of a request, so that the request cannot be retried.
    BodyDiscarded(RequestId),
    /// The response of a streamed request has started: the client receives the response of this attempt.
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
        /// Time from the complete send to the start of the response, if that was streamed, or else to its end.
        /// Excludes the time to connect where the host knows it. Finite.
        duration: Millis,
        /// Whether the request has ended, by this outcome or earlier.
        request_completed: bool,
    },
    /// The client disconnected, or its deadline expired: no final response is needed.
    ClientDisconnected(RequestId),
    /// An operator suspended an upstream, listed or not: it receives no requests until it is restored, whatever
    /// the endpoint list says.
    Suspend(UpstreamId),
    /// An operator restored an upstream. It was restarted while it was suspended, and the endpoint list may
    /// report that late.
    Restore {
        /// The upstream.
        upstream: UpstreamId,
        /// When it was restored; its slow start begins then.
        restored_at: Millis,
    },
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer(u32),
}
