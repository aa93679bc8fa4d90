//! The state of discovery, which a lock guards.
use super::condition::{DiscoveryCondition, DiscoveryFaults};
use super::endpoint_list::EndpointList;
use super::queue::RequestQueue;
use crate::discovery_mode::DiscoveryMode;
use crate::ids::BalancerId;
use rand::rngs::StdRng;
use rand::RngExt;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which balancers are considered notified: in poll mode, of a change, once discovery is reachable; in push
/// mode, of the changes that silent watches did not send.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

/// The list, discovery's condition and its faults.
pub(super) struct State {
    pub(super) list: EndpointList,
    pub(super) condition: DiscoveryCondition,
    /// Start of the latest period in which discovery was up.
    up_since: Instant,
    pub(super) queue: RequestQueue,
    faults: DiscoveryFaults,
    /// Watches that were open at this time get no updates.
    silent_watches_before: Option<Instant>,
    /// From this time on, balancers are considered notified of the changes that silent watches did not send.
    silent_watches_until: Instant,
    /// For each balancer, the time from which it counts as able to get the list: the start of its process, or the latest
    /// time at which it uses a new address of discovery.
    list_available_from: Vec<Instant>,
}

/// The faults of one response.
pub(super) struct DrawnFaults {
    pub(super) malformed: bool,
    pub(super) disconnect: bool,
    pub(super) split: bool,
    pub(super) snapshot: bool,
}

impl State {
    /// Creates the state of a discovery that is up and has had this list since `now`. Balancers count as started `now`.
    pub(super) fn new(
        list: EndpointList,
        queue: RequestQueue,
        balancers: usize,
        now: Instant,
    ) -> State {
        State {
            list,
            condition: DiscoveryCondition::Up,
            up_since: now,
            queue,
            faults: DiscoveryFaults::default(),
            silent_watches_before: None,
            silent_watches_until: now,
            list_available_from: vec![now; balancers],
        }
    }

    /// All balancers.
    pub(super) fn balancer_ids(&self) -> impl Iterator<Item = BalancerId> {
        (0..self.list_available_from.len()).map(BalancerId)
    }

    pub(super) fn set_condition(&mut self, condition: DiscoveryCondition) {
        if !self.condition.is_up() && condition.is_up() {
            self.up_since = Instant::now();
        }
        self.condition = condition;
    }

    /// Sets the probabilities of faults in responses.
    pub(super) fn set_faults(&mut self, faults: DiscoveryFaults) {
        self.faults = faults;
    }

    /// Sends no more updates to the watches that are open now.
    pub(super) fn silence_watches(&mut self) {
        self.silent_watches_before = Some(Instant::now());
        self.silent_watches_until = Instant::now() + NOTIFICATION_DEADLINE;
    }

    /// Sets the time from which a balancer counts as able to get the list, after a start of its process or a change of
    /// its address of discovery.
    pub(super) fn set_list_available_from(&mut self, balancer: BalancerId, from: Instant) {
        self.list_available_from[balancer.0] = from;
    }

    /// Draws the faults of one response, always in the same order.
    pub(super) fn draw_faults(&self, random: &mut StdRng) -> DrawnFaults {
        let mut occurs = |probability: f64| random.random::<f64>() < probability;
        DrawnFaults {
            malformed: occurs(self.faults.malformed),
            disconnect: occurs(self.faults.disconnect),
            split: occurs(self.faults.split),
            snapshot: occurs(self.faults.snapshot),
        }
    }

    /// Whether a watch that was opened at this time gets no updates.
    pub(super) fn is_silent_watch(&self, opened_at: Instant) -> bool {
        self.silent_watches_before
            .is_some_and(|before| opened_at < before)
    }

    /// When a balancer is considered notified of a change at the latest, while discovery is up.
    pub(super) fn notification_due_at(
        &self,
        mode: DiscoveryMode,
        balancer: BalancerId,
        changed_at: Instant,
    ) -> Instant {
        let available_at = changed_at
            .max(self.up_since)
            .max(self.list_available_from[balancer.0]);
        match mode {
            DiscoveryMode::Push => available_at.max(self.silent_watches_until),
            DiscoveryMode::Poll => available_at + NOTIFICATION_DEADLINE,
        }
    }
}
