//! The four rules under random events (fixed seeds), by a checker that knows nothing of the decisions.
mod common;

use balancer_core::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn pick<T: Copy>(rng: &mut Pcg64Mcg, from: &[T]) -> T {
    from[rng.next_u32() as usize % from.len()]
}

fn storm(seed: u64) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let guarded = |scope| Idempotency::IdempotencyKey {
        scope,
        window: 700.0,
    };
    // Where late answers earn nothing, requests end before the window does: half of the storms let them last.
    let class = |idempotency| Class {
        late_weight: if seed.is_multiple_of(2) { 0.5 } else { 0.0 },
        ..class(idempotency)
    };
    let settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(guarded(DedupScope::Group)),
            class(guarded(DedupScope::All)),
            class(guarded(DedupScope::Zone)),
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
                ..class(guarded(DedupScope::All))
            },
        ],
        rejects_after_start: seed % 4 < 2,
        tenants: if seed.is_multiple_of(2) {
            Vec::new()
        } else {
            tenants(&[0.5, 0.3, 0.2], 40.0)
        },
        max_attempts: 1 + rng.next_u32() % 4,
        cancel: !seed.is_multiple_of(5),
        poll_endpoints: seed % 8 < 4,
        balancers: 1 + rng.next_u32() % 9,
        max_retry_after: 500.0,
        cross_zone_price: 0.2,
        ..Settings::default()
    };
    let zoned = |id: u64| Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..member(id)
    };
    let mut world = World::new(settings, seed, (1..9).map(zoned).collect());
    let mut started_at = 0.0;
    for id in 0..1500u32 {
        world.pass(f64::from(rng.next_u32() % 40));
        match rng.next_u32() % 20 {
            0 => {
                started_at += 1000.0;
                let id = 1 + u64::from(rng.next_u32() % 12);
                let ready = Availability::Ready;
                let availability = pick(
                    &mut rng,
                    &[ready, ready, Availability::Draining, Availability::Gone],
                );
                if availability != Availability::Gone || world.listed.contains_key(&UpstreamId(id))
                {
                    world.list(EndpointEvent::Delta(vec![Endpoint {
                        availability,
                        started_at,
                        ..zoned(id)
                    }]));
                }
            }
            1 if id.is_multiple_of(7) => {
                world.list(EndpointEvent::Snapshot((1..7).map(zoned).collect()))
            }
            2 if world.settings.poll_endpoints => world.list(EndpointEvent::DiscoveryFailed),
            3 if id.is_multiple_of(8) => world.suspend(1 + u64::from(rng.next_u32() % 12)),
            4 | 5 => {
                if let Some(UpstreamId(id)) = world.suspended.first().copied() {
                    world.restore(id);
                }
            }
            _ => {}
        }
        world.request(id, rng.next_u32() as usize % 8, rng.next_u32() as usize % 5);
        let endings = [
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
        for _ in 0..rng.next_u32() % 4 {
            let open = |s: &Seen| s.ended.iter().position(Option::is_none);
            let out: Vec<_> = world
                .seen
                .iter()
                .filter_map(|(id, s)| Some((id.0, open(s)?)))
                .collect();
            if let Some(&(id, attempt)) = out.get(rng.next_u32() as usize % out.len().max(1)) {
                match rng.next_u32() % 12 {
                    0 => drop(world.gone(id)),
                    _ => drop(world.outcome(id, attempt, pick(&mut rng, &endings))),
                }
            }
        }
    }
    world.pass(10_000.0);
    assert!(
        world.seen.values().all(|s| s.answered),
        "every request has its final answer"
    );
    world.log
}

