//! One test for each failure met: it fails without the guard that the policy names it at.
mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

fn fast(_: UpstreamId) -> Option<(AttemptOutcome, f64)> {
    Some((AttemptOutcome::Success, 50.0))
}

fn slow(_: UpstreamId) -> Option<(AttemptOutcome, f64)> {
    Some((AttemptOutcome::Success, 900.0))
}

fn world(settings: Settings, upstreams: u64) -> World {
    World::new(settings, 4, (1..=upstreams).map(member).collect())
}

/// Settings of one class (objective 500 ms) and of tenants with these shares of 60 requests a second.
fn shared(shares: &[f64]) -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        tenants: tenants(shares, 60.0),
        ..Settings::default()
    }
}

#[test]
fn an_over_limit_tenant_is_refused_and_one_within_its_share_is_not() {
    let mut w = world(shared(&[0.6, 0.4]), 4);
    // Tenant 0 asks for nine times as much as tenant 1; answers come late, so capacity is short.
    w.traffic(20_000.0, 150.0, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 1], &|_| {
        Some((AttemptOutcome::Success, 232.0))
    });
    let share = |tenant: usize| {
        let of = |id: &RequestId| usize::from(id.0 % 10 == 9) == tenant;
        let asked = w
            .seen
            .iter()
            .filter(|(id, s)| of(id) && s.deadline > 12_000.0);
        let (all, sent) = asked.fold((0u32, 0u32), |(a, n), (_, s)| {
            (a + 1, n + u32::from(!s.sends.is_empty()))
        });
        f64::from(sent) / f64::from(all)
    };
    assert!(share(1) > 0.95, "within its share: {} passes", share(1));
    assert!(share(0) < 0.9, "over its share: {} passes", share(0));
}

/// Capacity once spiralled down on old news and took half a minute to come back.
#[test]
fn capacity_comes_back_soon_after_an_overload() {
    let mut w = world(shared(&[1.0]), 4);
    w.traffic(5000.0, 60.0, &[0], &fast);
    w.traffic(8000.0, 60.0, &[0], &slow);
    w.traffic(6000.0, 60.0, &[0], &fast);
    let from = w.now;
    w.traffic(2000.0, 60.0, &[0], &fast);
    let (sent, _) = w.sent_since(from);
    assert!(sent > 100, "{sent} of 120 pass six seconds after the end");
}

/// Judged by answers alone, a tier that stops answering looks well until the time-outs come.
#[test]
fn calls_in_flight_are_bounded_before_any_answer_is_late() {
    let class = Class {
        late_weight: 0.5,
        ..class(Idempotency::Idempotent)
    };
    let mut w = world(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        4,
    );
    w.traffic(5000.0, 60.0, &[0], &fast);
    let from = w.now;
    w.traffic(1500.0, 60.0, &[0], &|_| None);
    let (sent, _) = w.sent_since(from);
    assert!(
        sent < 60,
        "{sent} of 90 calls went into a tier that answers nothing"
    );
}

#[test]
fn a_fast_failing_upstream_does_not_win_every_comparison() {
    let mut w = world(shared(&[1.0]), 6);
    let server = |id| {
        Some(if id == UpstreamId(2) {
            (AttemptOutcome::Error, 2.0)
        } else {
            (AttemptOutcome::Success, 120.0)
        })
    };
    w.traffic(10_000.0, 60.0, &[0], &server);
    let (sent, to) = w.sent_since(3000.0);
    let failing = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(
        failing * 20 < sent,
        "{failing} of {sent} went to the failing one: {to:?}"
    );
    assert!(
        sent > 350,
        "its failures are its own and cost the others no capacity: {sent} of 420"
    );
}

