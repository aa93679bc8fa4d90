//! Slow start as one replica applies it.
mod common;

use balancer_core::{Endpoint, EndpointEvent, Idempotency};
use common::{
    endpoint, endpoints, no_response, settings_that_value_late_responses, slow_start_settings,
    success_after, TestHarness, SLOW_START_DURATION,
};

/// When harnesses start, in milliseconds; far from zero.
const START: f64 = 10_000_000.0;

/// A harness without endpoints, whose clock shows `START`.
fn harness_at_start() -> TestHarness {
    let mut harness = TestHarness::new(slow_start_settings(0, 1, 150.0), 1, Vec::new());
    harness.now = START;
    harness
}

fn endpoint_started_at(id: u64, started_at: f64) -> Endpoint {
    Endpoint {
        started_at,
        ..endpoint(id)
    }
}

/// Attempts to upstream 1 in the next two seconds.
fn sent_to_first_endpoint(mut harness: TestHarness) -> usize {
    let from = harness.now;
    harness.run_traffic(2000.0, 100.0, &[0], &success_after(20.0));
    harness.sent_since(from).attempts_to(1)
}

/// Attempts to upstream 1 in the two seconds after its restart, by a replica whose clock is ahead by this many
/// milliseconds.
fn sent_after_restart(clock_ahead: f64) -> usize {
    let mut harness = harness_at_start();
    harness.update_endpoints(EndpointEvent::CachedSnapshot(endpoints(4)));
    harness.run_traffic(3000.0, 100.0, &[0], &success_after(20.0));
    let restarted = endpoint_started_at(1, harness.now - clock_ahead);
    harness.update_endpoints(EndpointEvent::Delta(vec![restarted]));
    sent_to_first_endpoint(harness)
}

/// The same if the first list that the replica gets reports the start.
fn sent_after_first_list(clock_ahead: f64) -> usize {
    let mut harness = harness_at_start();
    let mut list = endpoints(4);
    list[0] = endpoint_started_at(1, START - clock_ahead);
    harness.update_endpoints(EndpointEvent::CachedSnapshot(list));
    sent_to_first_endpoint(harness)
}

/// Guards against a clock that is ahead and makes a restarted endpoint seem to have completed its slow start.
#[test]
fn restarted_endpoint_is_in_slow_start_however_far_the_clock_is_ahead() {
    let usual = sent_after_restart(0.0);
    for clock_ahead in [5_000.0, 60_000.0, 3_600_000.0] {
        let sent = sent_after_restart(clock_ahead);
        assert!(
            sent <= usual * 2,
            "{sent} requests with a clock {clock_ahead} ms ahead, {usual} with an exact clock"
        );
    }
    assert!(
        (5..40).contains(&usual),
        "{usual} requests with an exact clock"
    );
}

/// Guards against a clock that is behind and keeps endpoints in slow start until it reaches their start.
#[test]
fn endpoint_that_seems_to_start_in_the_future_completes_its_slow_start() {
    let mut harness = TestHarness::new(slow_start_settings(0, 1, 150.0), 1, Vec::new());
    let list = (1..=4)
        .map(|id| endpoint_started_at(id, 3_600_000.0))
        .collect();
    harness.update_endpoints(EndpointEvent::CachedSnapshot(list));
    harness.run_traffic(SLOW_START_DURATION, 100.0, &[0], &success_after(20.0));
    let earlier_requests = harness.requests.len();
    harness.run_traffic(2000.0, 100.0, &[0], &success_after(20.0));
    let rejected = harness
        .requests
        .values()
        .skip(earlier_requests)
        .filter(|record| !record.was_sent())
        .count();
    assert!(rejected <= 10, "{rejected} of 200 rejected");
    let behind = sent_after_first_list(-3_600_000.0);
    let exact = sent_after_first_list(0.0);
    assert!(
        behind <= 2 * exact,
        "{behind} requests with a clock an hour behind, {exact} with an exact clock"
    );
}

/// Guards against an endpoint in slow start that receives an even part of the quotas rather than of the traffic, where
/// the quotas are far above the traffic.
#[test]
fn endpoint_in_slow_start_gets_at_most_an_even_part_of_the_traffic() {
    let mut settings = slow_start_settings(0, 1, 400.0);
    settings.slow_start_initial_fraction = 0.3;
    settings.slow_start_duration = 9000.0;
    let mut harness = TestHarness::new(settings, 1, endpoints(4));
    harness.run_traffic(5000.0, 150.0, &[0], &success_after(5.0));
    let restarted = endpoint_started_at(1, harness.now);
    harness.update_endpoints(EndpointEvent::Delta(vec![restarted]));
    for second in 1..=4 {
        let from = harness.now;
        harness.run_traffic(1000.0, 150.0, &[0], &success_after(5.0));
        let sent = harness.sent_since(from).attempts_to(1);
        assert!(
            sent <= 45,
            "{sent} requests in second {second}; an even part is 37"
        );
    }
}

/// Guards against rejections that reduce what endpoints in slow start receive, so that the other endpoints stay
/// overloaded.
#[test]
fn rejections_do_not_reduce_what_endpoints_in_slow_start_receive() {
    let sent_after_overload = |overload_duration: f64| {
        let settings = settings_that_value_late_responses(Idempotency::NonIdempotent);
        let mut harness = TestHarness::with_endpoints(settings, 4);
        harness.run_traffic(5000.0, 60.0, &[0], &success_after(50.0));
        harness.run_traffic(overload_duration, 60.0, &[0], &no_response);
        let restarted = (1..=3)
            .map(|id| endpoint_started_at(id, harness.now))
            .collect();
        harness.update_endpoints(EndpointEvent::Delta(restarted));
        let from = harness.now;
        harness.run_traffic(5000.0, 60.0, &[0], &success_after(50.0));
        harness
            .sent_since(from)
            .attempts_where(|id| (1..=3).contains(&id))
    };
    let without_overload = sent_after_overload(0.0);
    let after_overload = sent_after_overload(6000.0);
    assert!(
        without_overload > 20 && after_overload * 10 >= without_overload * 7,
        "{without_overload} requests to endpoints in slow start, {after_overload} after an overload"
    );
}
