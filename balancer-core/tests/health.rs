//! Ejection of outliers, and avoidance of unresponsive endpoints.
mod common;

use balancer_core::{AttemptOutcome, Endpoint, Idempotency, UpstreamId};
use common::{
    endpoint, settings_for_tenants, settings_that_value_late_responses, success_after, Response,
    TestHarness,
};
use std::cell::Cell;
use std::collections::BTreeSet;

#[test]
fn endpoint_that_fails_fast_receives_few_requests() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 6);
    let upstream = |id| {
        if id == UpstreamId(2) {
            Some(Response {
                outcome: AttemptOutcome::Error,
                duration: 2.0,
            })
        } else {
            Some(Response::success(120.0))
        }
    };
    harness.run_traffic(10_000.0, 60.0, &[0], &upstream);
    let sent = harness.sent_since(3000.0);
    let requests = sent.requests;
    let to_failing = sent.attempts_to(2);
    assert!(
        to_failing * 20 < requests,
        "{to_failing} of {requests} sent to the failing endpoint: {:?}",
        sent.by_upstream
    );
    assert!(
        requests > 350,
        "failures of one endpoint reduced capacity: {requests} of 420 sent"
    );
}

#[test]
fn unresponsive_endpoint_is_avoided_and_does_not_reduce_capacity() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 6);
    let upstream = |id| (id != UpstreamId(2)).then_some(Response::success(40.0));
    harness.run_traffic(20_000.0, 60.0, &[0], &upstream);
    let sent = harness.sent_since(4000.0);
    let to_unresponsive = sent.attempts_to(2);
    assert!(
        to_unresponsive <= 12,
        "{to_unresponsive} requests sent to the unresponsive endpoint"
    );
    assert!(
        sent.requests > 900,
        "the other endpoints did not serve the remaining requests: {} of 960 sent",
        sent.requests
    );
}

/// Guards against requests to a zone in which more endpoints fail than may be ejected.
#[test]
fn unreachable_zone_is_avoided() {
    let endpoints = (1..=12)
        .map(|id| Endpoint {
            zone: (id % 3) as u16,
            ..endpoint(id)
        })
        .collect();
    let mut harness = TestHarness::new(settings_for_tenants(&[1.0]), 4, endpoints);
    let is_unreachable = |id: u64| id % 3 == 2;
    let upstream = |id: UpstreamId| {
        if is_unreachable(id.0) {
            Some(Response {
                outcome: AttemptOutcome::ConnectFailed,
                duration: 100.0,
            })
        } else {
            Some(Response::success(50.0))
        }
    };
    harness.run_traffic(12_000.0, 60.0, &[0], &upstream);
    let sent = harness.sent_since(4000.0);
    let requests = sent.requests;
    let lost = sent.attempts_where(is_unreachable);
    assert!(
        lost * 25 < requests,
        "{lost} of {requests} requests had attempts in the unreachable zone"
    );
}

/// Guards against avoiding an unresponsive endpoint only once its first attempt has timed out: until then, it would
/// receive further requests.
#[test]
fn endpoint_with_an_overdue_response_is_avoided_before_the_first_timeout() {
    let settings = settings_that_value_late_responses(Idempotency::NonIdempotent);
    let mut harness = TestHarness::with_endpoints(settings, 3);
    harness.run_traffic(3000.0, 60.0, &[0], &success_after(50.0));
    let from = harness.now;
    let upstream = |id| (id != UpstreamId(2)).then_some(Response::success(150.0));
    harness.run_traffic(1800.0, 40.0, &[0], &upstream);
    let late_attempts = harness
        .requests
        .values()
        .flat_map(|record| &record.attempts)
        .filter(|attempt| attempt.upstream == UpstreamId(2) && attempt.sent_at > from + 600.0);
    assert_eq!(
        late_attempts.count(),
        0,
        "attempts sent to the endpoint over 600 ms after it stopped responding: after six times the expected latency, \
         it should be avoided"
    );
}

#[test]
fn last_endpoint_is_used_even_if_ejected() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 1);
    for id in 0..8 {
        harness.send_request(id, 0, 0);
        assert!(harness.request(id).was_sent(), "request {id} was not sent");
        harness.end_attempt(id, 0, AttemptOutcome::Reset);
        let attempts = &harness.request(id).attempts;
        let newest = attempts.len() - 1;
        if attempts[newest].outcome.is_none() {
            harness.end_attempt(id, newest, AttemptOutcome::Success);
        }
    }
}

/// Guards against ejections by chance that overload the remaining endpoints.
#[test]
fn chance_failures_leave_most_endpoints_in_use() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 4);
    harness.run_traffic(5000.0, 60.0, &[0], &success_after(50.0));
    let upstream = |id: UpstreamId| {
        let outcome = if id.0 < 4 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        };
        Some(Response {
            outcome,
            duration: 50.0,
        })
    };
    harness.run_traffic(300.0, 60.0, &[0], &upstream);
    harness.advance(100.0);
    let from = harness.now;
    harness.run_traffic(1000.0, 60.0, &[0], &success_after(50.0));
    let sent = harness.sent_since(from);
    assert!(
        sent.by_upstream.len() >= 3,
        "more than one of four endpoints ejected: {} requests sent to {:?}",
        sent.requests,
        sent.by_upstream
    );
}

/// Guards against ejections where one response in eight fails at all endpoints alike: two consecutive failures
/// are chance, and each ejection overloads the others.
#[test]
fn failures_shared_by_all_endpoints_eject_few() {
    let settings = settings_that_value_late_responses(Idempotency::NonIdempotent);
    let mut harness = TestHarness::with_endpoints(settings, 4);
    let random = Cell::new(1u32);
    let upstream = |_| {
        let next = random
            .get()
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        random.set(next);
        let outcome = if next >> 29 == 0 {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Success
        };
        Some(Response {
            outcome,
            duration: 50.0,
        })
    };
    harness.run_traffic(40_000.0, 60.0, &[0], &upstream);
    let seconds_in_use: BTreeSet<(UpstreamId, u32)> = harness
        .requests
        .values()
        .flat_map(|record| &record.attempts)
        .filter(|attempt| attempt.sent_at >= 5000.0)
        .map(|attempt| (attempt.upstream, (attempt.sent_at / 1000.0) as u32))
        .collect();
    let seconds_unused = 4 * 35 - seconds_in_use.len();
    assert!(
        seconds_unused <= 14,
        "seconds in which an endpoint was not used: {seconds_unused} of 140 (35 s of 4 endpoints)"
    );
}

/// Guards against ejections where half of the responses fail at all endpoints alike: several consecutive failures
/// of one endpoint are chance, and no endpoint is worse than the others.
#[test]
fn endpoints_that_all_fail_every_other_request_are_not_ejected() {
    let settings = settings_that_value_late_responses(Idempotency::NonIdempotent);
    let mut harness = TestHarness::with_endpoints(settings, 4);
    let attempts = Cell::new(0u32);
    let upstream = |_| {
        attempts.set(attempts.get() + 1);
        let outcome = if attempts.get().is_multiple_of(2) {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Success
        };
        Some(Response {
            outcome,
            duration: 50.0,
        })
    };
    // Long enough to learn the failure rate of all endpoints.
    harness.run_traffic(10_000.0, 60.0, &[0], &upstream);
    for second in 0..60 {
        harness.run_traffic(1000.0, 60.0, &[0], &upstream);
        let counts = harness.balancer.endpoint_counts(harness.now);
        assert_eq!(counts.avoided, 0, "endpoints avoided after {second} s");
    }
}
