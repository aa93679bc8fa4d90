//! Attempts that time out before their request expires, so that a retry is in time.
mod common;

use balancer_core::{AttemptOutcome, Class, Idempotency, RequestId, Settings, UpstreamId};
use common::{class, success_after, Response, TestHarness};
use std::cell::Cell;

/// Time from a request to its deadline, in milliseconds; much longer than an early timeout.
const DEADLINE: f64 = 12_000.0;
/// Time that timers, schedulers and a new connection may take on a busy machine, in milliseconds.
const BUSY_MACHINE_DELAY: f64 = 100.0;

fn settings(max_attempts: u32) -> Settings {
    let class = Class {
        deadline: DEADLINE,
        late_weight: 0.5,
        ..class(Idempotency::Idempotent)
    };
    Settings {
        classes: vec![class],
        max_attempts,
        ..Settings::default()
    }
}

/// A harness whose endpoints end attempts after a millisecond; every third attempt fails if it goes to upstream 1.
fn harness_with_failures(endpoints: u64, max_attempts: u32) -> TestHarness {
    let mut harness = TestHarness::with_endpoints(settings(max_attempts), endpoints);
    let count = Cell::new(0);
    let failing = |upstream: UpstreamId| {
        count.set(count.get() + 1);
        let fails = count.get() % 3 == 0 && upstream == UpstreamId(1);
        Some(Response {
            outcome: if fails {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Success
            },
            duration: 1.0,
        })
    };
    harness.run_traffic(10_000.0, 50.0, &[0], &failing);
    harness
}

/// Sends requests that get no response, and returns the timeouts of their attempts.
fn timeouts_without_responses(harness: &mut TestHarness, requests: u32) -> Vec<f64> {
    let first = harness.next_request_id();
    for id in first..first + requests {
        harness.send_request(id, 0, 0);
    }
    let attempts = (first..first + requests).flat_map(|id| harness.request(id).attempts.clone());
    attempts
        .map(|attempt| attempt.times_out_at - attempt.sent_at)
        .collect()
}

/// Guards against rejecting a request with time left because its only endpoint took longer than
/// usual: no other endpoint could serve a retry.
#[test]
fn attempt_at_the_only_endpoint_has_no_early_timeout() {
    let mut harness = TestHarness::with_endpoints(settings(5), 1);
    harness.run_traffic(10_000.0, 50.0, &[0], &success_after(1.0));
    let failing = harness.next_request_id();
    harness.send_request(failing, 0, 0);
    harness.end_attempt(failing, 0, AttemptOutcome::Error);
    harness.end_attempt(failing, 1, AttemptOutcome::Error);
    for timeout in timeouts_without_responses(&mut harness, 1) {
        assert!(
            timeout > DEADLINE - 1.0,
            "the attempt times out early, after {timeout} ms"
        );
    }
}

/// Guards against timeouts of a few milliseconds where responses usually take less.
#[test]
fn early_timeout_allows_for_a_busy_machine() {
    let mut harness = harness_with_failures(3, 5);
    let timeouts = timeouts_without_responses(&mut harness, 40);
    let early: Vec<_> = timeouts
        .iter()
        .filter(|&&timeout| timeout < DEADLINE / 2.0)
        .collect();
    assert!(
        !early.is_empty(),
        "no attempt at the suspect endpoint has an early timeout"
    );
    assert!(
        early.iter().all(|&&timeout| timeout >= BUSY_MACHINE_DELAY),
        "some early timeout is too short, of these in ms: {early:?}"
    );
}

/// Guards against an early timeout after which a request with time left has no attempt, because the retry
/// budget was spent meanwhile.
#[test]
fn every_early_timeout_is_followed_by_a_retry() {
    let mut harness = harness_with_failures(3, 3);
    let first = harness.next_request_id();
    timeouts_without_responses(&mut harness, 60);
    harness.advance(DEADLINE / 4.0);
    let mut retried = 0;
    for id in first..first + 60 {
        let record = &harness.requests[&RequestId(id)];
        if !record.was_sent() {
            continue;
        }
        assert!(
            !record.is_completed,
            "request {id} ended before its deadline of {DEADLINE} ms"
        );
        retried += usize::from(record.attempts.len() > 1);
    }
    assert!(retried > 0, "no request was retried after an early timeout");
}