#[test]
fn a_hung_upstream_is_passed_over_and_costs_no_capacity() {
    let mut w = world(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((AttemptOutcome::Success, 40.0));
    w.traffic(20_000.0, 60.0, &[0], &server);
    let (sent, to) = w.sent_since(4000.0);
    let hung = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(hung <= 12, "{hung} calls went to the hung one");
    assert!(sent > 900, "the others carry on: {sent} of 960");
}

/// Met in an incident: a whole zone answered nothing, too much to eject server by server.
#[test]
fn a_zone_that_is_cut_off_is_left_alone() {
    let members = (1..=12)
        .map(|id| Endpoint {
            zone: (id % 3) as u16,
            ..member(id)
        })
        .collect();
    let mut w = World::new(shared(&[1.0]), 4, members);
    let server = |id: UpstreamId| {
        Some(if id.0 % 3 == 2 {
            (AttemptOutcome::ConnectFailed, 100.0)
        } else {
            (AttemptOutcome::Success, 50.0)
        })
    };
    w.traffic(12_000.0, 60.0, &[0], &server);
    let (sent, to) = w.sent_since(4000.0);
    let lost: usize = to
        .iter()
        .filter(|(id, _)| id.0 % 3 == 2)
        .map(|(_, n)| n)
        .sum();
    assert!(
        lost * 25 < sent,
        "{lost} of {sent} attempts tried the zone that is cut off"
    );
}

#[test]
fn other_zones_are_used_only_when_the_own_has_nothing_usable() {
    let settings = Settings {
        cross_zone_price: 0.2,
        ..shared(&[1.0])
    };
    let in_zones = |id| Endpoint {
        zone: (id % 2) as u16,
        ..member(id)
    };
    let mut w = World::new(settings, 4, (1..=12).map(in_zones).collect());
    w.traffic(10_000.0, 40.0, &[0], &fast);
    let (_, to) = w.sent_since(0.0);
    assert!(
        to.keys().all(|id| id.0 % 2 == 0),
        "crossings are priced: {to:?}"
    );
    w.list(EndpointEvent::Snapshot(
        (1..=12).filter(|id| id % 2 == 1).map(in_zones).collect(),
    ));
    let from = w.now;
    w.traffic(2000.0, 40.0, &[0], &fast);
    assert!(
        w.sent_since(from).0 > 60,
        "the other zone serves when the own has none"
    );
}

/// Met on calm days of hundreds of balancers in three zones: as the traffic moved to one of them its upstreams were
/// crowded, and its copies refused a third, while the upstreams of the others rested.
#[test]
fn calls_beyond_what_the_own_zone_carries_go_to_others() {
    let settings = Settings {
        cross_zone_price: 0.03,
        balancers: 9,
        tenants: tenants(&[1.0], 900.0),
        ..shared(&[1.0])
    };
    let in_zones = |id| Endpoint {
        zone: (id % 3) as u16,
        ..member(id)
    };
    let mut w = World::new(settings, 4, (1..=36).map(in_zones).collect());
    let near = |w: &World, from| {
        let (_, to) = w.sent_since(from);
        let near: usize = to
            .iter()
            .filter(|(id, _)| id.0 % 3 == 0)
            .map(|(_, n)| n)
            .sum();
        (near, to.values().sum::<usize>())
    };
    let timely = |_: UpstreamId| Some((AttemptOutcome::Success, 120.0));
    // Less than an even part of the quotas, 100 a second.
    w.traffic(6000.0, 60.0, &[0], &timely);
    let (own, all) = near(&w, 2000.0);
    assert!(
        own * 20 >= all * 19,
        "crossings are priced: {own} of {all} within the zone"
    );
    let from = w.now;
    w.traffic(6000.0, 300.0, &[0], &timely);
    let (own, all) = near(&w, from + 4000.0);
    assert!(
        (160..=320).contains(&own),
        "{own} within the zone in 2 s, of {all}"
    );
    assert!(all > 540, "{all} of 600 served");
}

/// Where a late answer earns nothing, an attempt that ran on only held slots, in every tier above too.
#[test]
fn a_request_ends_at_its_aim_where_late_answers_earn_nothing() {
    for (late_weight, most) in [(0.0, 500.0), (0.4, 2000.0)] {
        let class = Class {
            late_weight,
            ..class(Idempotency::NonIdempotent)
        };
        let mut w = World::new(
            Settings {
                classes: vec![class],
                ..Settings::default()
            },
            4,
            vec![member(1)],
        );
        w.request(1, 0, 0);
        w.pass(most - 100.0);
        assert!(
            !w.seen[&RequestId(1)].answered,
            "not given up before {most}"
        );
        w.pass(100.0);
        assert!(w.seen[&RequestId(1)].answered, "over by {most}");
    }
}

/// A request on connections that are dropped unseen after 300 ms without use: tells whether it got lost. `open` holds
/// when each upstream's connection was last used; answers come at once.
fn on_reaped_connections(w: &mut World, open: &mut BTreeMap<UpstreamId, f64>, id: u32) -> bool {
    let mut lost = false;
    for action in w.request(id, 0, 0) {
        match action {
            Action::CloseIdleConnections(upstream) => drop(open.remove(&upstream)),
            Action::Send { upstream, .. } => {
                let rested = open
                    .insert(upstream, w.now)
                    .map_or(0.0, |used| w.now - used);
                lost = rested > 300.0 && rested < w.settings.idle_close;
                if lost {
                    // Nothing comes back, and the connection with it.
                    open.remove(&upstream);
                } else {
                    w.outcome(id, 0, AttemptOutcome::Success);
                }
            }
            _ => {}
        }
    }
    lost
}

/// Connections that rested were dropped on the way unseen: each call on one waited for nothing.
#[test]
fn rested_connections_are_closed_before_use_once_calls_on_them_get_lost() {
    let mut w = world(shared(&[1.0]), 8);
    let (mut open, mut lost) = (BTreeMap::new(), [0, 0]);
    for id in 0..2000 {
        lost[usize::from(id >= 1000)] += u32::from(on_reaped_connections(&mut w, &mut open, id));
        w.pass(200.0);
    }
    assert!(lost[0] > 5, "it has to be met first: {lost:?}");
    assert!(
        lost[1] * 10 < 1000,
        "later, {} of 1000 calls take a connection that is gone",
        lost[1]
    );
}

/// One call in ten on connections that had rested came back as a reset at once, too few to count as lost ones; each
/// cost a request that must not run twice, and a handshake would have saved it.
#[test]
fn one_quick_reset_on_a_rested_connection_is_enough() {
    let class = class(Idempotency::NonIdempotent);
    let mut w = world(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        8,
    );
    let (mut open, mut rested_calls, mut lost) = (BTreeMap::new(), 0, 0);
    for id in 0..1000 {
        for action in w.request(id, 0, 0) {
            match action {
                Action::CloseIdleConnections(upstream) => drop(open.remove(&upstream)),
                Action::Send { upstream, .. } => {
                    let rested = open
                        .insert(upstream, w.now + 50.0)
                        .is_some_and(|used| w.now - used > 300.0);
                    rested_calls += u32::from(rested);
                    let stale = rested && rested_calls % 10 == 0;
                    w.pass(if stale { 0.2 } else { 50.0 });
                    w.outcome(
                        id,
                        0,
                        if stale {
                            AttemptOutcome::Reset
                        } else {
                            AttemptOutcome::Success
                        },
                    );
                    if stale {
                        lost += 1;
                        open.remove(&upstream);
                    }
                }
                _ => {}
            }
        }
        w.pass(150.0);
    }
    assert!(
        (1..10).contains(&lost),
        "{lost} of 1000 calls went out on a stale connection"
    );
}

/// Lost calls, waited for until their time-outs, filled what may be in flight, and the rest was refused.
#[test]
fn calls_lost_with_their_connection_do_not_fill_what_may_be_in_flight() {
    let class = Class {
        objective: 200.0,
        deadline: 6000.0,
        late_weight: 0.5,
        ..class(Idempotency::NonIdempotent)
    };
    let settings = Settings {
        classes: vec![class],
        tenants: tenants(&[1.0], 40.0),
        ..Settings::default()
    };
    let mut w = world(settings, 12);
    let mut open = BTreeMap::new();
    for id in 0..140 {
        on_reaped_connections(&mut w, &mut open, id);
        w.pass(40.0);
    }
    let (sent, _) = w.sent_since(3000.0);
    assert!(
        sent > 40,
        "{sent} of 65 calls pass before the first time-out tells"
    );
}

/// Waiting for the deadline left no time for another attempt, though one was allowed and would have been answered.
#[test]
fn where_answers_get_lost_a_repeat_goes_out_in_time() {
    let mut w = world(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((AttemptOutcome::Success, 40.0));
    w.traffic(20_000.0, 30.0, &[0], &server);
    let mut again = w.seen.values().filter(|s| s.sends.len() > 1);
    // Left to the end of the aim, 490 ms, the repeat would come too late.
    assert!(
        again.any(|s| s.sends[1].1 - s.sends[0].1 < 450.0),
        "what was lost is repeated in time"
    );
}

/// An upstream that took calls and answered none went on getting more until the first time-out told.
#[test]
fn an_upstream_that_owes_an_answer_for_long_is_passed_over_at_once() {
    let class = Class {
        late_weight: 0.5,
        ..class(Idempotency::NonIdempotent)
    };
    let mut w = world(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        3,
    );
    w.traffic(3000.0, 60.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 50.0))
    });
    let from = w.now;
    let server = |id| (id != UpstreamId(2)).then_some((AttemptOutcome::Success, 150.0));
    w.traffic(1800.0, 40.0, &[0], &server);
    let late = w
        .seen
        .values()
        .flat_map(|s| &s.sends)
        .filter(|(to, at)| *to == UpstreamId(2) && *at > from + 600.0);
    assert_eq!(
        late.count(),
        0,
        "it has owed an answer for six usual ones by then"
    );
}