#[test]
fn random_storms_keep_the_rules() {
    let mut sends = 0;
    for seed in 0..16 {
        sends += storm(seed)
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count();
    }
    assert!(
        sends > 4000,
        "the storms sent {sends} attempts only: too few to prove anything"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(storm(17), storm(17));
    assert_ne!(storm(17), storm(18));
}

fn one_class(idempotency: Idempotency) -> Settings {
    // Late answers are worth something, so that requests last until their deadline.
    let class = Class {
        late_weight: 0.5,
        ..class(idempotency)
    };
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}

#[test]
fn a_single_shot_goes_on_after_proof_that_it_never_ran_and_stops_otherwise() {
    let mut world = World::new(
        one_class(Idempotency::NonIdempotent),
        1,
        (1..5).map(member).collect(),
    );
    world.request(1, 0, 0);
    assert!(
        matches!(
            world.outcome(1, 0, AttemptOutcome::Rejected)[..],
            [Action::Send { .. }]
        ),
        "never ran: sent again"
    );
    assert!(matches!(
        world.outcome(1, 1, AttemptOutcome::Rejected)[..],
        [Action::Send { .. }]
    ));
    assert!(
        matches!(
            world.outcome(1, 2, AttemptOutcome::Rejected)[..],
            [Action::Reject { .. }]
        ),
        "attempts are spent"
    );
    world.request(2, 0, 0);
    assert!(
        matches!(
            world.outcome(2, 0, AttemptOutcome::Reset)[..],
            [Action::Fail { .. }]
        ),
        "it may have run"
    );
}

#[test]
fn full_is_no_proof_where_upstreams_shed_work_that_they_had_begun() {
    let settings = Settings {
        rejects_after_start: true,
        ..one_class(Idempotency::NonIdempotent)
    };
    let mut world = World::new(settings, 1, (1..5).map(member).collect());
    world.request(1, 0, 0);
    assert!(
        matches!(
            world.outcome(1, 0, AttemptOutcome::Rejected)[..],
            [Action::Fail { .. }]
        ),
        "it may have run"
    );
    world.request(2, 0, 0);
    assert!(
        matches!(
            world.outcome(2, 0, AttemptOutcome::ConnectFailed)[..],
            [Action::Send { .. }]
        ),
        "it never ran"
    );

    let guarded = Idempotency::IdempotencyKey {
        scope: DedupScope::Group,
        window: 700.0,
    };
    let settings = Settings {
        rejects_after_start: true,
        ..one_class(guarded)
    };
    let groups = |id| Endpoint {
        group: (id % 2) as u16,
        ..member(id)
    };
    let mut world = World::new(settings, 1, (1..9).map(groups).collect());
    for id in 0..40 {
        world.request(id, 0, 0);
        world.pass(50.0);
        // The checker holds the group and the window to the attempt that was answered 'full'.
        world.outcome(id, 0, AttemptOutcome::Rejected);
        if world.seen[&RequestId(id)].ended.len() == 2 {
            world.outcome(id, 1, AttemptOutcome::Success);
        }
    }
}

/// Guards against repeats that wait for a connection and arrive when upstreams no longer discard them.
#[test]
fn a_guarded_request_is_not_repeated_where_connecting_could_outlast_its_window() {
    let guarded = Idempotency::IdempotencyKey {
        scope: DedupScope::All,
        window: 700.0,
    };
    for (after, repeated) in [(550.0, true), (620.0, false)] {
        let settings = Settings {
            connect_timeout: 100.0,
            ..one_class(guarded)
        };
        let mut world = World::new(settings, 1, (1..5).map(member).collect());
        world.request(1, 0, 0);
        world.pass(after);
        let actions = world.outcome(1, 0, AttemptOutcome::Reset);
        let sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        assert_eq!(sent, repeated, "{after} ms after the first attempt");
    }
}

#[test]
fn a_class_goes_only_where_it_is_placed_and_is_refused_when_nothing_there_is_ready() {
    let placed = Class {
        allowed_zones: Some(vec![1]),
        allowed_kinds: Some(vec![2]),
        ..class(Idempotency::Idempotent)
    };
    let settings = Settings {
        classes: vec![placed],
        ..Settings::default()
    };
    let far = |id| Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..member(id)
    };
    // Of sixty, ten are open to the class: drawing among all would miss them often.
    let mut world = World::new(settings, 1, (1..=60).map(far).collect());
    for id in 0..200 {
        assert!(
            matches!(world.request(id, 0, 0)[..], [.., Action::Send { .. }]),
            "request {id} finds a place"
        );
        world.outcome(
            id,
            0,
            if id % 9 == 0 {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            },
        );
        if world.seen[&RequestId(id)].ended.last() == Some(&None) {
            world.outcome(id, 1, AttemptOutcome::Success);
        }
    }
    let elsewhere = |id: &u64| !(id % 2 == 1 && id % 3 == 2);
    world.list(EndpointEvent::Snapshot(
        (1..=60).filter(elsewhere).map(far).collect(),
    ));
    assert!(
        matches!(world.request(999, 0, 0)[..], [Action::Reject { .. }]),
        "never anywhere else"
    );
}

