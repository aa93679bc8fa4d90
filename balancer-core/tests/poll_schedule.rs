//! The schedule of calls for the endpoint list: a change counts as notified 6 s after discovery had it and could be
//! reached, so that the next complete response has to come within that time, whatever preceded it and however many
//! replicas discovery serves from its queue.
mod common;

use balancer_core::{Action, EndpointEvent, Event, Settings};
use common::{endpoints, TestHarness};
use std::collections::BTreeMap;

/// A change counts as notified at the latest this long after discovery had it and could be reached.
const NOTIFICATION_DEADLINE: f64 = 6000.0;
/// How long a call waits in discovery's queue until discovery rejects it.
const QUEUE_TIMEOUT: f64 = 2000.0;
/// Discovery rejects a call at once if its queue is longer than this.
const MAX_EXPECTED_WAIT: f64 = 2300.0;
/// When a replica gives up a call without response.
const CALL_TIMEOUT: f64 = 2800.0;
/// When a replica gives up a watch without response.
const WATCH_TIMEOUT: f64 = 2500.0;
/// How long discovery holds a call of a watch that there is nothing to tell.
const LONG_POLL_TIMEOUT: f64 = 1500.0;
/// How long a response takes that needs no turn.
const IMMEDIATE_RESPONSE_TIME: f64 = 5.0;
/// Longest time in which discovery serves a call; it needs less where it serves large fleets.
const MAX_SERVICE_TIME: f64 = 500.0;
/// Longest time between the starts of two calls, such that the second is served within the deadline after a wait in
/// the queue, even if discovery returned just after the start of the first.
const MAX_CALL_INTERVAL: f64 = 3900.0;

fn poll_settings(poll_acknowledge_timeout: f64) -> Settings {
    Settings {
        poll_endpoints: true,
        poll_acknowledge_timeout,
        ..Settings::default()
    }
}

/// A replica that polls discovery.
struct Replica {
    harness: TestHarness,
    /// Token of the timer that ends its pause.
    token: u32,
}

impl Replica {
    /// A replica whose list discovery confirmed at `confirmed_at`.
    fn new(settings: &Settings, seed: u64, confirmed_at: f64) -> Replica {
        let mut harness = TestHarness::new(settings.clone(), seed, endpoints(1));
        harness.now = harness.now.max(confirmed_at);
        harness.update_endpoints(EndpointEvent::Unchanged);
        Replica { harness, token: 0 }
    }

    /// A call ends without a list. Returns when the next one starts.
    fn call_failed(&mut self, now: f64, event: EndpointEvent) -> f64 {
        self.harness.now = now;
        let actions = self.harness.handle(Event::Endpoints(event));
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = timer.unwrap_or_else(|| panic!("no timer to poll again: {actions:?}"));
        self.token = token;
        now + after
    }

    /// The pause is over: the next call starts.
    fn start_call(&mut self, now: f64) {
        self.harness.now = now;
        let actions = self.harness.handle(Event::Timer(self.token));
        assert_eq!(actions, [Action::PollEndpoints]);
    }
}

/// How calls end while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    RejectsLate,
    RejectsAtOnce,
    ResetsConnections,
    NeverResponds,
}

const OUTAGES: [Outage; 4] = [
    Outage::RejectsLate,
    Outage::RejectsAtOnce,
    Outage::ResetsConnections,
    Outage::NeverResponds,
];

impl Outage {
    fn event(self) -> EndpointEvent {
        match self {
            Outage::RejectsLate | Outage::RejectsAtOnce => EndpointEvent::DiscoveryRejected,
            Outage::ResetsConnections | Outage::NeverResponds => EndpointEvent::DiscoveryFailed,
        }
    }

    fn call_duration(self) -> f64 {
        match self {
            Outage::RejectsLate => QUEUE_TIMEOUT,
            Outage::RejectsAtOnce | Outage::ResetsConnections => IMMEDIATE_RESPONSE_TIME,
            Outage::NeverResponds => CALL_TIMEOUT,
        }
    }
}

