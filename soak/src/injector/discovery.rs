//! Faults of discovery: outages and malformed responses.
use super::FaultInjector;
use crate::discovery::{DiscoveryCondition, DiscoveryFaults};
use crate::discovery_mode::DiscoveryMode;
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;
use tokio::time::sleep;

/// Shortest outage of discovery.
const MIN_OUTAGE: Duration = Duration::from_secs(3);
/// The conditions that an outage of discovery may have in poll mode.
const POLL_OUTAGES: [DiscoveryCondition; 3] = [
    DiscoveryCondition::Rejecting,
    DiscoveryCondition::Unresponsive,
    DiscoveryCondition::Disconnecting,
];
/// Range of the probabilities of a malformed response, and of a disconnect, that a fault draws in poll mode.
const BROKEN_RESPONSE_PROBABILITY: Range<f64> = 0.0..0.1;
/// Range of the probability of a response in pieces that a fault draws.
const SPLIT_PROBABILITY: Range<f64> = 0.0..0.5;
/// Probability of a snapshot as the first response to a watch.
const SNAPSHOT_PROBABILITY: f64 = 0.5;

impl FaultInjector {
    pub(super) async fn take_discovery_down(&mut self) {
        let condition = match self.testbed.mode() {
            // An agent does not respond while discovery is down.
            DiscoveryMode::Push => DiscoveryCondition::Unresponsive,
            DiscoveryMode::Poll => POLL_OUTAGES[self.random.random_range(0..POLL_OUTAGES.len())],
        };
        self.testbed.discovery().set_condition(condition);
        sleep(self.duration.max(MIN_OUTAGE)).await;
        self.testbed
            .discovery()
            .set_condition(DiscoveryCondition::Up);
    }

    pub(super) async fn send_malformed_lists(&mut self) {
        let faults = DiscoveryFaults {
            malformed: self.draw_broken_response_probability(),
            disconnect: self.draw_broken_response_probability(),
            split: self.random.random_range(SPLIT_PROBABILITY),
            snapshot: SNAPSHOT_PROBABILITY,
        };
        self.testbed.discovery().set_faults(faults);
        sleep(self.duration).await;
        self.testbed
            .discovery()
            .set_faults(DiscoveryFaults::default());
    }

    /// Draws a probability in poll mode. In push mode agents send no broken responses, so nothing is drawn.
    fn draw_broken_response_probability(&mut self) -> f64 {
        match self.testbed.mode() {
            DiscoveryMode::Push => 0.0,
            DiscoveryMode::Poll => self.random.random_range(BROKEN_RESPONSE_PROBABILITY),
        }
    }
}
