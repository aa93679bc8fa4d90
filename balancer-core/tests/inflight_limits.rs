//! Limits of requests in flight.
mod common;

use balancer_core::{
    Action, AttemptOutcome, Class, EndpointEvent, Idempotency, Settings, UpstreamId,
};
use common::{
    class_that_values_late_responses, draining, endpoint, no_response,
    settings_that_value_late_responses, success_after,
    tenantless_settings_that_value_late_responses, tenants, Response, TestHarness,
};

/// Settings of one of several replicas that share a quota of 60 requests per second each.
fn shared_settings(replica_count: u32) -> Settings {
    Settings {
        tenants: tenants(&[1.0], 60.0 * f64::from(replica_count)),
        replica_count,
        ..tenantless_settings_that_value_late_responses(Idempotency::NonIdempotent)
    }
}

/// Guards against admission by responses alone: it notices a tier that stops responding only when attempts time out.
#[test]
fn limits_requests_in_flight_before_any_response_is_late() {
    let settings = settings_that_value_late_responses(Idempotency::Idempotent);
    let mut harness = TestHarness::with_endpoints(settings, 4);
    harness.run_traffic(5000.0, 60.0, &[0], &success_after(50.0));
    let from = harness.now;
    harness.run_traffic(1500.0, 60.0, &[0], &no_response);
    let sent = harness.sent_since(from).requests;
    assert!(
        sent < 60,
        "{sent} of 90 requests sent to a tier that does not respond"
    );
}

/// Guards against capacity that grows without load, and exceeds what remains when endpoints are lost.
#[test]
fn first_tier_without_overload_admits_no_more_in_flight_than_its_quotas_need() {
    let burst = |tier| {
        let settings = Settings {
            tier,
            ..settings_that_value_late_responses(Idempotency::NonIdempotent)
        };
        let mut harness = TestHarness::with_endpoints(settings, 4);
        harness.run_traffic(20_000.0, 60.0, &[0], &success_after(50.0));
        harness.advance(500.0);
        // Shorter than the 300 ms without a response that make an endpoint count as overloaded: requests in flight to
        // overloaded endpoints do not count against the limit.
        let from = harness.now;
        harness.run_traffic(290.0, 100.0, &[0], &no_response);
        harness.sent_since(from).requests
    };
    // 60 requests per second make 12 in flight in the 200 ms that are on time, and there is one spare. Quotas do not
    // limit lower tiers.
    assert!(
        (12..=13).contains(&burst(0)),
        "{} requests in flight to the first tier",
        burst(0)
    );
    assert!(
        burst(1) > 20,
        "{} requests in flight to a lower tier",
        burst(1)
    );
}

/// Guards against rejections of requests that other endpoints could serve.
#[test]
fn requests_in_flight_to_draining_endpoints_do_not_count() {
    let settings = settings_that_value_late_responses(Idempotency::NonIdempotent);
    let mut harness = TestHarness::with_endpoints(settings, 2);
    harness.run_traffic(5000.0, 60.0, &[0], &success_after(150.0));
    harness.run_traffic(900.0, 100.0, &[0], &no_response);
    let changes = vec![draining(1), draining(2), endpoint(3), endpoint(4)];
    harness.update_endpoints(EndpointEvent::Delta(changes));
    let from = harness.now;
    harness.run_traffic(200.0, 60.0, &[0], &success_after(150.0));
    let sent = harness.sent_since(from).requests;
    assert!(
        sent >= 10,
        "{sent} of 12 requests admitted though two endpoints have none in flight"
    );
}

/// Guards against an unloaded latency that grows in an overload, and raises the limit with it.
#[test]
fn overload_does_not_raise_the_limit() {
    let settings = settings_that_value_late_responses(Idempotency::Idempotent);
    let mut harness = TestHarness::with_endpoints(settings, 4);
    harness.run_traffic(5000.0, 60.0, &[0], &success_after(150.0));
    // Three of four responses are within the objective.
    let overloaded = |id: UpstreamId| {
        let duration = if id.0 == 4 { 600.0 } else { 400.0 };
        Some(Response::success(duration))
    };
    harness.run_traffic(30_000.0, 60.0, &[0], &overloaded);
    harness.advance(2000.0);
    let from = harness.now;
    harness.run_traffic(900.0, 100.0, &[0], &no_response);
    let sent = harness.sent_since(from).requests;
    assert!(sent < 30, "{sent} requests in flight to an overloaded tier");
}

