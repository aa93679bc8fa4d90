//! Slow start with many replicas: together, they must not overload an endpoint in slow start.
mod common;

use balancer_core::{AttemptOutcome, Endpoint, EndpointEvent, Settings, UpstreamId};
use common::{
    endpoint, endpoints, slow_start_settings, success_after, AttemptRecord, TestHarness,
    SLOW_START_DURATION, SLOW_START_INITIAL_FRACTION, SLOW_START_OVERLOAD_FACTOR,
};
use std::collections::BTreeMap;

const UPSTREAMS: u64 = 12;

/// Replicas that share `quota_per_second` and have each sent an even part of it for five seconds.
fn fleet_with_quota(replicas: u32, quota_per_second: f64) -> Vec<TestHarness> {
    (0..replicas)
        .map(|replica_index| {
            let settings = slow_start_settings(replica_index, replicas, quota_per_second);
            let seed = u64::from(replica_index) + 1;
            let mut harness = TestHarness::new(settings, seed, endpoints(UPSTREAMS));
            let per_s = quota_per_second / f64::from(replicas);
            harness.run_traffic(5000.0, per_s, &[0], &success_after(20.0));
            harness
        })
        .collect()
}

/// Requests to an endpoint in slow start that the settings allow in one window.
struct Allowance {
    requests: f64,
    /// Requests that chance may add.
    by_chance: f64,
}

impl Allowance {
    /// The allowance `age` milliseconds after the start, where each endpoint carries an even part of the quotas at full
    /// capacity.
    fn new(quota_per_second: f64, age: f64) -> Self {
        let gained = (1.0 - SLOW_START_INITIAL_FRACTION) * age / SLOW_START_DURATION;
        let capacity_fraction = SLOW_START_INITIAL_FRACTION + gained;
        let requests =
            SLOW_START_OVERLOAD_FACTOR * capacity_fraction * quota_per_second / UPSTREAMS as f64;
        Allowance {
            requests,
            by_chance: 2.0 * requests.sqrt() + 2.0,
        }
    }

    fn total(&self) -> f64 {
        self.requests + self.by_chance
    }
}

fn attempts_to_first_endpoint(fleet: &[TestHarness], from: f64) -> usize {
    fleet
        .iter()
        .map(|harness| harness.sent_since(from).attempts_to(1))
        .sum()
}

fn endpoint_started_at(id: u64, started_at: f64) -> Endpoint {
    Endpoint {
        started_at,
        ..endpoint(id)
    }
}

fn restart_first_endpoint(harness: &mut TestHarness) {
    let restarted = endpoint_started_at(1, harness.now);
    harness.update_endpoints(EndpointEvent::Delta(vec![restarted]));
}

/// All clients return at the same time, after a pause in which each replica could collect send tokens.
#[test]
fn clients_that_return_together_do_not_overload_an_endpoint_in_slow_start() {
    for (replicas, quota) in [(20, 60.0), (30, 60.0), (100, 120.0), (350, 240.0)] {
        let mut fleet = fleet_with_quota(replicas, quota);
        for harness in &mut fleet {
            restart_first_endpoint(harness);
        }
        let mut largest_fraction: f64 = 0.0;
        for pause in [1500.0, 3000.0] {
            let from = fleet[0].now + pause;
            for harness in &mut fleet {
                harness.advance(pause);
                // Each replica has far more requests in this window than there are endpoints.
                harness.run_traffic(1000.0, 30.0, &[0], &success_after(5.0));
            }
            let allowance = Allowance::new(quota, from - 5000.0);
            let sent = attempts_to_first_endpoint(&fleet, from) as f64;
            largest_fraction = largest_fraction.max(sent / allowance.total());
            assert!(
                sent <= allowance.total(),
                "{replicas} replicas sent {sent} requests; allowed are {}, and {} by chance",
                allowance.requests,
                allowance.by_chance
            );
        }
        assert!(
            largest_fraction > 0.1,
            "{replicas} replicas: the endpoint received only {largest_fraction} of its allowance"
        );
    }
}

/// Guards against tokens that expire before low traffic uses them.
#[test]
fn low_steady_traffic_reaches_an_endpoint_in_slow_start() {
    let replicas = 30;
    let quota = 60.0;
    let mut fleet = fleet_with_quota(replicas, quota);
    for harness in &mut fleet {
        restart_first_endpoint(harness);
    }
    let from = fleet[0].now;
    for harness in &mut fleet {
        let per_s = quota / f64::from(replicas);
        harness.run_traffic(10_000.0, per_s, &[0], &success_after(20.0));
    }
    // An even part of the traffic of ten seconds is 50 requests.
    let sent = attempts_to_first_endpoint(&fleet, from);
    assert!((12..=60).contains(&sent), "{sent} requests to the endpoint");
}

