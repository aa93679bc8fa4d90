//! Slow start for the fleet: whatever many copies do at the same moment, a cold upstream is not pushed over.
mod common;
use balancer_core::*;
use common::*;

const TIP: f64 = 4.0;
const RAMP: f64 = 20_000.0;
const COLD_FROM: f64 = 0.15;
const UPSTREAMS: u64 = 12;

/// A fleet of so many copies that share `quota_per_s`, and that have carried an even part of it for some seconds.
fn fleet(copies: u32, quota_per_s: f64) -> Vec<World> {
    let settings = |index| Settings {
        index,
        balancers: copies,
        slow_start_initial_fraction: COLD_FROM,
        slow_start_duration: RAMP,
        slow_start_overload_factor: TIP,
        tenants: tenants(&[1.0], quota_per_s),
        ..Settings::default()
    };
    let members = || (1..=UPSTREAMS).map(member).collect();
    let mut worlds: Vec<World> = (0..copies)
        .map(|i| World::new(settings(i), u64::from(i) + 1, members()))
        .collect();
    for w in &mut worlds {
        let per_s = quota_per_s / f64::from(copies);
        w.traffic(5000.0, per_s, &[0], &|_| {
            Some((AttemptOutcome::Success, 20.0))
        });
    }
    worlds
}

/// What the settings allow a cold upstream in one window this long after its start, where each carries an even part of
/// the quotas when warm; and what chance may add to it.
fn allowed(quota_per_s: f64, age: f64) -> (f64, f64) {
    let warmth = COLD_FROM + (1.0 - COLD_FROM) * age / RAMP;
    let n = TIP * warmth * quota_per_s / UPSTREAMS as f64;
    (n, 2.0 * n.sqrt() + 2.0)
}

/// Calls to upstream 1 from one moment on.
fn to_the_cold_one(worlds: &[World], from: f64) -> usize {
    let sent = worlds.iter().map(|w| w.sent_since(from).1);
    sent.filter_map(|to| to.get(&UpstreamId(1)).copied()).sum()
}

fn restart(w: &mut World) {
    w.list(EndpointEvent::Delta(vec![Endpoint {
        started_at: w.now,
        ..member(1)
    }]));
}

/// Clients that come back all at once, behind a pause in which each copy could save up what it may send.
#[test]
fn calls_that_come_back_at_once_do_not_push_a_cold_upstream_over() {
    for (copies, quota) in [(20, 60.0), (30, 60.0), (100, 120.0), (350, 240.0)] {
        let mut worlds = fleet(copies, quota);
        worlds.iter_mut().for_each(restart);
        let mut worst: f64 = 0.0;
        for pause in [1500.0, 3000.0] {
            let from = worlds[0].now + pause;
            for w in &mut worlds {
                w.pass(pause);
                // Each copy has far more calls in this window than there are upstreams.
                w.traffic(1000.0, 30.0, &[0], &|_| {
                    Some((AttemptOutcome::Success, 5.0))
                });
            }
            let (n, chance) = allowed(quota, from - 5000.0);
            let sent = to_the_cold_one(&worlds, from) as f64;
            worst = worst.max(sent / (n + chance));
            assert!(
                sent <= n + chance,
                "{copies} copies sent {sent}, allowed {n} and {chance} by chance"
            );
        }
        assert!(
            worst > 0.1,
            "{copies} copies: it is warmed up, not shut out ({worst})"
        );
    }
}

/// A cold upstream gets its part of steady thin traffic too: what lapses is little.
#[test]
fn thin_steady_traffic_warms_a_cold_upstream() {
    let (copies, quota) = (30, 60.0);
    let mut worlds = fleet(copies, quota);
    worlds.iter_mut().for_each(restart);
    let from = worlds[0].now;
    for w in &mut worlds {
        w.traffic(10_000.0, quota / f64::from(copies), &[0], &|_| {
            Some((AttemptOutcome::Success, 20.0))
        });
    }
    // An even part of ten seconds is 50.
    let sent = to_the_cold_one(&worlds, from);
    assert!((12..=60).contains(&sent), "{sent}");
}

