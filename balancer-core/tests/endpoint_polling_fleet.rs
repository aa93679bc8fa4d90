//! Polling with many replicas: discovery serves a fleet from one queue, and each replica is to be answered in time.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;

use balancer_core::{Action, EndpointEvent, Event, Settings};
use common::{endpoints, TestHarness};

/// A change counts as notified this long after discovery had it and could be reached, in milliseconds.
const NOTIFICATION_DEADLINE: f64 = 6000.0;
/// Discovery rejects calls that have waited this long.
const QUEUE_TIMEOUT: f64 = 2000.0;
/// Discovery rejects calls at once that would wait longer than this.
const MAX_EXPECTED_WAIT: f64 = 2300.0;
/// When the fleet loses discovery, on a clock that counts since the Unix epoch.
const LOST_AT: f64 = 1_796_311_872_713.0;

/// What becomes of a call, and when.
enum CallEnd {
    Served(f64),
    Rejected(f64),
}

/// Discovery, which serves one call after the other. A call that waits for too long is served all the same.
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

/// A replica, and its next call or the rejection of one.
struct Replica {
    harness: TestHarness,
    next_at: f64,
    poll_timer: u32,
    is_call_pending: bool,
}

impl Replica {
    /// A replica that had an answer 1.5 s ago and whose watch fails now.
    fn after_watch_failure(index: u32, replicas: u32, seed: u64) -> Replica {
        let settings = Settings {
            index,
            balancers: replicas,
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
        let (after, token) = timer.expect("a timer to poll again");
        self.next_at = self.harness.now + after;
        self.poll_timer = token;
        self.is_call_pending = false;
    }

    /// Goes on to its next event. Returns when it was answered, if it was.
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

/// All watches of a fleet fail at the same time. Returns after which time the last replica is answered.
fn wait_of_last_replica(replicas: u32, fleet_service_time: f64, seed: u64) -> f64 {
    let mut discovery = Discovery {
        service_time: fleet_service_time / f64::from(replicas),
        free_at: LOST_AT,
    };
    let mut waiting: Vec<Replica> = (0..replicas)
        .map(|index| {
            let seed = seed * 10_000 + u64::from(index);
            Replica::after_watch_failure(index, replicas, seed)
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

/// The largest of the last answers of several fleets.
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
        assert!(wait <= NOTIFICATION_DEADLINE, "{replicas} replicas: {wait}");
    }
}

/// Discovery has hardly more time than it needs.
#[test]
fn each_replica_of_a_large_fleet_is_answered_in_time_by_a_slow_discovery() {
    for (replicas, fleets) in [(60, 20), (300, 3), (900, 1)] {
        let wait = longest_wait(replicas, 4500.0, fleets);
        assert!(wait <= NOTIFICATION_DEADLINE, "{replicas} replicas: {wait}");
    }
}