/// All endpoints are in slow start, as after the return of a zone, and each replica is replaced in the middle of
/// the window by one that knows the list and has learned nothing.
#[test]
fn new_replicas_do_not_overload_endpoints_that_are_all_in_slow_start() {
    for (replicas, quota) in [(30, 60.0), (350, 240.0)] {
        let mut fleet = fleet_with_quota(replicas, quota);
        let all_started_at = |time: f64| {
            (1..=UPSTREAMS)
                .map(|id| endpoint_started_at(id, time))
                .collect()
        };
        for harness in &mut fleet {
            let list = all_started_at(harness.now);
            harness.update_endpoints(EndpointEvent::Delta(list));
            harness.advance(1500.0);
        }
        let from = fleet[0].now;
        let mut sent_by_upstream: BTreeMap<UpstreamId, usize> = BTreeMap::new();
        let mut run_half_window = |harness: &mut TestHarness| {
            let from = harness.now;
            harness.run_traffic(500.0, 30.0, &[0], &success_after(5.0));
            for (id, attempts) in harness.sent_since(from).by_upstream {
                *sent_by_upstream.entry(id).or_insert(0) += attempts;
            }
        };
        for harness in &mut fleet {
            run_half_window(harness);
            let mut successor = successor(harness);
            successor.update_endpoints(EndpointEvent::Snapshot(all_started_at(5000.0)));
            run_half_window(&mut successor);
        }
        let allowance = Allowance::new(quota, from - 5000.0);
        let most = sent_by_upstream.values().max().copied().unwrap_or(0) as f64;
        assert!(
            most <= allowance.total(),
            "{replicas} replicas sent {most} requests to one endpoint; allowed are {}, and {} by chance",
            allowance.requests,
            allowance.by_chance
        );
        assert!(
            sent_by_upstream.len() as u64 == UPSTREAMS && most > 1.0,
            "some endpoints received too few requests: {sent_by_upstream:?}"
        );
    }
}

/// A new replica without endpoints that replaces another one, whose clock it continues.
fn successor(harness: &TestHarness) -> TestHarness {
    let settings = harness.settings.clone();
    let seed = 999 + u64::from(settings.replica_index);
    let mut successor = TestHarness::new(settings, seed, Vec::new());
    successor.now = harness.now;
    successor
}

/// Hundreds of replicas see one endpoint restart; together they must stay below the overload factor.
#[test]
fn replicas_together_do_not_overload_a_restarted_endpoint() {
    assert_stays_below_overload_factor(restart_first_endpoint);
}

/// The same if operators suspended and restored the endpoint, and the list does not report its restart.
#[test]
fn restored_endpoint_is_in_slow_start_before_the_list_reports_its_restart() {
    assert_stays_below_overload_factor(|harness| {
        harness.suspend(1);
        harness.restore(1);
    });
}

/// The step of 100 ms in which the endpoint restarts.
const RESTART_STEP: usize = 100;

/// What 200 replicas sent after the restart of upstream 1.
struct SentAfterRestart {
    requests: usize,
    /// When requests were sent to upstream 1.
    to_restarted_at: Vec<f64>,
}

fn assert_stays_below_overload_factor(restart: impl Fn(&mut TestHarness)) {
    let sent = run_fleet_with_restart(restart);
    assert!(
        sent.requests > 3000,
        "only {} requests sent: the other endpoints do not serve",
        sent.requests
    );
    // 400 requests per second over 20 endpoints: each carries at least 20 per second.
    for second in 0..10 {
        let from = 10_000.0 + f64::from(second) * 1000.0;
        let sent = sent
            .to_restarted_at
            .iter()
            .filter(|&&at| at >= from && at < from + 1000.0)
            .count() as f64;
        let capacity_fraction = 0.15 + 0.85 * f64::from(second) / 20.0;
        assert!(
            sent <= 2.5 * 20.0 * capacity_fraction,
            "{sent} requests in second {second}, at {capacity_fraction} of full capacity"
        );
    }
    assert!(
        !sent.to_restarted_at.is_empty(),
        "the restarted endpoint received no requests"
    );
}

/// Sends two requests per second and replica, which succeed after 50 ms, for 20 seconds in steps of 100 ms. The
/// endpoint restarts after ten seconds.
fn run_fleet_with_restart(restart: impl Fn(&mut TestHarness)) -> SentAfterRestart {
    let mut fleet = fleet_without_quotas(200);
    let mut sent = SentAfterRestart {
        requests: 0,
        to_restarted_at: Vec::new(),
    };
    let mut id = 0;
    for step in 0..200 {
        for (index, harness) in fleet.iter_mut().enumerate() {
            if step == RESTART_STEP {
                restart(harness);
            }
            if !(step + index).is_multiple_of(5) {
                harness.advance(100.0);
                continue;
            }
            id += 1;
            let attempt = send_and_succeed(harness, id);
            let Some(attempt) = attempt.filter(|_| step >= RESTART_STEP) else {
                continue;
            };
            sent.requests += 1;
            if attempt.upstream == UpstreamId(1) {
                sent.to_restarted_at.push(attempt.sent_at);
            }
        }
    }
    sent
}

fn fleet_without_quotas(replicas: u32) -> Vec<TestHarness> {
    (0..replicas)
        .map(|replica_index| {
            let settings = Settings {
                replica_index,
                replica_count: replicas,
                slow_start_initial_fraction: 0.15,
                slow_start_duration: 20_000.0,
                slow_start_overload_factor: 2.5,
                ..Settings::default()
            };
            TestHarness::new(settings, u64::from(replica_index), endpoints(20))
        })
        .collect()
}

/// Sends a request that succeeds after 50 ms, and advances the clock by 100 ms. Returns its attempt, if it was
/// admitted.
fn send_and_succeed(harness: &mut TestHarness, id: u32) -> Option<AttemptRecord> {
    harness.send_request(id, 0, 0);
    let attempt = harness.request(id).attempts.last().cloned();
    if attempt.is_none() {
        harness.advance(100.0);
        return None;
    }
    harness.advance(50.0);
    harness.end_attempt(id, 0, AttemptOutcome::Success);
    harness.advance(50.0);
    attempt
}