/// A subset drawn without regard to groups held no other upstream that knows the key.
#[test]
fn a_guarded_repeat_finds_another_upstream_of_its_group() {
    let guarded = Idempotency::IdempotencyKey {
        scope: DedupScope::Group,
        window: 5000.0,
    };
    let class = Class {
        late_weight: 0.5,
        ..class(guarded)
    };
    let settings = Settings {
        classes: vec![class],
        balancers: 10,
        index: 3,
        ..shared(&[1.0])
    };
    let cells = |id| Endpoint {
        group: (id % 10) as u16,
        ..member(id)
    };
    let mut w = World::new(settings, 4, (1..=60).map(cells).collect());
    let mut elsewhere = 0;
    for id in 0..40 {
        w.request(id, 0, 0);
        w.outcome(
            id,
            0,
            if id % 2 == 0 {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Success
            },
        );
        let sends = w.seen[&RequestId(id)].sends.clone();
        if let [first, again] = sends[..] {
            elsewhere += u32::from(first.0 != again.0);
            w.outcome(id, 1, AttemptOutcome::Success);
        }
        w.pass(500.0);
    }
    assert!(
        elsewhere >= 17,
        "{elsewhere} of 20 repeats found another of their group"
    );
}

/// Copies that carry little hold nothing at most upstreams: a slow kind got as much as a fast one.
#[test]
fn of_two_that_hold_as_many_calls_the_one_that_answers_sooner_is_taken() {
    let mut w = world(shared(&[1.0]), 6);
    let server = |id: UpstreamId| {
        Some((
            AttemptOutcome::Success,
            if id.0.is_multiple_of(2) { 60.0 } else { 15.0 },
        ))
    };
    w.traffic(20_000.0, 20.0, &[0], &server);
    let (sent, to) = w.sent_since(5000.0);
    let slow: usize = to
        .iter()
        .filter(|(id, _)| id.0 % 2 == 0)
        .map(|(_, n)| n)
        .sum();
    assert!(slow * 3 < sent, "{slow} of {sent} went to the slow ones");
    assert!(slow > 0, "what was learned fades, and they are tried again");
}

