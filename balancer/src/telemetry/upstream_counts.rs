//! Counts that the connections to upstreams update.
use std::cell::Cell;
use std::rc::Rc;

/// Counts that all connections to upstreams share.
#[derive(Default)]
pub struct UpstreamCounts {
    requests_written: Rc<Cell<u64>>,
    surplus_detections: Cell<u64>,
}

impl UpstreamCounts {
    /// The count of requests that were written completely, which the connections' sockets update.
    pub fn requests_written(&self) -> Rc<Cell<u64>> {
        self.requests_written.clone()
    }

    /// Counts a detection of surplus data.
    pub fn record_surplus(&self) {
        self.surplus_detections
            .set(self.surplus_detections.get().wrapping_add(1));
    }

    /// How often surplus data was detected.
    pub fn surplus_detections(&self) -> u64 {
        self.surplus_detections.get()
    }
}