#[test]
fn bad_settings_name_their_field() {
    let field = |change: &dyn Fn(&mut Settings)| {
        let mut s = Settings {
            tenants: tenants(&[1.0], 10.0),
            ..Settings::default()
        };
        change(&mut s);
        Balancer::new(s, 1, 0.0).err().map(|e| e.field)
    };
    assert_eq!(field(&|_| {}), None);
    assert_eq!(field(&|s| s.balancers = 0), Some("balancers"));
    assert_eq!(field(&|s| s.classes.clear()), Some("classes"));
    assert_eq!(
        field(&|s| s.classes[0].objective = f64::NAN),
        Some("classes.objective")
    );
    assert_eq!(
        field(&|s| s.classes[0].deadline = -1.0),
        Some("classes.deadline")
    );
    assert_eq!(
        field(&|s| s.classes[0].allowed_zones = Some(Vec::new())),
        Some("classes.allowed_zones")
    );
    assert_eq!(
        field(&|s| s.classes[0].allowed_kinds = Some(Vec::new())),
        Some("classes.allowed_kinds")
    );
    assert_eq!(
        field(&|s| s.tenants[0].quota_per_s = 1e300),
        Some("tenants.quota_per_s")
    );
    assert_eq!(
        field(&|s| s.slow_start_duration = f64::INFINITY),
        Some("slow_start_duration")
    );
    assert_eq!(
        field(&|s| s.poll_acknowledge_timeout = 0.0),
        Some("poll_acknowledge_timeout")
    );
}

/// Deployments that nobody has seen yet: each is served, and keeps the rules, whatever its settings leave out.
#[test]
fn settings_of_deployments_never_seen_are_served() {
    type Change = &'static dyn Fn(&mut Settings);
    let changes: [(&str, Change); 12] = [
        ("no tenants", &|s| s.tenants.clear()),
        ("tenants without a share or a quota", &|s| {
            s.tenants = tenants(&[0.0, 0.0], 0.0)
        }),
        ("an objective over the deadline", &|s| {
            s.classes[0].objective = 60_000.0
        }),
        ("an objective of almost nothing", &|s| {
            s.classes[0].objective = 0.001
        }),
        ("worth that lasts", &|s| s.classes[0].late_weight = 1.0),
        ("a number beyond the copies stated", &|s| {
            (s.index, s.balancers) = (700, 3)
        }),
        ("a zone of its own", &|s| {
            (s.zone, s.cross_zone_price) = (9, 1.0)
        }),
        ("nothing cold, no window", &|s| {
            (
                s.slow_start_initial_fraction,
                s.slow_start_duration,
                s.slow_start_overload_window,
            ) = (1.0, 0.0, 0.0)
        }),
        ("all cold", &|s| {
            (
                s.slow_start_initial_fraction,
                s.slow_start_duration,
                s.slow_start_overload_window,
            ) = (0.0, 1e15, 1e15)
        }),
        ("one attempt", &|s| s.max_attempts = 1),
        ("connections that never rest", &|s| s.idle_close = 0.0),
        ("a lower tier", &|s| s.tier = 7),
    ];
    for (what, change) in changes {
        let mut settings = Settings {
            tenants: tenants(&[0.7, 0.3], 90.0),
            ..one_class(Idempotency::Idempotent)
        };
        settings.cross_zone_price = 0.01;
        change(&mut settings);
        let in_zones = |id| Endpoint {
            zone: (id % 3) as u16,
            ..member(id)
        };
        let mut w = World::new(settings, 5, (1..=9).map(in_zones).collect());
        w.traffic(5000.0, 40.0, &[0, 1, 5], &|_| {
            Some((AttemptOutcome::Success, 20.0))
        });
        let (sent, _) = w.sent_since(0.0);
        assert!(sent > 150, "{what}: {sent} of 200 sent");
    }
}