/// In an overload each time-out was taken for its upstream's own fault, and capacity never heard of it: all that
/// was admitted, up to the quotas and beyond, was lost.
#[test]
fn failures_of_most_upstreams_are_not_blamed_on_each_and_cut_capacity_below_the_quotas() {
    let mut w = world(shared(&[1.0]), 6);
    w.traffic(5000.0, 60.0, &[0], &fast);
    w.traffic(10_000.0, 60.0, &[0], &|_| {
        Some((AttemptOutcome::Error, 5.0))
    });
    let from = w.now;
    w.traffic(5000.0, 60.0, &[0], &|_| Some((AttemptOutcome::Error, 5.0)));
    let (sent, _) = w.sent_since(from);
    assert!(sent < 150, "{sent} of 300 calls went where nearly all fail");
    assert!(sent > 0, "some are left to learn from");
    let lines = w.log.iter().filter(|a| matches!(a, Action::Log(_))).count();
    assert!(
        (1..=3).contains(&lines),
        "the log tells of a change of state, once: {lines} lines"
    );
}

/// Calls sent before the last cut were left out: with answers slower than a cycle only the fast ones were heard.
#[test]
fn capacity_hears_the_slow_answers_too() {
    let mut w = world(shared(&[1.0]), 8);
    let server = |id: UpstreamId| {
        Some((
            AttemptOutcome::Success,
            if id.0 < 4 { 60.0 } else { 1400.0 },
        ))
    };
    let class = Class {
        objective: 1000.0,
        deadline: 3000.0,
        late_weight: 0.5,
        ..class(Idempotency::Idempotent)
    };
    w = World::new(
        Settings {
            classes: vec![class],
            ..w.settings
        },
        4,
        (1..=8).map(member).collect(),
    );
    w.traffic(10_000.0, 120.0, &[0], &server);
    let (sent, _) = w.sent_since(5000.0);
    assert!(
        sent < 450,
        "{sent} of 600 admitted, though many answers are late; the quotas are 300"
    );
}

/// Half of a tier went away, and the stated quotas went on as the floor of what was sent to the rest.
#[test]
fn the_floor_follows_the_ready_upstreams() {
    let admitted = |ready: u64| {
        let mut w = world(shared(&[1.0]), 8);
        w.list(EndpointEvent::Snapshot((1..=ready).map(member).collect()));
        w.traffic(10_000.0, 120.0, &[0], &|_| {
            Some((AttemptOutcome::Success, 420.0))
        });
        w.sent_since(5000.0).0
    };
    let (all, half) = (admitted(8), admitted(4));
    assert!(
        half * 3 < all * 2,
        "{half} sent to half of the upstreams, {all} to all"
    );
}

