//! Which endpoints a replica uses: zones, the subset and the pick of one endpoint.
mod common;

use balancer_core::{Endpoint, EndpointEvent, Settings, UpstreamId};
use common::{
    endpoint, endpoints, settings_for_tenants, success_after, tenants, Response, SentSummary,
    TestHarness,
};
use std::collections::BTreeMap;

/// An endpoint in zone `id % zone_count`.
fn endpoint_in_one_of_zones(id: u64, zone_count: u64) -> Endpoint {
    Endpoint {
        zone: (id % zone_count) as u16,
        ..endpoint(id)
    }
}

#[test]
fn other_zones_are_used_only_if_the_own_zone_has_no_usable_endpoint() {
    let settings = Settings {
        cross_zone_price: 0.2,
        ..settings_for_tenants(&[1.0])
    };
    let list = (1..=12).map(|id| endpoint_in_one_of_zones(id, 2)).collect();
    let mut harness = TestHarness::new(settings, 4, list);
    harness.run_traffic(10_000.0, 40.0, &[0], &success_after(50.0));
    let sent = harness.sent_since(0.0);
    assert!(
        sent.by_upstream.keys().all(|id| id.0 % 2 == 0),
        "requests crossed zones, which has a price: {:?}",
        sent.by_upstream
    );
    let other_zone = (1..=12)
        .filter(|id| id % 2 == 1)
        .map(|id| endpoint_in_one_of_zones(id, 2))
        .collect();
    harness.update_endpoints(EndpointEvent::Snapshot(other_zone));
    let from = harness.now;
    harness.run_traffic(2000.0, 40.0, &[0], &success_after(50.0));
    assert!(
        harness.sent_since(from).requests > 60,
        "the other zone should serve if the own zone has no endpoint"
    );
}

/// Guards against an overloaded zone next to idle ones, when clients move to one zone.
#[test]
fn requests_beyond_the_capacity_of_the_own_zone_go_to_other_zones() {
    let settings = Settings {
        cross_zone_price: 0.03,
        replica_count: 9,
        tenants: tenants(&[1.0], 900.0),
        ..settings_for_tenants(&[1.0])
    };
    let list = (1..=36).map(|id| endpoint_in_one_of_zones(id, 3)).collect();
    let mut harness = TestHarness::new(settings, 4, list);
    let in_own_zone = |sent: &SentSummary| sent.attempts_where(|id| id % 3 == 0);
    // Less than this replica's even part of the quotas, which is 100 requests per second.
    harness.run_traffic(6000.0, 60.0, &[0], &success_after(120.0));
    let sent = harness.sent_since(2000.0);
    let own = in_own_zone(&sent);
    let all = sent.attempts();
    assert!(
        own * 20 >= all * 19,
        "zone crossings have a price, but only {own} of {all} attempts stayed in the own zone"
    );
    let from = harness.now;
    harness.run_traffic(6000.0, 300.0, &[0], &success_after(120.0));
    let sent = harness.sent_since(from + 4000.0);
    let own = in_own_zone(&sent);
    let all = sent.attempts();
    assert!(
        (160..=320).contains(&own),
        "{own} of {all} attempts in 2 s stayed in the own zone"
    );
    assert!(all > 540, "only {all} of 600 requests sent");
}

/// Guards against slow endpoints that receive as much as fast ones from replicas with few requests in flight.
#[test]
fn of_two_equally_busy_endpoints_the_faster_one_is_picked() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 6);
    let is_slow = |id: u64| id.is_multiple_of(2);
    let upstream = |id: UpstreamId| {
        let duration = if is_slow(id.0) { 60.0 } else { 15.0 };
        Some(Response::success(duration))
    };
    harness.run_traffic(20_000.0, 20.0, &[0], &upstream);
    let sent = harness.sent_since(5000.0);
    let requests = sent.requests;
    let to_slow = sent.attempts_where(is_slow);
    assert!(
        to_slow * 3 < requests,
        "{to_slow} of {requests} sent to the slow endpoints"
    );
    assert!(
        to_slow > 0,
        "learned latency should fade, so that slow endpoints are used again"
    );
}

/// Without requests in flight, all endpoints are equally busy: guards against always picking the same few of them.
#[test]
fn replica_with_little_traffic_uses_all_endpoints() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 5);
    harness.run_traffic(60_000.0, 1.0, &[0], &success_after(50.0));
    let sent = harness.sent_since(0.0);
    assert!(
        sent.by_upstream.len() == 5 && sent.attempts_to_busiest_upstream() * 3 < sent.requests,
        "an endpoint was not used, or too often: {:?}",
        sent.by_upstream
    );
}

/// Each replica uses a stable subset, whose connections its traffic keeps open. Otherwise the number of connections
/// grows as replicas times endpoints.
#[test]
fn subset_follows_traffic_and_is_balanced_between_replicas() {
    let mut replicas_by_upstream = BTreeMap::new();
    for replica_index in 0..20 {
        let settings = Settings {
            replica_index,
            replica_count: 20,
            ..settings_for_tenants(&[1.0])
        };
        let mut harness = TestHarness::new(settings, u64::from(replica_index), endpoints(40));
        harness.run_traffic(12_000.0, 8.0, &[0], &success_after(50.0));
        let used = harness.sent_since(6000.0).by_upstream;
        assert!(
            (5..=14).contains(&used.len()),
            "replica {replica_index} used {} endpoints",
            used.len()
        );
        for id in used.keys() {
            *replicas_by_upstream.entry(*id).or_insert(0) += 1;
        }
    }
    let used = replicas_by_upstream.len();
    let most = replicas_by_upstream.values().max().copied().unwrap_or(0);
    assert!(
        used == 40 && most <= 7,
        "{most} replicas use the same endpoint, and {used} of 40 endpoints are used"
    );
}

/// Guards against many replicas with little traffic that each keep connections to most endpoints, and exhaust
/// the connection limits of the tier.
#[test]
fn replica_with_little_traffic_keeps_few_connections_from_the_start() {
    let settings = Settings {
        replica_count: 20,
        idle_close: 30_000.0,
        ..settings_for_tenants(&[1.0])
    };
    let mut harness = TestHarness::with_endpoints(settings, 100);
    harness.run_traffic(20_000.0, 3.0, &[0], &success_after(200.0));
    let sent = harness.sent_since(0.0);
    let used = sent.by_upstream.len();
    assert!(
        sent.requests > 40 && used <= 10,
        "{} requests used {used} endpoints",
        sent.requests
    );
}

/// Guards against a subset so large that connections close between two requests, and most requests need a new one.
#[test]
fn subset_keeps_connections_open_where_they_close_soon() {
    let settings = Settings {
        idle_close: 200.0,
        tenants: tenants(&[1.0], 300.0),
        ..settings_for_tenants(&[1.0])
    };
    let idle_close = settings.idle_close;
    let mut harness = TestHarness::with_endpoints(settings, 150);
    harness.run_traffic(10_000.0, 300.0, &[0], &success_after(150.0));
    let mut last_sent_at = BTreeMap::new();
    let mut sent = 0;
    let mut on_new_connection = 0;
    let records = harness.requests.values();
    for attempt in records.flat_map(|record| &record.attempts) {
        let last = last_sent_at.insert(attempt.upstream, attempt.sent_at);
        if attempt.sent_at >= 5000.0 {
            sent += 1;
            let is_open = last.is_some_and(|last| attempt.sent_at - last < idle_close);
            on_new_connection += usize::from(!is_open);
        }
    }
    assert!(
        sent > 1400 && on_new_connection * 10 < sent,
        "{on_new_connection} of {sent} requests needed a new connection"
    );
}