/// Discovery that serves one call after the other once it has returned. It serves calls in vain that it has rejected
/// after their wait.
struct Discovery {
    outage: Outage,
    returns_at: f64,
    service_time: f64,
    free_at: f64,
}

impl Discovery {
    /// When a call ends, and with which event if it is not served.
    fn call(&mut self, now: f64) -> (f64, Option<EndpointEvent>) {
        if now < self.returns_at {
            return (now + self.outage.call_duration(), Some(self.outage.event()));
        }
        let service_starts_at = self.free_at.max(now);
        if service_starts_at - now > MAX_EXPECTED_WAIT {
            return (
                now + IMMEDIATE_RESPONSE_TIME,
                Some(EndpointEvent::DiscoveryRejected),
            );
        }
        self.free_at = service_starts_at + self.service_time;
        if service_starts_at - now > QUEUE_TIMEOUT {
            return (now + QUEUE_TIMEOUT, Some(EndpointEvent::DiscoveryRejected));
        }
        (self.free_at, None)
    }
}

/// What happens next to a replica.
enum ReplicaEvent {
    Call,
    End(Option<EndpointEvent>),
}

/// A fleet that lost discovery while its watches stood.
struct Fleet {
    replicas: Vec<Replica>,
    /// By time in microseconds and order of scheduling.
    events: BTreeMap<(u64, u64), (usize, ReplicaEvent)>,
    scheduled_count: u64,
}

impl Fleet {
    fn new(size: usize, outage: Outage, down_at: f64, seed: u64) -> Fleet {
        let settings = poll_settings(3000.0);
        let mut fleet = Fleet {
            replicas: Vec::new(),
            events: BTreeMap::new(),
            scheduled_count: 0,
        };
        for number in 0..size {
            // Watches are renewed at any time within the long poll.
            let phase = (number as f64 * 0.618_034).fract();
            let confirmed_at = down_at - LONG_POLL_TIMEOUT * phase;
            let replica = Replica::new(&settings, seed * 1000 + number as u64, confirmed_at);
            fleet.replicas.push(replica);
            let ends_at = match outage {
                Outage::NeverResponds => confirmed_at + WATCH_TIMEOUT,
                _ => down_at,
            };
            fleet.schedule(ends_at, number, ReplicaEvent::End(Some(outage.event())));
        }
        fleet
    }

    fn schedule(&mut self, at: f64, replica: usize, event: ReplicaEvent) {
        self.scheduled_count += 1;
        let at_us = (at * 1000.0) as u64;
        self.events
            .insert((at_us, self.scheduled_count), (replica, event));
    }

    /// When the last replica has a complete response.
    fn serve_all(&mut self, discovery: &mut Discovery) -> f64 {
        let mut last_served_at: f64 = 0.0;
        while let Some(((at_us, _), (number, event))) = self.events.pop_first() {
            let now = at_us as f64 / 1000.0;
            match event {
                ReplicaEvent::Call => {
                    self.replicas[number].start_call(now);
                    let (ends_at, failure) = discovery.call(now);
                    self.schedule(ends_at, number, ReplicaEvent::End(failure));
                }
                ReplicaEvent::End(Some(failure)) => {
                    let next_call_at = self.replicas[number].call_failed(now, failure);
                    self.schedule(next_call_at, number, ReplicaEvent::Call);
                }
                ReplicaEvent::End(None) => last_served_at = last_served_at.max(now),
            }
        }
        last_served_at
    }
}

/// For how long after its return the last replica of a fleet waits for a complete response.
fn longest_wait(
    size: usize,
    fleet_service_time: f64,
    outage: Outage,
    outage_duration: f64,
    seed: u64,
) -> f64 {
    const DOWN_AT: f64 = 20_000.0;
    let returns_at = DOWN_AT + outage_duration;
    let mut discovery = Discovery {
        outage,
        returns_at,
        service_time: (fleet_service_time / size as f64).min(MAX_SERVICE_TIME),
        free_at: returns_at,
    };
    let mut fleet = Fleet::new(size, outage, DOWN_AT, seed);
    fleet.serve_all(&mut discovery) - returns_at
}

