//! When and where requests are retried, and when they end.
mod common;

use balancer_core::{
    Action, AttemptOutcome, Class, DedupScope, Endpoint, Idempotency, Settings, UpstreamId,
};
use common::{
    class, endpoint, endpoints, outcome_after, settings_for_tenants,
    settings_that_value_late_responses, tenantless_settings_that_value_late_responses,
    RequestRecord, Response, TestHarness,
};
use std::cell::Cell;

fn idempotency_key(scope: DedupScope) -> Idempotency {
    Idempotency::IdempotencyKey {
        scope,
        window: 700.0,
    }
}

fn endpoint_of_group(id: u64, group: u16) -> Endpoint {
    Endpoint {
        group,
        ..endpoint(id)
    }
}

fn is_sent(actions: &[Action]) -> bool {
    matches!(actions, [Action::Send { .. }])
}

fn is_failed(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail { .. }])
}

fn is_rejected(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { .. }])
}

/// Guards against attempts that use capacity in every tier above although their responses have no value.
#[test]
fn request_ends_at_its_objective_if_late_responses_have_no_value() {
    for (late_weight, ends_at) in [(0.0, 500.0), (0.4, 2000.0)] {
        let class = Class {
            late_weight,
            ..class(Idempotency::NonIdempotent)
        };
        let settings = Settings {
            classes: vec![class],
            ..Settings::default()
        };
        let mut harness = TestHarness::with_endpoints(settings, 1);
        harness.send_request(1, 0, 0);
        harness.advance(ends_at - 100.0);
        assert!(
            !harness.request(1).is_completed,
            "the request ended 100 ms or more before {ends_at} ms"
        );
        harness.advance(100.0);
        assert!(
            harness.request(1).is_completed,
            "the request did not end by {ends_at} ms"
        );
    }
}

/// Guards against a timeout at the deadline, which leaves no time for a retry.
#[test]
fn lost_request_is_retried_in_time() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 6);
    let upstream = |id| (id != UpstreamId(2)).then_some(Response::success(40.0));
    harness.run_traffic(20_000.0, 30.0, &[0], &upstream);
    // A timeout at the end of the objective, after 490 ms, would be too late.
    let is_retried_in_time = harness
        .requests
        .values()
        .filter(|record| record.attempts.len() > 1)
        .any(|record| record.attempts[1].sent_at - record.attempts[0].sent_at < 450.0);
    assert!(is_retried_in_time, "no lost request was retried in time");
}

/// Guards against a subset without other endpoints that share the record of idempotency keys.
#[test]
fn retry_with_idempotency_key_finds_another_endpoint_of_its_group() {
    let key = Idempotency::IdempotencyKey {
        scope: DedupScope::Group,
        window: 5000.0,
    };
    let settings = Settings {
        replica_count: 10,
        replica_index: 3,
        ..settings_that_value_late_responses(key)
    };
    let list = (1..=60)
        .map(|id| endpoint_of_group(id, (id % 10) as u16))
        .collect();
    let mut harness = TestHarness::new(settings, 4, list);
    let mut retried_elsewhere = 0;
    for id in 0..40 {
        harness.send_request(id, 0, 0);
        let outcome = if id % 2 == 0 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        };
        harness.end_attempt(id, 0, outcome);
        if let [first, retry] = &harness.request(id).attempts[..] {
            retried_elsewhere += u32::from(first.upstream != retry.upstream);
            harness.end_attempt(id, 1, AttemptOutcome::Success);
        }
        harness.advance(500.0);
    }
    assert!(
        retried_elsewhere >= 17,
        "{retried_elsewhere} of 20 retries found another endpoint of their group"
    );
}

#[test]
fn retries_stay_within_their_budget() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 8);
    let failing = outcome_after(AttemptOutcome::Error, 5.0);
    harness.run_traffic(20_000.0, 40.0, &[0], &failing);
    let sent = harness.sent_since(0.0);
    let requests = sent.requests;
    let attempts = sent.attempts();
    // Retries are allowed for a fifth of all requests, including rejected ones, and ten are available at the start.
    assert!(
        attempts <= requests + 800 / 5 + 10,
        "{attempts} attempts for {requests} requests"
    );
    assert!(attempts > requests, "no request was retried");
}

