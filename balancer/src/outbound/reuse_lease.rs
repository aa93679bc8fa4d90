//! Whether the response on a request's connection may still be used for that request.
use crate::outbound::connection_pool::{Connection, Upstream};
use std::rc::Rc;
use tokio::time::Instant;

/// The use of one connection for one request. It is revoked when surplus data of the upstream is
/// detected that the reuse delay does not cover, if the connection carried an earlier request: the
/// next response on it may then belong to the earlier request. The first response on a connection
/// always belongs to its first request.
///
/// A request whose lease is revoked ends as an error, not as a reset: after a reset before the
/// response, the core would treat all idle connections as stale.
pub struct ReuseLease {
    upstream: Rc<Upstream>,
    carried_earlier_request: bool,
    /// How often surplus data that the reuse delay did not cover had been detected when the use
    /// began.
    detections_at_start: u64,
}

impl ReuseLease {
    /// Begins the use of this connection to `upstream` for its next request.
    pub fn new(upstream: &Rc<Upstream>, connection: &Connection) -> ReuseLease {
        connection.request_history().record_request(Instant::now());
        connection.socket.begin_request();
        ReuseLease {
            upstream: upstream.clone(),
            carried_earlier_request: connection.request_history().is_reused(),
            detections_at_start: upstream.surplus_history().detections_beyond_reuse_delay(),
        }
    }

    /// Whether the connection carried an earlier request.
    pub fn carried_earlier_request(&self) -> bool {
        self.carried_earlier_request
    }

    /// Whether the response on this connection must not be used.
    pub fn is_revoked(&self) -> bool {
        self.carried_earlier_request
            && self
                .upstream
                .surplus_history()
                .detections_beyond_reuse_delay()
                != self.detections_at_start
    }

    /// Waits until the response on this connection must not be used. Never returns on a connection
    /// that carried no earlier request.
    pub async fn revoked(&self) {
        if !self.carried_earlier_request {
            std::future::pending::<()>().await;
        }
        self.upstream
            .surplus_history()
            .wait_for_detection_after(self.detections_at_start)
            .await;
    }
}
