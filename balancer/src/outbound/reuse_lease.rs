//! Whether a request's connection may still carry its response.
use crate::outbound::connection_pool::{Connection, Upstream};
use std::rc::Rc;
use tokio::time::Instant;

/// The use of one connection for one request. It is revoked when the upstream turns out to send
/// surplus data, if the connection carried an earlier request: its next response may belong to that
/// one. The first response on a connection is always its own request's.
///
/// A request whose lease is revoked ends as an error, not as a reset: an early reset would make the
/// core take all idle connections for stale.
pub struct ReuseLease {
    upstream: Rc<Upstream>,
    carried_earlier_request: bool,
    /// Detections of surplus data when the use began.
    detections_at_start: u64,
}

impl ReuseLease {
    /// The next request's use of this connection to `upstream`.
    pub fn new(upstream: &Rc<Upstream>, connection: &Connection) -> ReuseLease {
        connection.connection_use().record_request(Instant::now());
        connection.socket.begin_request();
        ReuseLease {
            upstream: upstream.clone(),
            carried_earlier_request: connection.connection_use().is_reused(),
            detections_at_start: upstream.surplus().uncovered_detections(),
        }
    }

    /// Whether the connection carried an earlier request.
    pub fn carried_earlier_request(&self) -> bool {
        self.carried_earlier_request
    }

    /// Whether the response on this connection must not be used.
    pub fn is_revoked(&self) -> bool {
        self.carried_earlier_request
            && self.upstream.surplus().uncovered_detections() != self.detections_at_start
    }

    /// Returns once the response on this connection must not be used.
    pub async fn revoked(&self) {
        if !self.carried_earlier_request {
            std::future::pending::<()>().await;
        }
        self.upstream
            .surplus()
            .detected_since(self.detections_at_start)
            .await;
    }
}