/// A list that is wholly cold, as after a zone's return, and copies that start anew in the middle of the window, with
/// their list but with nothing learned: each upstream for itself, behind a pause and with calls for all.
#[test]
fn neither_a_list_all_cold_nor_copies_that_start_anew_push_an_upstream_over() {
    for (copies, quota) in [(30, 60.0), (350, 240.0)] {
        let mut worlds = fleet(copies, quota);
        let all_cold = |now: f64| {
            (1..=UPSTREAMS)
                .map(|id| Endpoint {
                    started_at: now,
                    ..member(id)
                })
                .collect()
        };
        for w in &mut worlds {
            w.list(EndpointEvent::Delta(all_cold(w.now)));
            w.pass(1500.0);
        }
        let from = worlds[0].now;
        let mut to = std::collections::BTreeMap::new();
        for w in &mut worlds {
            let mut half = |w: &mut World| {
                let from = w.now;
                w.traffic(500.0, 30.0, &[0], &|_| Some((AttemptOutcome::Success, 5.0)));
                w.sent_since(from)
                    .1
                    .into_iter()
                    .for_each(|(id, n)| *to.entry(id).or_insert(0) += n);
            };
            half(w);
            let mut anew = World::new(
                w.settings.clone(),
                999 + u64::from(w.settings.index),
                Vec::new(),
            );
            // Its clock goes on where the other's ended.
            anew.now = w.now;
            anew.list(EndpointEvent::Snapshot(all_cold(5000.0)));
            half(&mut anew);
        }
        let (n, chance) = allowed(quota, from - 5000.0);
        let most = to.values().max().copied().unwrap_or(0) as f64;
        assert!(
            most <= n + chance,
            "{copies} copies sent {most}, allowed {n} and {chance} by chance"
        );
        assert!(
            to.len() as u64 == UPSTREAMS && most > 1.0,
            "they are warmed up, not shut out: {to:?}"
        );
    }
}

/// Calls to upstream 1 in the first seconds after it restarted, by a replica whose clock is off by this much.
fn sent_after_a_restart(clock_off: f64, first_list: bool) -> usize {
    const START: f64 = 10_000_000.0;
    let settings = fleet(1, 150.0).remove(0).settings;
    let mut world = World::new(settings, 1, Vec::new());
    world.now = START;
    let restarted = Endpoint {
        started_at: START - clock_off,
        ..member(1)
    };
    let before = (1..=4).map(member).collect();
    let after = [restarted.clone(), member(2), member(3), member(4)].to_vec();
    if first_list {
        world.list(EndpointEvent::CachedSnapshot(after));
    } else {
        world.list(EndpointEvent::CachedSnapshot(before));
        world.traffic(3000.0, 100.0, &[0], &|_| {
            Some((AttemptOutcome::Success, 20.0))
        });
        world.list(EndpointEvent::Delta(vec![Endpoint {
            started_at: world.now - clock_off,
            ..restarted
        }]));
    }
    let from = world.now;
    world.traffic(2000.0, 100.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 20.0))
    });
    to_the_cold_one(&[world], from)
}

/// A wall clock that is ahead made a restarted upstream look warm: it got an even share, 50 of 200, from the first second.
#[test]
fn a_restart_is_cold_however_far_ahead_the_clock_is() {
    let usual = sent_after_a_restart(0.0, false);
    for ahead in [5_000.0, 60_000.0, 3_600_000.0] {
        let sent = sent_after_a_restart(ahead, false);
        assert!(
            sent <= usual * 2,
            "{sent} calls with a clock {ahead} ms ahead, {usual} else"
        );
    }
    assert!((5..40).contains(&usual), "{usual}");
}

/// One that is behind made upstreams look as if they started in the future, and kept them in slow start until it came.
#[test]
fn an_upstream_that_seems_to_start_in_the_future_is_warm_after_its_ramp() {
    let settings = fleet(1, 150.0).remove(0).settings;
    let mut world = World::new(settings, 1, Vec::new());
    world.list(EndpointEvent::CachedSnapshot(
        (1..=4)
            .map(|id| Endpoint {
                started_at: 3_600_000.0,
                ..member(id)
            })
            .collect(),
    ));
    world.traffic(RAMP, 100.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 20.0))
    });
    let from = world.seen.len();
    world.traffic(2000.0, 100.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 20.0))
    });
    let refused = world
        .seen
        .values()
        .skip(from)
        .filter(|seen| seen.sends.is_empty())
        .count();
    assert!(refused <= 10, "{refused} of 200 refused");
    assert!(sent_after_a_restart(-3_600_000.0, true) <= 2 * sent_after_a_restart(0.0, true));
}

/// Where the stated quotas are far above the traffic, a cold upstream that is preferred while unused got a share of the quotas:
/// 29, 50, 70, 90 calls in its first four seconds, where an even share of the traffic is 37.
#[test]
fn a_cold_upstream_gets_no_more_than_an_even_share_of_the_traffic() {
    let mut settings = fleet(1, 400.0).remove(0).settings;
    settings.slow_start_initial_fraction = 0.3;
    settings.slow_start_duration = 9000.0;
    let mut world = World::new(settings, 1, (1..=4).map(member).collect());
    world.traffic(5000.0, 150.0, &[0], &|_| {
        Some((AttemptOutcome::Success, 5.0))
    });
    restart(&mut world);
    let mut worlds = [world];
    for second in 1..=4 {
        let from = worlds[0].now;
        worlds[0].traffic(1000.0, 150.0, &[0], &|_| {
            Some((AttemptOutcome::Success, 5.0))
        });
        let sent = to_the_cold_one(&worlds, from);
        assert!(
            sent <= 45,
            "{sent} in second {second}, where an even share is 37"
        );
    }
}