#[test]
fn a_guarded_request_is_repeated_within_its_group_and_window_only() {
    let guarded = Idempotency::IdempotencyKey {
        scope: DedupScope::Group,
        window: 700.0,
    };
    let members = |group| {
        (1..5)
            .map(|id| Endpoint {
                group,
                ..member(id)
            })
            .collect::<Vec<_>>()
    };
    let mut world = World::new(one_class(guarded), 1, members(4));
    world.request(1, 0, 0);
    world.pass(600.0);
    assert!(
        matches!(
            world.outcome(1, 0, AttemptOutcome::Error)[..],
            [Action::Send { .. }]
        ),
        "they remember it"
    );
    world.request(2, 0, 0);
    world.pass(701.0);
    assert!(
        matches!(
            world.outcome(2, 0, AttemptOutcome::Error)[..],
            [Action::Fail { .. }]
        ),
        "they have forgotten it"
    );
    let strangers = (1..5)
        .map(|id| Endpoint {
            group: id as u16,
            ..member(id)
        })
        .collect();
    let mut world = World::new(one_class(guarded), 1, strangers);
    world.request(1, 0, 0);
    let again = world.outcome(1, 0, AttemptOutcome::Error);
    let to = |a: &Action| matches!(a, Action::Send { upstream, .. } if *upstream == world.seen[&RequestId(1)].sends[0].0);
    assert!(
        again
            .iter()
            .all(|a| matches!(a, Action::Fail { .. }) || to(a)),
        "no other has its key: {again:?}"
    );
}

#[test]
fn an_upstream_that_drains_or_is_gone_gets_nothing_from_then_on() {
    let mut world = World::new(Settings::default(), 1, (1..4).map(member).collect());
    let gone = |id, availability| Endpoint {
        availability,
        ..member(id)
    };
    world.list(EndpointEvent::Delta(vec![
        gone(1, Availability::Draining),
        gone(2, Availability::Gone),
    ]));
    for id in 0..50 {
        world.request(id, 0, 0);
        world.outcome(id, 0, AttemptOutcome::Success);
    }
    assert!(world
        .seen
        .values()
        .all(|s| s.sends.iter().all(|(to, _)| *to == UpstreamId(3))));
    world.list(EndpointEvent::Snapshot(Vec::new()));
    assert!(
        matches!(world.request(99, 0, 0)[..], [Action::Reject { .. }]),
        "what a full list lacks is gone"
    );
}