/// A large tenant far over its share took a third of everything while small ones within theirs were refused.
#[test]
fn crowding_falls_on_the_tenant_that_is_over_its_limit() {
    let mut w = world(shared(&[0.4, 0.3, 0.3]), 4);
    let tenants = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2];
    w.traffic(4000.0, 60.0, &tenants, &fast);
    let from = w.now;
    w.traffic(10_000.0, 200.0, &tenants, &|_| {
        Some((AttemptOutcome::Success, 190.0))
    });
    let passed = |of: &dyn Fn(u32) -> bool| {
        let asked: Vec<_> = w
            .seen
            .iter()
            .filter(|(id, s)| of(id.0 % 10) && s.deadline > from + 5000.0)
            .collect();
        asked.iter().filter(|(_, s)| !s.sends.is_empty()).count() as f64 / asked.len() as f64
    };
    let (large, small) = (passed(&|t| t < 8), passed(&|t| t >= 8));
    assert!(
        small > 0.65 && large < 0.3,
        "{small} of the small tenants' calls pass, {large} of the large one's"
    );
}

/// A copy that carries little compares zeros; it once sent all its calls to the same few.
#[test]
fn a_copy_that_carries_little_spreads_its_calls() {
    let mut w = world(shared(&[1.0]), 5);
    w.traffic(60_000.0, 1.0, &[0], &fast);
    let (sent, to) = w.sent_since(0.0);
    let most = to.values().max().copied().unwrap_or(0);
    assert!(to.len() == 5 && most * 3 < sent, "{to:?}");
}

/// Tiers below refused for want of capacity at the start, though none of their answers was late.
#[test]
fn a_tier_below_starts_with_room() {
    for (tier, least) in [(0, 0), (1, 60)] {
        let mut w = world(
            Settings {
                tier,
                ..shared(&[1.0])
            },
            4,
        );
        for id in 0..60 {
            w.request(id, 0, 0);
            w.outcome(id, 0, AttemptOutcome::Success);
        }
        let (sent, _) = w.sent_since(0.0);
        assert!(sent >= least, "{sent} pass in tier {tier}");
    }
}

/// Connections grow as copies times servers: each copy keeps to a stable part that its traffic keeps warm.
#[test]
fn the_subset_follows_the_traffic_and_is_balanced_between_copies() {
    let mut load = BTreeMap::new();
    for index in 0..20 {
        let settings = Settings {
            index,
            balancers: 20,
            ..shared(&[1.0])
        };
        let mut w = World::new(settings, u64::from(index), (1..=40).map(member).collect());
        w.traffic(12_000.0, 8.0, &[0], &fast);
        let (_, to) = w.sent_since(6000.0);
        assert!(
            (5..=14).contains(&to.len()),
            "copy {index} used {} upstreams",
            to.len()
        );
        to.keys().for_each(|id| *load.entry(*id).or_insert(0) += 1);
    }
    let most = load.values().max().copied().unwrap_or(0);
    assert!(
        load.len() == 40 && most <= 7,
        "{most} copies on one upstream, {} used",
        load.len()
    );
}

/// Upstreams cap their connections and serve worse with many: a tier ran out of them, and never recovered, when
/// each of a hundred copies with a few calls in flight kept one open to most upstreams.
#[test]
fn a_copy_that_carries_little_keeps_few_connections_from_the_start() {
    let settings = Settings {
        balancers: 20,
        idle_close: 30_000.0,
        ..shared(&[1.0])
    };
    let mut w = World::new(settings, 4, (1..=100).map(member).collect());
    w.traffic(20_000.0, 3.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 200.0))
    });
    let (sent, to) = w.sent_since(0.0);
    assert!(
        sent > 40 && to.len() <= 10,
        "{sent} calls used {} upstreams",
        to.len()
    );
}

#[test]
fn a_new_tenant_ends_the_cycle_early_and_has_a_limit_at_once() {
    let mut w = world(shared(&[0.5, 0.5]), 4);
    w.pass(1.0);
    for id in 0..300 {
        w.request(id, 0, 0);
        if !w.seen[&RequestId(id)].sends.is_empty() {
            w.outcome(id, 0, AttemptOutcome::Success);
        }
    }
    assert!(
        w.seen[&RequestId(299)].sends.is_empty(),
        "tenant 0 has used up the cycle's capacity"
    );
    assert!(
        matches!(w.request(300, 0, 1)[..], [Action::Send { .. }]),
        "tenant 1 need not wait for the next"
    );
}

#[test]
fn further_attempts_stay_within_their_budget() {
    let mut w = world(shared(&[1.0]), 8);
    w.traffic(20_000.0, 40.0, &[0], &|_| {
        Some((AttemptOutcome::Error, 5.0))
    });
    let (requests, to) = w.sent_since(0.0);
    let attempts: usize = to.values().sum();
    // A fifth of all requests, refused ones too, and the ten saved at the start.
    assert!(
        attempts <= requests + 800 / 5 + 10,
        "{attempts} attempts for {requests} requests"
    );
    assert!(attempts > requests, "some are tried again");
}

