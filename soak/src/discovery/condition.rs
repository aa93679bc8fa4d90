//! What discovery does with requests: its condition and the faults in its responses.

/// What discovery does with requests. In push mode requests get no response until discovery is up, whatever the
/// condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCondition {
    /// It responds.
    Up,
    /// It rejects them. Those that need a turn in the queue are rejected after 2 s (`QUEUE_TIMEOUT`).
    Rejecting,
    /// It accepts them and does not respond.
    Unresponsive,
    /// It closes their connections.
    Disconnecting,
}

impl DiscoveryCondition {
    pub(super) fn is_up(self) -> bool {
        self == DiscoveryCondition::Up
    }
}

/// Probabilities of faults in responses, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryFaults {
    /// The response is not a valid list.
    pub malformed: f64,
    /// The connection closes without a response.
    pub disconnect: f64,
    /// The response arrives in pieces.
    pub split: f64,
    /// The first response to a watch is a snapshot instead of a delta.
    pub snapshot: f64,
}