/// Guards against a spare request in flight at each replica: the spares of many replicas add up.
#[test]
fn replicas_that_share_the_first_tier_have_no_spare_requests_in_flight() {
    let burst = |replica_count: u32| {
        let mut harness = TestHarness::with_endpoints(shared_settings(replica_count), 4);
        harness.run_traffic(20_000.0, 60.0, &[0], &success_after(50.0));
        harness.advance(500.0);
        let from = harness.now;
        harness.run_traffic(290.0, 100.0, &[0], &no_response);
        harness.sent_since(from).requests
    };
    // 60 requests per second make three in flight in 50 ms. A single replica may have those of the 200 ms that are
    // on time, and one spare.
    assert!(
        (12..=13).contains(&burst(1)),
        "{} requests in flight from a single replica",
        burst(1)
    );
    assert!(
        (4..=6).contains(&burst(20)),
        "{} requests in flight from one of twenty",
        burst(20)
    );
}

/// Guards against rejections at the few replicas that receive several times the mean traffic.
#[test]
fn replica_with_more_clients_than_others_serves_them_while_latency_is_low() {
    let sent_at_latency = |latency: f64| {
        let mut harness = TestHarness::with_endpoints(shared_settings(20), 8);
        harness.run_traffic(10_000.0, 240.0, &[0], &success_after(50.0));
        let from = harness.now;
        harness.run_traffic(8000.0, 240.0, &[0], &success_after(latency));
        let in_total = harness.sent_since(from).requests;
        let in_last_two_seconds = harness.sent_since(harness.now - 2000.0).requests;
        (in_total, in_last_two_seconds)
    };
    assert!(
        sent_at_latency(50.0).0 > 1850,
        "admitted at low latency, of 1920 and of the last 480: {:?}",
        sent_at_latency(50.0)
    );
    // When latency rises, the replica returns to its even quota of 60 per second.
    assert!(
        sent_at_latency(190.0).1 < 240,
        "admitted although latency rose, of 1920 and of the last 480: {:?}",
        sent_at_latency(190.0)
    );
}

/// Guards against a limit below the few requests that a replica has in flight by chance.
#[test]
fn replica_with_little_traffic_rejects_none_without_overload() {
    let settings = Settings {
        tenants: tenants(&[1.0], 300.0),
        replica_count: 100,
        ..Settings::default()
    };
    let mut harness = TestHarness::with_endpoints(settings, 4);
    harness.run_traffic(60_000.0, 1.5, &[0], &success_after(700.0));
    let rejected = harness.count_actions(|action| matches!(action, Action::Reject { .. }));
    assert_eq!(rejected, 0, "requests rejected, of 90");
}

/// Guards against rejections of requests that other endpoints could serve.
#[test]
fn requests_in_flight_to_overloaded_endpoints_do_not_count() {
    let class = Class {
        deadline: 6000.0,
        ..class_that_values_late_responses(Idempotency::NonIdempotent)
    };
    let settings = Settings {
        classes: vec![class],
        ..shared_settings(20)
    };
    let mut harness = TestHarness::with_endpoints(settings, 4);
    harness.run_traffic(5000.0, 58.0, &[0], &success_after(150.0));
    let from = harness.now;
    let upstream = |id| {
        let duration = if id == UpstreamId(1) { 4000.0 } else { 150.0 };
        Some(Response::success(duration))
    };
    harness.run_traffic(4000.0, 58.0, &[0], &upstream);
    let sent = harness.sent_since(from).requests;
    assert!(
        sent > 220,
        "{sent} of 232 requests admitted though three endpoints are idle"
    );
}

/// Guards against a limit of one request in flight, which rejects the second of two that arrive together by chance.
#[test]
fn replica_with_little_traffic_admits_both_requests_of_a_pair() {
    let settings = Settings {
        tenants: tenants(&[1.0], 300.0),
        replica_count: 100,
        ..Settings::default()
    };
    let mut harness = TestHarness::with_endpoints(settings, 4);
    // Two requests per second; the replica's even quota is three.
    for first in (0..60).step_by(2) {
        for id in [first, first + 1] {
            harness.send_request(id, 0, 0);
            assert!(harness.request(id).was_sent(), "request {id} was not sent");
        }
        harness.advance(50.0);
        for id in [first, first + 1] {
            harness.end_attempt(id, 0, AttemptOutcome::Success);
        }
        harness.advance(950.0);
    }
}