#[test]
fn an_ejected_upstream_serves_when_it_is_the_last() {
    let mut w = world(shared(&[1.0]), 1);
    for id in 0..8 {
        w.request(id, 0, 0);
        let s = &w.seen[&RequestId(id)];
        assert!(!s.sends.is_empty(), "request {id} is tried");
        w.outcome(id, 0, AttemptOutcome::Reset);
        if w.seen[&RequestId(id)].ended.last() == Some(&None) {
            let last = w.seen[&RequestId(id)].ended.len() - 1;
            w.outcome(id, last, AttemptOutcome::Success);
        }
    }
}

/// Equal defaults would hold a tenant with most of the shares to the same as one with a few.
#[test]
fn stated_shares_set_the_defaults() {
    let mut w = world(shared(&[0.8, 0.2]), 4);
    w.traffic(12_000.0, 150.0, &[0, 1], &|_| {
        Some((AttemptOutcome::Success, 232.0))
    });
    let sent = |odd: u32| {
        let of = |(id, s): &(&RequestId, &Seen)| id.0 % 2 == odd && !s.sends.is_empty();
        w.seen.iter().filter(of).count()
    };
    assert!(
        sent(0) > 2 * sent(1),
        "{} of the large tenant pass, {} of the small one",
        sent(0),
        sent(1)
    );
}

/// Spoilt answers were taken for connections that had been dropped while they rested: good ones were closed
/// before use, for a handshake each.
#[test]
fn spoilt_answers_close_no_rested_connections() {
    let mut w = world(shared(&[1.0]), 8);
    for id in 0..400 {
        w.request(id, 0, 0);
        w.pass(100.0);
        w.outcome(
            id,
            0,
            if id % 3 == 0 {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Success
            },
        );
        if w.seen[&RequestId(id)].sends.len() > 1 {
            w.outcome(id, 1, AttemptOutcome::Success);
        }
        w.pass(100.0);
    }
    assert!(!w
        .log
        .iter()
        .any(|a| matches!(a, Action::CloseIdleConnections(_))));
}

/// Answers that broke off, some early, were taken for connections gone stale: good ones were closed before use.
#[test]
fn answers_that_break_off_now_and_then_close_no_rested_connections() {
    let mut w = world(shared(&[1.0]), 8);
    for id in 0..400 {
        w.request(id, 0, 0);
        let broken = id % 20 == 19;
        w.pass(if broken { 30.0 } else { 100.0 });
        w.outcome(
            id,
            0,
            if broken {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Success
            },
        );
        if broken {
            w.outcome(id, 1, AttemptOutcome::Success);
        }
        w.pass(100.0);
    }
    assert!(!w
        .log
        .iter()
        .any(|a| matches!(a, Action::CloseIdleConnections(_))));
}

/// Answers of all upstreams alike came spoilt now and then: two or three of four were ejected by chance, and those
/// that were left jammed under the load of all.
#[test]
fn chance_failures_leave_most_upstreams_in_use() {
    let mut w = world(shared(&[1.0]), 4);
    w.traffic(5000.0, 60.0, &[0], &fast);
    w.traffic(300.0, 60.0, &[0], &|id| {
        Some((
            if id.0 < 4 {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Success
            },
            50.0,
        ))
    });
    w.pass(100.0);
    let from = w.now;
    w.traffic(1000.0, 60.0, &[0], &fast);
    let (sent, to) = w.sent_since(from);
    assert!(
        to.len() >= 3,
        "one of four may be ejected: {sent} calls went to {to:?}"
    );
}

/// Capacity was learned down only by late answers, seconds after three of four upstreams had left: by then the last
/// one was crowded, and crowded ones slow for long.
#[test]
fn capacity_leaves_with_the_upstreams_that_leave() {
    let burst = |leave: &[u64]| {
        let class = Class {
            late_weight: 0.5,
            ..class(Idempotency::NonIdempotent)
        };
        let mut w = world(
            Settings {
                classes: vec![class],
                ..shared(&[1.0])
            },
            4,
        );
        w.traffic(5000.0, 60.0, &[0], &|_| {
            Some((AttemptOutcome::Success, 150.0))
        });
        w.pass(1000.0);
        let draining = |&id| Endpoint {
            availability: Availability::Draining,
            ..member(id)
        };
        w.list(EndpointEvent::Delta(leave.iter().map(draining).collect()));
        let from = w.now;
        w.traffic(900.0, 100.0, &[0], &|_| None);
        w.sent_since(from).0
    };
    let (all, one) = (burst(&[]), burst(&[2, 3, 4]));
    assert!(
        one > 2 && one * 2 < all,
        "{all} calls at once went to four upstreams, {one} to the one left"
    );
}

