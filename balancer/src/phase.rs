//! The phases of the process, as client connections see them.

/// Whether the process accepts clients, and how far its shutdown has come. Phases are ordered: from
/// [`Phase::Draining`] on, no connection is accepted any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not yet serving.
    Starting,
    /// Serving.
    Serving,
    /// Paused by operators: the readiness check is answered with 503, idle client connections are
    /// closed, and the others close with their next response. Requests are still served.
    Paused,
    /// Shutdown was requested: new connections are still accepted, and existing ones are served.
    ShutdownRequested,
    /// No connection is accepted any more; existing ones are served.
    Draining,
    /// Shutdown was requested while another process of this balancer serves: no connection is
    /// accepted any more, and existing ones close with their next response, so that clients change
    /// to the other process.
    HandedOff,
    /// Connections close with their next response, and idle ones are closed.
    Closing,
}

impl Phase {
    /// Whether connections close with their next response, and idle ones are closed.
    pub fn closes_connections(self) -> bool {
        matches!(self, Phase::Paused | Phase::HandedOff | Phase::Closing)
    }
}
