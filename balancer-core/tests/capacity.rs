//! Learned capacity: how it follows latency and the number of endpoints.
mod common;

use balancer_core::{
    Action, AttemptOutcome, Class, EndpointEvent, Idempotency, Settings, UpstreamId,
};
use common::{
    class_that_values_late_responses, draining, endpoints, no_response, outcome_after,
    settings_for_tenants, settings_that_value_late_responses, success_after, Response, TestHarness,
};

/// Guards against capacity that recovers slowly because old latencies still count.
#[test]
fn capacity_recovers_soon_after_an_overload() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 4);
    harness.run_traffic(5000.0, 60.0, &[0], &success_after(50.0));
    harness.run_traffic(8000.0, 60.0, &[0], &success_after(900.0));
    harness.run_traffic(6000.0, 60.0, &[0], &success_after(50.0));
    let from = harness.now;
    harness.run_traffic(2000.0, 60.0, &[0], &success_after(50.0));
    let sent = harness.sent_since(from).requests;
    assert!(
        sent > 100,
        "{sent} of 120 admitted six seconds after the overload"
    );
}

/// Guards against not counting responses that take longer than a cycle.
#[test]
fn responses_slower_than_a_cycle_reduce_capacity() {
    let class = Class {
        objective: 1000.0,
        deadline: 3000.0,
        ..class_that_values_late_responses(Idempotency::Idempotent)
    };
    let settings = Settings {
        classes: vec![class],
        ..settings_for_tenants(&[1.0])
    };
    let mut harness = TestHarness::with_endpoints(settings, 8);
    let upstream = |id: UpstreamId| {
        let duration = if id.0 < 4 { 60.0 } else { 1400.0 };
        Some(Response::success(duration))
    };
    harness.run_traffic(10_000.0, 120.0, &[0], &upstream);
    let sent = harness.sent_since(5000.0).requests;
    assert!(
        sent < 450,
        "{sent} of 600 admitted, though many responses are late; the quotas are 300"
    );
}

/// Guards against a minimum capacity that stays at the stated quotas when half of a tier is gone.
#[test]
fn minimum_capacity_follows_the_ready_endpoints() {
    let sent_with_ready = |ready: u64| {
        let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 8);
        harness.update_endpoints(EndpointEvent::Snapshot(endpoints(ready)));
        harness.run_traffic(10_000.0, 120.0, &[0], &success_after(420.0));
        harness.sent_since(5000.0).requests
    };
    let all = sent_with_ready(8);
    let half = sent_with_ready(4);
    assert!(
        half * 3 < all * 2,
        "{half} sent to half of the endpoints, {all} to all"
    );
}

/// Guards against capacity that decreases only when responses are late: by then, the remaining endpoint is overloaded.
#[test]
fn capacity_decreases_at_once_when_endpoints_drain() {
    let burst = |drained: &[u64]| {
        let settings = settings_that_value_late_responses(Idempotency::NonIdempotent);
        let mut harness = TestHarness::with_endpoints(settings, 4);
        harness.run_traffic(5000.0, 60.0, &[0], &success_after(150.0));
        harness.advance(1000.0);
        let drained = drained.iter().map(|&id| draining(id)).collect();
        harness.update_endpoints(EndpointEvent::Delta(drained));
        let from = harness.now;
        harness.run_traffic(900.0, 100.0, &[0], &no_response);
        harness.sent_since(from).requests
    };
    let four_endpoints = burst(&[]);
    let one_endpoint = burst(&[2, 3, 4]);
    assert!(
        one_endpoint > 2 && one_endpoint * 2 < four_endpoints,
        "{four_endpoints} requests in flight to four endpoints, {one_endpoint} to one"
    );
}

/// Guards against counting failures that all endpoints share as each endpoint's own: an endpoint's own failures do not
/// reduce capacity.
#[test]
fn shared_failures_reduce_capacity_below_the_quotas() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 6);
    let failing = outcome_after(AttemptOutcome::Error, 5.0);
    harness.run_traffic(5000.0, 60.0, &[0], &success_after(50.0));
    harness.run_traffic(10_000.0, 60.0, &[0], &failing);
    let from = harness.now;
    harness.run_traffic(5000.0, 60.0, &[0], &failing);
    let sent = harness.sent_since(from).requests;
    assert!(
        sent < 150,
        "{sent} of 300 requests sent while nearly all fail"
    );
    assert!(
        sent > 0,
        "no requests were sent: the balancer learns nothing"
    );
    let lines = harness.count_actions(|action| matches!(action, Action::Log(_)));
    assert!(
        (1..=3).contains(&lines),
        "the change of state should be logged, and at most two further ones: {lines} lines"
    );
}

/// Guards against capacity that grows so slowly after a queue that requests are still rejected long after the queue is
/// gone.
#[test]
fn capacity_grows_within_seconds_to_a_load_above_the_quotas() {
    let settings = Settings {
        tier: 1,
        ..settings_for_tenants(&[1.0])
    };
    let mut harness = TestHarness::with_endpoints(settings, 8);
    // Responses within their objective but slow: capacity falls to the quotas, and the tenant saves none of its limit.
    harness.run_traffic(40_000.0, 150.0, &[0], &success_after(260.0));
    harness.run_traffic(6000.0, 150.0, &[0], &success_after(20.0));
    let from = harness.now;
    harness.run_traffic(2000.0, 150.0, &[0], &success_after(20.0));
    let sent = harness.sent_since(from).requests;
    assert!(
        sent > 285,
        "{sent} of 300 admitted six seconds after latency fell"
    );
}

/// Guards against sending as many requests to the one endpoint that remains in a lower tier as to four before: there,
/// learned capacity alone limits requests in flight.
#[test]
fn capacity_of_a_lower_tier_decreases_at_once_when_endpoints_drain() {
    let burst = |drained: &[u64]| {
        let settings = Settings {
            tier: 1,
            ..settings_that_value_late_responses(Idempotency::NonIdempotent)
        };
        let mut harness = TestHarness::with_endpoints(settings, 4);
        harness.run_traffic(5000.0, 60.0, &[0], &success_after(150.0));
        harness.advance(1000.0);
        let drained = drained.iter().map(|&id| draining(id)).collect();
        harness.update_endpoints(EndpointEvent::Delta(drained));
        let from = harness.now;
        harness.run_traffic(900.0, 300.0, &[0], &no_response);
        harness.sent_since(from).requests
    };
    let four_endpoints = burst(&[]);
    let one_endpoint = burst(&[2, 3, 4]);
    assert!(
        one_endpoint > 2 && one_endpoint * 2 < four_endpoints,
        "{four_endpoints} requests in flight to four endpoints, {one_endpoint} to one"
    );
}