/// On a calm day the first tier's capacity grew to twice what was ever admitted, far above the stated quotas: when
/// upstreams left, those that were left got twice what they could hold.
#[test]
fn a_calm_day_lets_no_more_in_flight_than_the_quotas_need() {
    let burst = |tier| {
        let class = Class {
            late_weight: 0.5,
            ..class(Idempotency::NonIdempotent)
        };
        let mut w = world(
            Settings {
                classes: vec![class],
                tier,
                ..shared(&[1.0])
            },
            4,
        );
        w.traffic(20_000.0, 60.0, &[0], &fast);
        w.pass(500.0);
        // Not so long that upstreams count as crowded, and what they owe no more.
        let from = w.now;
        w.traffic(290.0, 100.0, &[0], &|_| None);
        w.sent_since(from).0
    };
    // 60 a second in the 200 ms that are timely, and one to spare. Below, the quotas say nothing of the calls.
    assert!(
        (12..=13).contains(&burst(0)),
        "{} calls at once went into the first tier",
        burst(0)
    );
    assert!(
        burst(1) > 20,
        "{} calls at once went into a tier below",
        burst(1)
    );
}

/// What upstreams that drain still owe filled what may be in flight: calls were refused that the others could serve.
#[test]
fn calls_owed_by_upstreams_that_left_do_not_fill_what_may_be_in_flight() {
    let class = Class {
        late_weight: 0.5,
        ..class(Idempotency::NonIdempotent)
    };
    let mut w = world(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        2,
    );
    w.traffic(5000.0, 60.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 150.0))
    });
    w.traffic(900.0, 100.0, &[0], &|_| None);
    let draining = |id| Endpoint {
        availability: Availability::Draining,
        ..member(id)
    };
    w.list(EndpointEvent::Delta(
        [draining(1), draining(2), member(3), member(4)].into(),
    ));
    let from = w.now;
    w.traffic(200.0, 60.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 150.0))
    });
    let (sent, _) = w.sent_since(from);
    assert!(
        sent >= 10,
        "{sent} of 12 calls pass though two upstreams hold none"
    );
}

/// Where one answer in eight fails at all upstreams alike, two failures in a row are chance: each ejection left a
/// quarter more to the others, and there was one at nearly all times.
#[test]
fn failures_that_all_share_eject_few() {
    let class = Class {
        late_weight: 0.5,
        ..class(Idempotency::NonIdempotent)
    };
    let mut w = world(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        4,
    );
    let rng = std::cell::Cell::new(1u32);
    w.traffic(40_000.0, 60.0, &[0], &|_| {
        rng.set(
            rng.get()
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223),
        );
        Some((
            if rng.get() >> 29 == 0 {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Success
            },
            50.0,
        ))
    });
    let mut calls = BTreeMap::new();
    for &(to, at) in w
        .seen
        .values()
        .flat_map(|s| &s.sends)
        .filter(|(_, at)| *at >= 5000.0)
    {
        *calls.entry((to, (at / 1000.0) as u32)).or_insert(0) += 1;
    }
    let away = 4 * 35 - calls.len();
    assert!(away <= 14, "upstreams were away for {away} of 140 seconds");
}

/// In a jam in which three of four answers were still in time, what counts as the unloaded answer time grew, and with
/// it what may be in flight: the crowded upstreams never had the rest that they recover by.
#[test]
fn a_jam_does_not_raise_what_may_be_in_flight() {
    let class = Class {
        late_weight: 0.5,
        ..class(Idempotency::Idempotent)
    };
    let mut w = world(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        4,
    );
    w.traffic(5000.0, 60.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 150.0))
    });
    w.traffic(30_000.0, 60.0, &[0], &|id| {
        Some((
            AttemptOutcome::Success,
            if id.0 == 4 { 600.0 } else { 400.0 },
        ))
    });
    w.pass(2000.0);
    let from = w.now;
    w.traffic(900.0, 100.0, &[0], &|_| None);
    let (sent, _) = w.sent_since(from);
    assert!(sent < 30, "{sent} calls at once went into a jammed tier");
}

/// A cold upstream's part went by what was admitted of late: refusing calls cut it, so that the warm ones that were
/// crowded for that stayed crowded.
#[test]
fn refusing_calls_takes_nothing_from_what_cold_upstreams_may_be_sent() {
    let to_cold = |jam: f64| {
        let class = Class {
            late_weight: 0.5,
            ..class(Idempotency::NonIdempotent)
        };
        let mut w = world(
            Settings {
                classes: vec![class],
                ..shared(&[1.0])
            },
            4,
        );
        w.traffic(5000.0, 60.0, &[0], &fast);
        w.traffic(jam, 60.0, &[0], &|_| None);
        w.list(EndpointEvent::Delta(
            (1..=3)
                .map(|id| Endpoint {
                    started_at: w.now,
                    ..member(id)
                })
                .collect(),
        ));
        let from = w.now;
        w.traffic(5000.0, 60.0, &[0], &fast);
        let (_, to) = w.sent_since(from);
        (1..=3)
            .map(|id| to.get(&UpstreamId(id)).copied().unwrap_or(0))
            .sum::<usize>()
    };
    let (calm, jammed) = (to_cold(0.0), to_cold(6000.0));
    assert!(
        calm > 20 && jammed * 10 >= calm * 7,
        "{calm} calls to cold upstreams, after a jam {jammed}"
    );
}