/// Staff take a machine out: the list may drop it, name it again or call it ready, and it still gets nothing.
#[test]
fn a_suspended_upstream_gets_nothing_until_it_is_restored_whatever_the_list_says() {
    let mut world = World::new(Settings::default(), 1, (1..4).map(member).collect());
    let sent = |world: &mut World, from: u32| {
        let start = world.now;
        for id in from..from + 50 {
            world.request(id, 0, 0);
            world.outcome(id, 0, AttemptOutcome::Success);
            world.pass(100.0);
        }
        world
            .sent_since(start)
            .1
            .get(&UpstreamId(1))
            .copied()
            .unwrap_or(0)
    };
    assert!(sent(&mut world, 0) > 0, "it is in use before");
    world.suspend(1);
    world.suspend(1);
    assert_eq!(
        (
            sent(&mut world, 100),
            world.balancer.endpoint_counts(world.now)
        ),
        (0, counts(3, 1))
    );
    world.list(EndpointEvent::Snapshot((2..4).map(member).collect()));
    assert_eq!(
        world.balancer.endpoint_counts(world.now),
        counts(2, 0),
        "what is not listed is not counted"
    );
    world.list(EndpointEvent::Delta(vec![Endpoint {
        started_at: world.now,
        ..member(1)
    }]));
    assert_eq!(sent(&mut world, 200), 0, "gone and back");
    world.list(EndpointEvent::Snapshot((1..4).map(member).collect()));
    assert_eq!(sent(&mut world, 300), 0, "a whole new list");
    world.restore(1);
    assert_eq!(world.balancer.endpoint_counts(world.now), counts(3, 0));
    assert!(sent(&mut world, 400) > 0, "one call back undoes both");
}

#[test]
fn where_all_upstreams_are_suspended_calls_are_refused_at_once() {
    let mut world = World::new(Settings::default(), 1, (1..4).map(member).collect());
    (1..4).for_each(|id| world.suspend(id));
    assert!(matches!(
        world.request(1, 0, 0)[..],
        [Action::Reject { .. }]
    ));
}

#[test]
fn no_ready_upstream_is_a_refusal_at_once() {
    let mut world = World::new(Settings::default(), 1, Vec::new());
    assert!(matches!(
        world.request(1, 0, 0)[..],
        [Action::Reject { .. }]
    ));
    world.list(EndpointEvent::Snapshot(vec![Endpoint {
        availability: Availability::Draining,
        ..member(1)
    }]));
    assert!(matches!(
        world.request(2, 0, 0)[..],
        [Action::Reject { .. }]
    ));
}

#[test]
fn a_killed_instance_starts_from_nothing_but_its_cached_list() {
    let settings = Settings {
        poll_endpoints: true,
        ..Settings::default()
    };
    let mut world = World::new(settings.clone(), 5, vec![member(1)]);
    world.request(1, 0, 0);
    let mut again = World::new(settings, 6, vec![member(1)]);
    assert!(
        again.log.contains(&Action::PollEndpoints),
        "it asks for the list at once"
    );
    let late = Event::AttemptEnded {
        request: RequestId(1),
        attempt: 0,
        outcome: AttemptOutcome::Success,
        duration: 5.0,
        request_completed: true,
    };
    assert!(
        again.event(late).is_empty(),
        "outcomes of a former life are ignored"
    );
    assert!(matches!(again.request(2, 0, 0)[..], [Action::Send { .. }]));
}

#[test]
fn unknown_classes_tenants_requests_and_timers_do_no_harm() {
    let mut world = World::new(Settings::default(), 1, vec![member(1)]);
    let stranger = Request {
        id: RequestId(9),
        class: 7,
        tenant: 7,
        deadline: 900.0,
    };
    let mut actions = Vec::new();
    world
        .balancer
        .handle(0.0, Event::Request(stranger), &mut actions);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "an unknown class is refused: nothing has run"
    );
    assert!(world
        .event(Event::ClientDisconnected(RequestId(77)))
        .is_empty());
    assert!(world.event(Event::Timer(12345)).is_empty());
    assert!(world
        .event(Event::ResponseStarted {
            request: RequestId(77),
            attempt: 3
        })
        .is_empty());
    assert!(
        matches!(world.request(1, 0, 999)[..], [Action::Send { .. }]),
        "an unlisted tenant is served"
    );
}

