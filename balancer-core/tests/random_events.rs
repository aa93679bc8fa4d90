//! Random events with fixed seeds; the harness checks every action against the rules.
mod common;

use balancer_core::{
    Action, AttemptOutcome, Availability, Class, DedupScope, Endpoint, EndpointEvent, Idempotency,
    Settings, UpstreamId,
};
use common::{class, endpoint, tenants, TestHarness};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const OUTCOMES: [AttemptOutcome; 10] = [
    AttemptOutcome::Success,
    AttemptOutcome::Success,
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::Unknown,
];

fn pick<T: Copy>(rng: &mut Pcg64Mcg, from: &[T]) -> T {
    from[rng.next_u32() as usize % from.len()]
}

/// An endpoint of one of two zones and three kinds.
fn placed_endpoint(id: u64) -> Endpoint {
    Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..endpoint(id)
    }
}

/// Eight classes with all kinds of idempotency and placement.
fn classes(seed: u64) -> Vec<Class> {
    let idempotency_key = |scope| Idempotency::IdempotencyKey {
        scope,
        window: 700.0,
    };
    // Requests whose late responses have no value end before the idempotency window ends: half of the seeds give late
    // responses some value.
    let late_weight = if seed.is_multiple_of(2) { 0.5 } else { 0.0 };
    let class = |idempotency| Class {
        late_weight,
        ..class(idempotency)
    };
    vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        class(idempotency_key(DedupScope::Group)),
        class(idempotency_key(DedupScope::All)),
        class(idempotency_key(DedupScope::Zone)),
        Class {
            allowed_zones: Some(vec![1]),
            ..class(Idempotency::NonIdempotent)
        },
        Class {
            allowed_kinds: Some(vec![0, 2]),
            ..class(Idempotency::Idempotent)
        },
        Class {
            allowed_zones: Some(vec![0]),
            allowed_kinds: Some(vec![1]),
            ..class(idempotency_key(DedupScope::All))
        },
    ]
}

fn settings(seed: u64, rng: &mut Pcg64Mcg) -> Settings {
    Settings {
        classes: classes(seed),
        rejects_after_start: seed % 4 < 2,
        tenants: if seed.is_multiple_of(2) {
            Vec::new()
        } else {
            tenants(&[0.5, 0.3, 0.2], 40.0)
        },
        max_attempts: 1 + rng.next_u32() % 4,
        cancel: !seed.is_multiple_of(5),
        poll_endpoints: seed % 8 < 4,
        replica_count: 1 + rng.next_u32() % 9,
        max_retry_after: 500.0,
        cross_zone_price: 0.2,
        ..Settings::default()
    }
}

/// Runs 1500 requests among random events, and returns the actions.
fn run(seed: u64) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let settings = settings(seed, &mut rng);
    let list = (1..9).map(placed_endpoint).collect();
    let mut harness = TestHarness::new(settings, seed, list);
    let mut started_at = 0.0;
    for id in 0..1500u32 {
        harness.advance(f64::from(rng.next_u32() % 40));
        change_endpoints(&mut harness, &mut rng, id, &mut started_at);
        let class = rng.next_u32() as usize % 8;
        let tenant = rng.next_u32() as usize % 5;
        harness.send_request(id, class, tenant);
        for _ in 0..rng.next_u32() % 4 {
            end_random_attempt(&mut harness, &mut rng);
        }
    }
    harness.advance(10_000.0);
    assert!(
        harness.requests.values().all(|record| record.is_completed),
        "seed {seed}: a request has no final response"
    );
    harness.actions
}

/// Changes the endpoint list, or suspends or restores an endpoint, now and then.
fn change_endpoints(
    harness: &mut TestHarness,
    rng: &mut Pcg64Mcg,
    request: u32,
    started_at: &mut f64,
) {
    match rng.next_u32() % 20 {
        0 => {
            *started_at += 1000.0;
            change_random_endpoint(harness, rng, *started_at);
        }
        1 if request.is_multiple_of(7) => {
            let list = (1..7).map(placed_endpoint).collect();
            harness.update_endpoints(EndpointEvent::Snapshot(list));
        }
        2 if harness.settings.poll_endpoints => {
            harness.update_endpoints(EndpointEvent::DiscoveryFailed);
        }
        3 if request.is_multiple_of(8) => harness.suspend(1 + u64::from(rng.next_u32() % 12)),
        4 | 5 => {
            if let Some(UpstreamId(id)) = harness.suspended.first().copied() {
                harness.restore(id);
            }
        }
        _ => {}
    }
}

fn change_random_endpoint(harness: &mut TestHarness, rng: &mut Pcg64Mcg, started_at: f64) {
    let id = 1 + u64::from(rng.next_u32() % 12);
    let availabilities = [
        Availability::Ready,
        Availability::Ready,
        Availability::Draining,
        Availability::Gone,
    ];
    let availability = pick(rng, &availabilities);
    let is_known = harness.known_endpoints.contains_key(&UpstreamId(id));
    if availability != Availability::Gone || is_known {
        let changed = Endpoint {
            availability,
            started_at,
            ..placed_endpoint(id)
        };
        harness.update_endpoints(EndpointEvent::Delta(vec![changed]));
    }
}

/// Ends an attempt in flight, or disconnects its client.
fn end_random_attempt(harness: &mut TestHarness, rng: &mut Pcg64Mcg) {
    let in_flight: Vec<(u32, usize)> = harness
        .requests
        .iter()
        .filter_map(|(id, record)| Some((id.0, record.first_attempt_in_flight()?)))
        .collect();
    let position = rng.next_u32() as usize % in_flight.len().max(1);
    let Some(&(id, attempt)) = in_flight.get(position) else {
        return;
    };
    if rng.next_u32().is_multiple_of(12) {
        harness.disconnect(id);
    } else {
        let outcome = pick(rng, &OUTCOMES);
        harness.end_attempt(id, attempt, outcome);
    }
}

#[test]
fn actions_follow_the_rules_under_random_events() {
    let mut sends = 0;
    for seed in 0..16 {
        sends += run(seed)
            .iter()
            .filter(|action| matches!(action, Action::Send { .. }))
            .count();
    }
    assert!(
        sends > 4000,
        "only {sends} attempts were sent: too few to prove anything"
    );
}

#[test]
fn same_events_cause_same_actions() {
    assert_eq!(run(17), run(17));
    assert_ne!(run(17), run(18));
}
