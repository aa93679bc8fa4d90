//! Counts that the connections to upstreams update.
use std::cell::Cell;
use std::rc::Rc;

/// Counts that all connections to upstreams share.
#[derive(Default)]
pub struct UpstreamCounts {
    requests_written: Rc<Cell<u64>>,
    surplus_detections: Cell<u64>,
    connections_opened: Cell<u64>,
    open_connections: Rc<Cell<usize>>,
}

/// Counts one connection to an upstream as open until it is dropped.
pub struct OpenConnectionCount(Rc<Cell<usize>>);

impl Drop for OpenConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl UpstreamCounts {
    /// The count of requests that were written completely, which the connections' sockets update.
    pub fn requests_written(&self) -> Rc<Cell<u64>> {
        self.requests_written.clone()
    }

    /// Counts a detection of surplus data: data that an upstream sent beyond its responses.
    pub fn record_surplus(&self) {
        self.surplus_detections
            .set(self.surplus_detections.get().wrapping_add(1));
    }

    /// How often surplus data was detected.
    pub fn surplus_detections(&self) -> u64 {
        self.surplus_detections.get()
    }

    /// Counts a connection as opened, and as open as long as the returned count exists.
    pub fn record_connection_opened(&self) -> OpenConnectionCount {
        self.connections_opened
            .set(self.connections_opened.get().wrapping_add(1));
        self.open_connections.set(self.open_connections.get() + 1);
        OpenConnectionCount(self.open_connections.clone())
    }

    /// How many connections were opened.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.get()
    }

    /// How many connections are open now.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }
}