/// The module must not panic, whatever the host hands it.
#[test]
fn odd_numbers_for_times_do_no_harm() {
    let odd = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -5.0,
        0.0,
        1e300,
        40.0,
    ];
    let mut balancer = Balancer::new(one_class(Idempotency::Idempotent), 3, 0.0).expect("settings");
    let mut actions = Vec::new();
    for (n, &now) in odd.iter().cycle().take(500).enumerate() {
        let (id, value) = (RequestId(n as u32), odd[n / 7 % 7]);
        let list = (1..5)
            .map(|id| Endpoint {
                started_at: value,
                ..member(id)
            })
            .collect();
        balancer.handle(
            now,
            Event::Endpoints(EndpointEvent::Snapshot(list)),
            &mut actions,
        );
        let request = Request {
            id,
            class: 0,
            tenant: n % 3,
            deadline: value,
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        let (attempt, outcome) = (
            n as u32 % 2,
            if n.is_multiple_of(3) {
                AttemptOutcome::Timeout
            } else {
                AttemptOutcome::Success
            },
        );
        let outcome = Event::AttemptEnded {
            request: id,
            attempt,
            outcome,
            duration: value,
            request_completed: n.is_multiple_of(2),
        };
        balancer.handle(now, outcome.clone(), &mut actions);
        balancer.handle(now, outcome, &mut actions);
        balancer.handle(now, Event::Timer(0), &mut actions);
    }
    let spans = actions.iter().filter_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(
        spans.clone().count() > 0 && !spans.clone().any(f64::is_nan),
        "{:?}",
        spans.collect::<Vec<_>>()
    );
}

#[test]
fn the_list_is_asked_for_again_with_backoff_well_within_ask_within() {
    let settings = Settings {
        poll_endpoints: true,
        ..Settings::default()
    };
    let mut world = World::new(settings.clone(), 3, vec![member(1)]);
    let mut waits = Vec::new();
    for _ in 0..12 {
        let actions = world.event(Event::Endpoints(EndpointEvent::DiscoveryFailed));
        let wait = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = wait.expect("a timer to ask again");
        world.now += after;
        assert_eq!(world.event(Event::Timer(token)), [Action::PollEndpoints]);
        waits.push(after);
    }
    assert!(waits[11] > 4.0 * waits[0], "the pauses grow: {waits:?}");
    assert!(
        waits
            .iter()
            .all(|&w| w < settings.poll_acknowledge_timeout / 2.0),
        "never counts as told: {waits:?}"
    );
}

/// Hundreds of replicas lost discovery at once, whose calls it then refused. If they call again as soon as after other failures,
/// its queue stays full of calls that it fails once they have waited for too long, and none is served.
#[test]
fn replicas_that_discovery_refused_together_come_back_spread_over_seconds() {
    const REPLICAS: usize = 300;
    let settings = Settings {
        poll_endpoints: true,
        poll_acknowledge_timeout: 3000.0,
        ..Settings::default()
    };
    let mut calls = Vec::new();
    for seed in 0..REPLICAS as u64 {
        let mut world = World::new(settings.clone(), seed, vec![member(1)]);
        world.event(Event::Endpoints(EndpointEvent::DiscoveryRejected));
        let actions = world.event(Event::Endpoints(EndpointEvent::DiscoveryRejected));
        let after = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        });
        calls.push(after.expect("a timer to ask again"));
    }
    let busiest = (0..45).map(|tenth| {
        let from = f64::from(tenth) * 100.0;
        calls
            .iter()
            .filter(|&&at| (from..from + 1000.0).contains(&at))
            .count()
    });
    assert!(busiest.max().expect("some") < REPLICAS * 2 / 5, "{calls:?}");
    // And each comes early enough for its call to be served before news counts as told.
    assert!(calls.iter().all(|&at| at <= 4500.0), "{calls:?}");
    // A replica that knows no endpoint has to be ready soon.
    let mut world = World::new(settings, 1, Vec::new());
    for _ in 0..10 {
        let actions = world.event(Event::Endpoints(EndpointEvent::DiscoveryRejected));
        assert!(actions
            .iter()
            .all(|a| !matches!(a, Action::SetTimer { after, .. } if *after > 1000.0)));
    }
}

