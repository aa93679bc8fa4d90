//! Polling with many replicas: discovery serves a fleet from one queue, and must answer each replica before the
//! replica counts as notified. All times are in milliseconds.
// A panic in a helper function fails the test that calls it, as an assertion does, so `expect` is allowed.
#![allow(clippy::expect_used)]
mod common;

use balancer_core::{Action, EndpointEvent, Event, Settings};
use common::{endpoints, TestHarness};

/// A replica counts as notified of a change this long after discovery had the change and could be reached.
const NOTIFICATION_DEADLINE: f64 = 6000.0;
/// Discovery rejects calls that have waited this long.
const QUEUE_TIMEOUT: f64 = 2000.0;
/// Discovery rejects calls at once that would wait longer than this.
const MAX_EXPECTED_WAIT: f64 = 2300.0;
/// When the fleet loses discovery, counted since the Unix epoch.
const LOST_AT: f64 = 1_796_311_872_713.0;

/// How a call ends, and when.
enum CallEnd {
    Served(f64),
    Rejected(f64),
}

/// Discovery, which serves one call after another. It spends the service time also on calls that it has rejected
/// after a long wait.
struct Discovery {
    service_time: f64,
    free_at: f64,
}

impl Discovery {
    fn call(&mut self, now: f64) -> CallEnd {
        let service_starts_at = self.free_at.max(now);
        if service_starts_at - now > MAX_EXPECTED_WAIT {
            return CallEnd::Rejected(now);
        }
        self.free_at = service_starts_at + self.service_time;
        if service_starts_at - now > QUEUE_TIMEOUT {
            return CallEnd::Rejected(now + QUEUE_TIMEOUT);
        }
        CallEnd::Served(self.free_at)
    }
}

/// A replica that polls discovery.
struct Replica {
    harness: TestHarness,
    /// When its next call starts, or its pending call is rejected.
    next_at: f64,
    poll_timer: u32,
    is_call_pending: bool,
}

impl Replica {
    /// A replica that discovery answered 1.5 s ago and whose watch fails now.
    fn after_watch_failure(replica_index: u32, replicas: u32, seed: u64) -> Replica {
        let settings = Settings {
            replica_index,
            replica_count: replicas,
            poll_endpoints: true,
            poll_acknowledge_timeout: 3000.0,
            ..Settings::default()
        };
        let mut harness = TestHarness::new(settings, seed, endpoints(1));
        harness.now = LOST_AT - 1500.0;
        harness.handle(Event::Endpoints(EndpointEvent::Unchanged));
        harness.now = LOST_AT;
        let mut replica = Replica {
            harness,
            next_at: LOST_AT,
            poll_timer: 0,
            is_call_pending: false,
        };
        replica.handle_failure(EndpointEvent::DiscoveryFailed);
        replica
    }

    fn handle_failure(&mut self, failure: EndpointEvent) {
        let actions = self.harness.handle(Event::Endpoints(failure));
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = timer.expect("a timer to poll again should be set");
        self.next_at = self.harness.now + after;
        self.poll_timer = token;
        self.is_call_pending = false;
    }

    /// Starts the next call, or ends the pending one with its rejection. Returns when discovery answers the call, if it
    /// does.
    fn step(&mut self, discovery: &mut Discovery) -> Option<f64> {
        self.harness.now = self.next_at;
        if self.is_call_pending {
            self.handle_failure(EndpointEvent::DiscoveryRejected);
            return None;
        }
        let actions = self.harness.handle(Event::Timer(self.poll_timer));
        assert_eq!(actions, [Action::PollEndpoints]);
        match discovery.call(self.next_at) {
            CallEnd::Served(at) => Some(at),
            CallEnd::Rejected(at) => {
                self.next_at = at;
                self.is_call_pending = true;
                None
            }
        }
    }
}

/// How long the last replica of a fleet waits for an answer after all watches failed at the same time.
/// `fleet_service_time` is how long discovery takes to serve one call of each replica.
fn wait_of_last_replica(replicas: u32, fleet_service_time: f64, seed: u64) -> f64 {
    let mut discovery = Discovery {
        service_time: fleet_service_time / f64::from(replicas),
        free_at: LOST_AT,
    };
    let mut waiting: Vec<Replica> = (0..replicas)
        .map(|replica_index| {
            let seed = seed * 10_000 + u64::from(replica_index);
            Replica::after_watch_failure(replica_index, replicas, seed)
        })
        .collect();
    let mut last = LOST_AT;
    while let Some(next) = (0..waiting.len())
        .min_by(|&left, &right| waiting[left].next_at.total_cmp(&waiting[right].next_at))
    {
        if let Some(answered_at) = waiting[next].step(&mut discovery) {
            last = last.max(answered_at);
            waiting.swap_remove(next);
        }
    }
    last - LOST_AT
}

/// The longest wait of the last replica among several fleets.
fn longest_wait(replicas: u32, fleet_service_time: f64, fleets: u64) -> f64 {
    (0..fleets)
        .map(|seed| wait_of_last_replica(replicas, fleet_service_time, seed))
        .fold(0.0, f64::max)
}

#[test]
fn each_replica_of_any_fleet_is_answered_before_it_counts_as_notified() {
    for (replicas, fleets) in [
        (1, 20),
        (2, 100),
        (3, 100),
        (6, 100),
        (12, 100),
        (60, 20),
        (300, 3),
        (900, 1),
    ] {
        let wait = longest_wait(replicas, 3500.0, fleets);
        assert!(
            wait <= NOTIFICATION_DEADLINE,
            "the last of {replicas} replicas is answered after {wait} ms"
        );
    }
}

/// Discovery needs 4.5 s to serve one call of each replica, and has hardly more time.
#[test]
fn each_replica_of_a_large_fleet_is_answered_in_time_by_a_slow_discovery() {
    for (replicas, fleets) in [(60, 20), (300, 3), (900, 1)] {
        let wait = longest_wait(replicas, 4500.0, fleets);
        assert!(
            wait <= NOTIFICATION_DEADLINE,
            "the last of {replicas} replicas is answered after {wait} ms"
        );
    }
}