/// Every copy's call to spare and its room up to the timely part of the aim, times all copies: a fleet that lost part
/// of the first tier let three times as much into the rest as it could hold.
#[test]
fn copies_that_share_the_first_tier_leave_no_room_that_counts_times_all() {
    let burst = |balancers: u32| {
        let class = Class {
            late_weight: 0.5,
            ..class(Idempotency::NonIdempotent)
        };
        let tenants = tenants(&[1.0], 60.0 * f64::from(balancers));
        let mut w = world(
            Settings {
                classes: vec![class],
                tenants,
                balancers,
                ..Settings::default()
            },
            4,
        );
        w.traffic(20_000.0, 60.0, &[0], &fast);
        w.pass(500.0);
        let from = w.now;
        w.traffic(290.0, 100.0, &[0], &|_| None);
        w.sent_since(from).0
    };
    // 60 a second each, answered after 50 ms: three in flight; alone what the timely 200 ms take, and one to spare.
    assert!(
        (12..=13).contains(&burst(1)),
        "{} calls at once from one that is alone",
        burst(1)
    );
    assert!(
        (4..=6).contains(&burst(20)),
        "{} calls at once from one of twenty",
        burst(20)
    );
}

/// Clients come unevenly: what one of twenty copies may have in flight went by a twentieth of the quotas, so that the few
/// with several times the mean refused most of it, though every answer came at once.
#[test]
fn a_copy_with_more_than_its_part_of_the_clients_serves_them_while_answers_take_no_longer() {
    let passes = |time: f64| {
        let class = Class {
            late_weight: 0.5,
            ..class(Idempotency::NonIdempotent)
        };
        let tenants = tenants(&[1.0], 60.0 * 20.0);
        let mut w = world(
            Settings {
                classes: vec![class],
                tenants,
                balancers: 20,
                ..Settings::default()
            },
            8,
        );
        w.traffic(10_000.0, 240.0, &[0], &fast);
        let from = w.now;
        w.traffic(8000.0, 240.0, &[0], &|_| {
            Some((AttemptOutcome::Success, time))
        });
        (w.sent_since(from).0, w.sent_since(w.now - 2000.0).0)
    };
    assert!(
        passes(50.0).0 > 1850,
        "{:?} of 1920 pass in time",
        passes(50.0)
    );
    // Where answers slow down it goes back to its part: 60 a second.
    assert!(
        passes(190.0).1 < 240,
        "{:?} of 480 pass though answers slow down",
        passes(190.0)
    );
}

/// A copy of many that carries little still has a few calls in flight by chance, and none of them is refused.
#[test]
fn a_copy_of_many_that_carries_little_refuses_none_on_a_calm_day() {
    let settings = Settings {
        tenants: tenants(&[1.0], 300.0),
        balancers: 100,
        ..Settings::default()
    };
    let mut w = world(settings, 4);
    w.traffic(60_000.0, 1.5, &[0], &|_| {
        Some((AttemptOutcome::Success, 700.0))
    });
    let refused = w
        .log
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count();
    assert_eq!(refused, 0, "of 90 calls");
}

/// The calls that waited at a few crowded upstreams filled what may be in flight: each copy refused calls that the others
/// could serve.
#[test]
fn calls_that_wait_at_crowded_upstreams_are_no_burden_to_the_others() {
    let class = Class {
        late_weight: 0.5,
        deadline: 6000.0,
        ..class(Idempotency::NonIdempotent)
    };
    let tenants = tenants(&[1.0], 60.0 * 20.0);
    let mut w = world(
        Settings {
            classes: vec![class],
            tenants,
            balancers: 20,
            ..Settings::default()
        },
        4,
    );
    let usual = |_| Some((AttemptOutcome::Success, 150.0));
    w.traffic(5000.0, 58.0, &[0], &usual);
    let from = w.now;
    let server = |id| {
        if id == UpstreamId(1) {
            Some((AttemptOutcome::Success, 4000.0))
        } else {
            usual(id)
        }
    };
    w.traffic(4000.0, 58.0, &[0], &server);
    let (sent, _) = w.sent_since(from);
    assert!(
        sent > 220,
        "{sent} of 232 calls pass though three upstreams are idle"
    );
}