/// An upstream that turns requests away while discovery has confirmed nothing for long may have begun to drain.
#[test]
fn an_upstream_that_declines_while_the_list_is_stale_is_left_alone_until_discovery_answers() {
    let settings = Settings {
        poll_endpoints: true,
        poll_acknowledge_timeout: 3000.0,
        ..Settings::default()
    };
    let mut world = World::new(settings, 1, vec![member(1), member(2)]);
    world.list(EndpointEvent::Unchanged);
    let declines = |world: &mut World, id| {
        let sent = world.request(id, 0, 0);
        assert!(matches!(sent[..], [.., Action::Send { .. }]), "{sent:?}");
        world.outcome(id, 0, AttemptOutcome::Rejected);
        world.outcome(id, 1, AttemptOutcome::Success);
        world.balancer.endpoint_counts(world.now).avoided
    };
    assert_eq!(
        declines(&mut world, 1),
        0,
        "while the list is fresh a decline tells of a full queue"
    );
    world.now += 4000.0;
    assert_eq!(declines(&mut world, 2), 1, "now it may drain");
    world.list(EndpointEvent::Unchanged);
    assert_eq!(
        world.balancer.endpoint_counts(world.now),
        counts(2, 0),
        "discovery says that it does not"
    );
}

/// Hundreds of balancers see one upstream restart; together they must stay under the tipping point.
#[test]
fn a_cold_upstream_is_not_pushed_over_by_all_together() {
    stays_under_the_tipping_point(|w| {
        w.list(EndpointEvent::Delta(vec![Endpoint {
            started_at: w.now,
            ..member(1)
        }]))
    });
}

/// The same where staff took it out and back and the list does not tell that it was restarted meanwhile.
#[test]
fn a_restored_upstream_is_cold_before_the_list_says_so() {
    stays_under_the_tipping_point(|w| {
        w.suspend(1);
        w.restore(1);
    });
}

fn stays_under_the_tipping_point(restart: impl Fn(&mut World)) {
    const COPIES: u32 = 200;
    let settings = |index| Settings {
        index,
        balancers: COPIES,
        slow_start_initial_fraction: 0.15,
        slow_start_duration: 20_000.0,
        slow_start_overload_factor: 2.5,
        ..Settings::default()
    };
    let members = || (1..=20).map(member).collect::<Vec<_>>();
    let mut worlds: Vec<World> = (0..COPIES)
        .map(|i| World::new(settings(i), u64::from(i), members()))
        .collect();
    let (mut id, mut sent_to, mut cold_sends) = (0, 0, Vec::new());
    for step in 0..200 {
        // Two calls a second and copy, answered after 50 ms; the upstream restarts after ten seconds.
        for (i, w) in worlds.iter_mut().enumerate() {
            if step == 100 {
                restart(w);
            }
            if (step + i).is_multiple_of(5) {
                id += 1;
                w.request(id, 0, 0);
                if let Some(&(to, at)) = w.seen[&RequestId(id)].sends.last() {
                    sent_to += u32::from(step >= 100);
                    if to == UpstreamId(1) && step >= 100 {
                        cold_sends.push(at);
                    }
                    w.pass(50.0);
                    w.outcome(id, 0, AttemptOutcome::Success);
                    w.pass(50.0);
                    continue;
                }
            }
            w.pass(100.0);
        }
    }
    assert!(sent_to > 3000, "the others carry on: {sent_to}");
    // 400 calls a second over 20 upstreams: each carries 20 a second at least.
    for window in 0..10 {
        let from = 10_000.0 + f64::from(window) * 1000.0;
        let calls = cold_sends
            .iter()
            .filter(|&&t| t >= from && t < from + 1000.0)
            .count() as f64;
        let warmth = 0.15 + 0.85 * f64::from(window) / 20.0;
        assert!(
            calls <= 2.5 * 20.0 * warmth,
            "{calls} calls in second {window} at warmth {warmth}"
        );
    }
    assert!(!cold_sends.is_empty(), "it is warmed up, not shut out");
}

