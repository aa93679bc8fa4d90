//! How the attempts of a balancer are carried out.
use crate::body::payload::ResponseContent;
use crate::outbound::attempt::Transport;
use crate::outbound::connection_pool::Upstream;
use crate::outbound::message::{FinalResponse, OutboundRequest};
use balancer_core::AttemptOutcome;
use bytes::Bytes;
use hyper::HeaderMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Carries attempts out, or pretends to.
#[derive(Clone)]
pub enum Dispatch {
    /// Over sockets to the upstreams.
    Sockets(Transport),
    /// Nowhere: each attempt ends at once as if its upstream had served it with an empty body.
    Hollow,
}

impl Dispatch {
    /// Carries one attempt out; see [`Transport::attempt`].
    pub async fn attempt(
        &self,
        upstream: Rc<Upstream>,
        request: Rc<OutboundRequest>,
        until: Instant,
        connected: impl Fn(),
        begun: impl FnOnce(FinalResponse),
    ) -> (AttemptOutcome, Option<FinalResponse>) {
        match self {
            Dispatch::Sockets(transport) => {
                transport
                    .attempt(upstream, request, until, connected, begun)
                    .await
            }
            Dispatch::Hollow => {
                let served = FinalResponse::Served {
                    headers: HeaderMap::new(),
                    body: ResponseContent::Whole(Bytes::new()),
                };
                (AttemptOutcome::Success, Some(served))
            }
        }
    }

    /// How long connections to upstreams may be idle; none where there are no connections.
    pub fn idle_limit(&self) -> Option<Duration> {
        match self {
            Dispatch::Sockets(transport) => Some(transport.idle_limit()),
            Dispatch::Hollow => None,
        }
    }

    /// Whether no more sockets may be opened.
    pub fn sockets_exhausted(&self) -> bool {
        match self {
            Dispatch::Sockets(transport) => transport.sockets_exhausted(),
            Dispatch::Hollow => false,
        }
    }
}
