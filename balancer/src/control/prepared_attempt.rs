//! An attempt that the driver is about to start.
use crate::control::attempt_id::AttemptId;
use crate::outbound::connection_pool::Upstream;
use crate::outbound::message::OutboundRequest;
use crate::outbound::response_progress::ResponseProgress;
use balancer_core::UpstreamId;
use std::rc::Rc;
use tokio::time::Instant;

/// An attempt that is about to start.
pub struct PreparedAttempt {
    /// Its id.
    pub id: AttemptId,
    /// The id of its endpoint.
    pub upstream_id: UpstreamId,
    /// The endpoint's address and connections.
    pub upstream: Rc<Upstream>,
    /// The request as the attempt sends it.
    pub request: Rc<OutboundRequest>,
    /// When it starts.
    pub started_at: Instant,
    /// When it times out. While the request's body is incomplete, progress postpones this.
    pub deadline: Instant,
    /// What has arrived of its response.
    pub response_progress: Rc<ResponseProgress>,
    /// Whether the request's body is complete.
    pub is_body_complete: bool,
}