fn balancer(upstreams: u64, idempotency: Idempotency) -> Balancer {
    let mut balancer = Balancer::new(one_class(idempotency), 3, 0.0).expect("settings");
    let list = (1..=upstreams).map(member).collect();
    balancer.handle(
        0.0,
        Event::Endpoints(EndpointEvent::Snapshot(list)),
        &mut Vec::new(),
    );
    balancer
}

fn tell(balancer: &mut Balancer, now: f64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(now, event, &mut actions);
    actions.retain(|a| !matches!(a, Action::SetTimer { .. } | Action::Log(_)));
    actions
}

/// A large request: it goes on while it comes, and its time begins with its last byte.
fn coming(balancer: &mut Balancer, id: u32) -> Vec<Action> {
    let request = Request {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        deadline: f64::INFINITY,
    };
    tell(balancer, 0.0, Event::Request(request))
}

/// Guards against passing over every upstream that a slow caller sends to: it owes no answer yet.
#[test]
fn an_upstream_owes_no_answer_while_the_request_still_comes() {
    let mut balancer = balancer(2, Idempotency::NonIdempotent);
    assert!(matches!(
        coming(&mut balancer, 1)[..],
        [Action::Send { timeout: 0.0, .. }]
    ));
    assert_eq!(balancer.endpoint_counts(60_000.0), counts(2, 0));
    let whole = Event::RequestBodyComplete {
        request: RequestId(1),
        deadline: 62_000.0,
    };
    assert!(tell(&mut balancer, 60_000.0, whole).is_empty());
    assert_eq!(balancer.endpoint_counts(60_010.0), counts(2, 0));
    assert_eq!(
        balancer.endpoint_counts(90_000.0),
        counts(2, 1),
        "from then on it owes one"
    );
}

#[test]
fn an_upstream_owes_nothing_while_its_answer_is_passed_on_and_what_breaks_off_is_not_repeated() {
    let mut balancer = balancer(2, Idempotency::Idempotent);
    let request = Request {
        id: RequestId(1),
        class: 0,
        tenant: 0,
        deadline: 2000.0,
    };
    assert!(matches!(
        tell(&mut balancer, 0.0, Event::Request(request))[..],
        [Action::Send { .. }]
    ));
    let begun = Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
    };
    assert!(tell(&mut balancer, 100.0, begun).is_empty());
    assert_eq!(balancer.endpoint_counts(60_000.0), counts(2, 0));
    let (outcome, duration, request_completed) = (AttemptOutcome::Reset, 100.0, true);
    let broke = Event::AttemptEnded {
        request: RequestId(1),
        attempt: 0,
        outcome,
        duration,
        request_completed,
    };
    assert!(tell(&mut balancer, 60_000.0, broke).is_empty());
}

#[test]
fn what_is_no_longer_held_is_not_sent_again() {
    for (spent, again) in [(false, true), (true, false)] {
        let mut balancer = balancer(2, Idempotency::NonIdempotent);
        coming(&mut balancer, 1);
        if spent {
            assert!(tell(&mut balancer, 5.0, Event::BodyDiscarded(RequestId(1))).is_empty());
        }
        let (outcome, duration, request_completed) = (AttemptOutcome::Rejected, 0.0, false);
        let turned = Event::AttemptEnded {
            request: RequestId(1),
            attempt: 0,
            outcome,
            duration,
            request_completed,
        };
        let then = tell(&mut balancer, 10.0, turned);
        assert_eq!(matches!(then[..], [Action::Send { .. }]), again, "{then:?}");
        assert_eq!(
            matches!(then[..], [Action::Reject { .. }]),
            !again,
            "it has surely not run: {then:?}"
        );
    }
}
