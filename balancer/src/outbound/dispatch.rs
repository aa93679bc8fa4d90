//! How a balancer carries out attempts: over sockets, or simulated without them.
use crate::body::response_body::UpstreamResponseBody;
use crate::outbound::attempt::Transport;
use crate::outbound::attempt_result::AttemptResult;
use crate::outbound::compact_headers::CompactHeaders;
use crate::outbound::connection_pool::Upstream;
use crate::outbound::message::{FinalResponse, OutboundRequest};
use crate::outbound::response_progress::ResponseProgress;
use balancer_core::AttemptOutcome;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Carries attempts out, or simulates them.
#[derive(Clone)]
pub enum Dispatch {
    /// Over sockets to the upstreams.
    Sockets(Transport),
    /// Without sockets: each attempt succeeds at once, with an empty response body.
    Simulated,
}

impl Dispatch {
    /// Carries out one attempt; see [`Transport::attempt`].
    pub async fn attempt(
        &self,
        upstream: Rc<Upstream>,
        request: Rc<OutboundRequest>,
        deadline: Instant,
        progress: Rc<ResponseProgress>,
        on_connected: impl Fn(),
        on_response_started: impl FnOnce(FinalResponse),
    ) -> AttemptResult {
        match self {
            Dispatch::Sockets(transport) => {
                transport
                    .attempt(
                        upstream,
                        request,
                        deadline,
                        progress,
                        on_connected,
                        on_response_started,
                    )
                    .await
            }
            Dispatch::Simulated => AttemptResult {
                outcome: AttemptOutcome::Success,
                response: Some(FinalResponse::Served {
                    headers: CompactHeaders::default(),
                    memory: None,
                    body: UpstreamResponseBody::Buffered(Bytes::new()),
                }),
            },
        }
    }

    /// How long connections to upstreams may be idle; `None` without sockets.
    pub fn idle_limit(&self) -> Option<Duration> {
        match self {
            Dispatch::Sockets(transport) => Some(transport.idle_limit()),
            Dispatch::Simulated => None,
        }
    }

    /// Whether the descriptor budget has no free permit, so that no connection can be opened.
    pub fn descriptors_exhausted(&self) -> bool {
        match self {
            Dispatch::Sockets(transport) => transport.descriptors_exhausted(),
            Dispatch::Simulated => false,
        }
    }
}
