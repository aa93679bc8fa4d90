//! The schedule of calls for the endpoint list. A replica counts as notified of a change 6 s after discovery had the
//! change and could be reached. The next complete response has to arrive within that time, whatever preceded it and
//! however many replicas discovery serves from its queue. All times are in milliseconds, unless stated otherwise.
mod common;

use balancer_core::{Action, EndpointEvent, Event, Settings};
use common::{endpoints, TestHarness};
use std::collections::BTreeMap;

/// A replica counts as notified of a change at the latest this long after discovery had the change and could be
/// reached.
const NOTIFICATION_DEADLINE: f64 = 6000.0;
/// Discovery rejects a call that has waited in its queue for this long.
const QUEUE_TIMEOUT: f64 = 2000.0;
/// Discovery rejects a call at once that would wait longer than this.
const MAX_EXPECTED_WAIT: f64 = 2300.0;
/// A replica abandons a call that has no response after this time.
const CALL_TIMEOUT: f64 = 2800.0;
/// A replica abandons a watch that has no response after this time.
const WATCH_TIMEOUT: f64 = 2500.0;
/// Discovery holds a watch's call for this long if nothing changes.
const LONG_POLL_TIMEOUT: f64 = 1500.0;
/// How long discovery takes to respond to a call that does not wait in the queue.
const IMMEDIATE_RESPONSE_TIME: f64 = 5.0;
/// Longest time in which discovery serves a call; it needs less where it serves large fleets.
const MAX_SERVICE_TIME: f64 = 500.0;
/// Longest time between the starts of two calls at which the second is still served within the deadline after a wait
/// in the queue, even if discovery returned just after the start of the first.
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
    /// Token of the timer that ends its pause between calls.
    token: u32,
}

impl Replica {
    /// A replica whose endpoint list discovery confirmed at `confirmed_at`.
    fn new(settings: &Settings, seed: u64, confirmed_at: f64) -> Replica {
        let mut harness = TestHarness::new(settings.clone(), seed, endpoints(1));
        harness.now = harness.now.max(confirmed_at);
        harness.update_endpoints(EndpointEvent::Unchanged);
        Replica { harness, token: 0 }
    }

    /// Ends a call without a list. Returns when the next one starts.
    fn call_failed(&mut self, now: f64, event: EndpointEvent) -> f64 {
        self.harness.now = now;
        let actions = self.harness.handle(Event::Endpoints(event));
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) =
            timer.unwrap_or_else(|| panic!("no timer to poll again was set: {actions:?}"));
        self.token = token;
        now + after
    }

    /// Ends the pause and starts the next call.
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

/// Discovery, which serves one call after another once it has returned. It spends the service time also on calls that
/// it has rejected after their wait.
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

/// The next event of a replica.
enum ReplicaEvent {
    /// A call starts.
    Call,
    /// A call ends: with this failure, or served.
    End(Option<EndpointEvent>),
}

/// A fleet that lost discovery while its watches were open.
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
            // The replicas renewed their watches at different times within the long poll.
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

/// How long after the return of discovery the last replica of a fleet has a complete response.
/// `fleet_service_time` is how long discovery takes to serve one call of each replica.
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

/// Discovery needs 4.8 s to serve one call of each replica, four fifths of the deadline. In small fleets it needs less:
/// at most half a second for each call.
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
    assert!(
        late.is_empty(),
        "{} fleets were served late (replicas, outage, seed, wait in ms): {late:#?}",
        late.len()
    );
}

/// Discovery may return just after the start of a call that it rejects late or never answers.
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
                // The base-four digits of the seed choose the failures, so that they occur in many orders.
                let (event, duration) = failures[(seed >> (2 * (call % 4))) as usize % 4].clone();
                replica.start_call(now);
                let next = replica.call_failed(now + duration, event.clone());
                // Failures that are not rejections have their own backoff, up to a third of the acknowledge timeout.
                // If that is 10 s, the backoff may exceed the interval.
                let is_rejection = event == EndpointEvent::DiscoveryRejected;
                if is_rejection || acknowledge_timeout == 3000.0 {
                    assert!(
                        next - now <= max_interval,
                        "seed {seed}, call {call}, {event:?}: the next call starts {} ms after this one",
                        next - now
                    );
                }
                assert!(
                    next > now + duration,
                    "seed {seed}: the next call starts before this one ends"
                );
                now = next;
            }
        }
    }
}

/// Settings may state a shorter acknowledge timeout: a replica counts as notified once four times that timeout
/// have passed since a failed call.
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
            assert!(
                next - now <= 1900.0,
                "seed {seed}: calls start {} ms apart",
                next - now
            );
            now = next;
        }
    }
}

/// A change that a silent watch missed counts as notified 6 s after the watch fell silent, whether or not a call was
/// rejected in between.
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
            "seed {seed}: the next call starts {} ms after the watch fell silent",
            next - SILENT_FROM
        );
    }
}