/// Discovery needs 4.8 s for one call of each replica, or half a second each where these are few: four fifths of the
/// time that a change gets.
#[test]
fn fleets_of_any_size_are_served_within_the_deadline_after_an_outage() {
    const FLEET_SERVICE_TIME: f64 = 4800.0;
    let mut late = Vec::new();
    for size in [1, 6, 30, 273, 900] {
        for outage in OUTAGES {
            for seed in 0..4 {
                let outage_duration = 8000.0 + 370.0 * seed as f64;
                let wait = longest_wait(size, FLEET_SERVICE_TIME, outage, outage_duration, seed);
                if wait > NOTIFICATION_DEADLINE {
                    late.push((size, outage, seed, wait));
                }
            }
        }
    }
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

/// Discovery may return just after the start of a call that it rejects late, or that is never answered.
#[test]
fn calls_start_within_the_interval_whatever_failed_before() {
    let failures = [
        (EndpointEvent::DiscoveryRejected, QUEUE_TIMEOUT),
        (EndpointEvent::DiscoveryRejected, IMMEDIATE_RESPONSE_TIME),
        (EndpointEvent::DiscoveryFailed, IMMEDIATE_RESPONSE_TIME),
        (EndpointEvent::DiscoveryFailed, CALL_TIMEOUT),
    ];
    for (acknowledge_timeout, max_interval) in
        [(3000.0, MAX_CALL_INTERVAL), (10_000.0, MAX_CALL_INTERVAL)]
    {
        for seed in 0..200_u64 {
            let mut replica = Replica::new(&poll_settings(acknowledge_timeout), seed, 1000.0);
            let mut now = replica.call_failed(2000.0, EndpointEvent::DiscoveryRejected);
            for call in 0..8 {
                // Every order of the failures occurs, by the digits of the seed.
                let (event, duration) = failures[(seed >> (2 * (call % 4))) as usize % 4].clone();
                replica.start_call(now);
                let next = replica.call_failed(now + duration, event.clone());
                // Failures that are not rejections keep their own backoff, up to a third of the timeout.
                let is_rejection = event == EndpointEvent::DiscoveryRejected;
                if is_rejection || acknowledge_timeout == 3000.0 {
                    assert!(
                        next - now <= max_interval,
                        "seed {seed}, call {call}, {event:?}: {}",
                        next - now
                    );
                }
                assert!(next > now + duration, "seed {seed}: calls do not overlap");
                now = next;
            }
        }
    }
}

/// A settings' file may state a shorter time: after a failed call a replica counts as notified after four times that.
#[test]
fn calls_start_sooner_with_a_shorter_acknowledge_timeout() {
    for seed in 0..200 {
        let mut replica = Replica::new(&poll_settings(1000.0), seed, 1000.0);
        let mut now = replica.call_failed(2000.0, EndpointEvent::DiscoveryRejected);
        for _ in 0..6 {
            replica.start_call(now);
            let next = replica.call_failed(
                now + IMMEDIATE_RESPONSE_TIME,
                EndpointEvent::DiscoveryRejected,
            );
            assert!(next - now <= 1900.0, "seed {seed}: {}", next - now);
            now = next;
        }
    }
}

/// What a silent watch missed counts as notified 6 s after it fell silent, a rejected call in between or not.
#[test]
fn rejected_call_after_a_silent_watch_is_repeated_within_the_interval() {
    const SILENT_FROM: f64 = 1000.0;
    for seed in 0..200 {
        let mut replica = Replica::new(&poll_settings(3000.0), seed, SILENT_FROM);
        let watch_given_up_at = SILENT_FROM + WATCH_TIMEOUT;
        let now = replica.call_failed(watch_given_up_at, EndpointEvent::DiscoveryFailed);
        replica.start_call(now);
        let next = replica.call_failed(
            now + IMMEDIATE_RESPONSE_TIME,
            EndpointEvent::DiscoveryRejected,
        );
        assert!(
            next - SILENT_FROM <= MAX_CALL_INTERVAL,
            "seed {seed}: {}",
            next - SILENT_FROM
        );
    }
}