/// Guards against rejecting requests with time left because their attempts failed now and then, where the tier
/// is not overloaded: it responds on time.
#[test]
fn requests_are_not_lost_to_single_failures_of_a_tier_that_is_on_time() {
    for (duration, one_in) in [(1.0, 4), (1.0, 3), (40.0, 4), (40.0, 3)] {
        let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 2);
        let attempts = Cell::new(0_u64);
        let failing_now_and_then = |_: UpstreamId| {
            attempts.set(attempts.get() + 1);
            // A hash of the attempt's number, so that a request's attempts fail independently of one another.
            let hash = attempts.get().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
            Some(Response {
                outcome: if hash.is_multiple_of(one_in) {
                    AttemptOutcome::Reset
                } else {
                    AttemptOutcome::Success
                },
                duration,
            })
        };
        harness.run_traffic(20_000.0, 150.0, &[0], &failing_now_and_then);
        // The newest requests are still in flight.
        let ended_by = harness.now + harness.settings.classes[0].deadline - 1000.0;
        let max_attempts = harness.settings.max_attempts as usize;
        let has_attempts_left = |record: &RequestRecord| record.attempts.len() < max_attempts;
        let lost = harness
            .requests
            .values()
            .filter(|record| record.deadline < ended_by)
            .filter(|record| record.was_sent() && !record.succeeded() && has_attempts_left(record))
            .count();
        assert_eq!(
            lost,
            0,
            "requests lost, of {}, where one in {one_in} attempts fails after {duration} ms",
            harness.requests.len()
        );
    }
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_never_ran() {
    let settings = tenantless_settings_that_value_late_responses(Idempotency::NonIdempotent);
    let mut harness = TestHarness::new(settings, 1, endpoints(4));
    harness.send_request(1, 0, 0);
    assert!(
        is_sent(&harness.end_attempt(1, 0, AttemptOutcome::Rejected)),
        "a rejected request should be retried: it never ran"
    );
    assert!(is_sent(&harness.end_attempt(
        1,
        1,
        AttemptOutcome::Rejected
    )));
    assert!(
        is_rejected(&harness.end_attempt(1, 2, AttemptOutcome::Rejected)),
        "a request without attempts left should be rejected"
    );
    harness.send_request(2, 0, 0);
    assert!(
        is_failed(&harness.end_attempt(2, 0, AttemptOutcome::Reset)),
        "a reset request should fail: it may have run"
    );
}

#[test]
fn rejection_proves_nothing_if_upstreams_reject_after_start() {
    let settings = Settings {
        rejects_after_start: true,
        ..tenantless_settings_that_value_late_responses(Idempotency::NonIdempotent)
    };
    let mut harness = TestHarness::new(settings, 1, endpoints(4));
    harness.send_request(1, 0, 0);
    assert!(
        is_failed(&harness.end_attempt(1, 0, AttemptOutcome::Rejected)),
        "a rejected request should fail: it may have run"
    );
    harness.send_request(2, 0, 0);
    assert!(
        is_sent(&harness.end_attempt(2, 0, AttemptOutcome::ConnectFailed)),
        "a request without a connection should be retried: it never ran"
    );

    let settings = Settings {
        rejects_after_start: true,
        ..tenantless_settings_that_value_late_responses(idempotency_key(DedupScope::Group))
    };
    let list = (1..=8)
        .map(|id| endpoint_of_group(id, (id % 2) as u16))
        .collect();
    let mut harness = TestHarness::new(settings, 1, list);
    for id in 0..40 {
        harness.send_request(id, 0, 0);
        harness.advance(50.0);
        // The harness checks the group and the window against the rejected attempt.
        harness.end_attempt(id, 0, AttemptOutcome::Rejected);
        if harness.request(id).attempts.len() == 2 {
            harness.end_attempt(id, 1, AttemptOutcome::Success);
        }
    }
}

/// Guards against retries that wait for a connection, and arrive when upstreams no longer discard repeats.
#[test]
fn request_with_idempotency_key_is_not_retried_if_connecting_could_outlast_its_window() {
    for (elapsed, is_retried) in [(550.0, true), (620.0, false)] {
        let settings = Settings {
            connect_timeout: 100.0,
            ..tenantless_settings_that_value_late_responses(idempotency_key(DedupScope::All))
        };
        let mut harness = TestHarness::new(settings, 1, endpoints(4));
        harness.send_request(1, 0, 0);
        harness.advance(elapsed);
        let actions = harness.end_attempt(1, 0, AttemptOutcome::Reset);
        let sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        assert_eq!(
            sent, is_retried,
            "whether retried {elapsed} ms after the first attempt"
        );
    }
}

#[test]
fn request_with_idempotency_key_is_retried_only_within_its_group_and_window() {
    let settings =
        tenantless_settings_that_value_late_responses(idempotency_key(DedupScope::Group));
    let same_group = (1..=4).map(|id| endpoint_of_group(id, 4)).collect();
    let mut harness = TestHarness::new(settings.clone(), 1, same_group);
    harness.send_request(1, 0, 0);
    harness.advance(600.0);
    assert!(
        is_sent(&harness.end_attempt(1, 0, AttemptOutcome::Error)),
        "a request should be retried while upstreams remember its key"
    );
    harness.send_request(2, 0, 0);
    harness.advance(701.0);
    assert!(
        is_failed(&harness.end_attempt(2, 0, AttemptOutcome::Error)),
        "a request should fail once upstreams have forgotten its key"
    );
    let groups_of_one = (1..=4).map(|id| endpoint_of_group(id, id as u16)).collect();
    let mut harness = TestHarness::new(settings, 1, groups_of_one);
    harness.send_request(1, 0, 0);
    let actions = harness.end_attempt(1, 0, AttemptOutcome::Error);
    let first = harness.request(1).attempts[0].upstream;
    let is_allowed = |action: &Action| match action {
        Action::Fail { .. } => true,
        Action::Send { upstream, .. } => *upstream == first,
        _ => false,
    };
    assert!(
        actions.iter().all(is_allowed),
        "retried at another upstream, which does not know the key: {actions:?}"
    );
}
