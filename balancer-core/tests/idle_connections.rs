//! Idle connections that an intermediary closes without notice.
mod common;

use balancer_core::{Action, AttemptOutcome, Class, Idempotency, Settings, UpstreamId};
use common::{class, settings_for_tenants, tenants, TestHarness};
use std::collections::BTreeMap;

/// When the connection to each upstream was last used; absent if none is open.
type OpenConnections = BTreeMap<UpstreamId, f64>;

/// Sends a request over connections that an intermediary closes without notice after 300 ms without use. Returns
/// whether the request was lost. Responses are immediate.
fn send_and_report_loss(harness: &mut TestHarness, open: &mut OpenConnections, id: u32) -> bool {
    let mut is_lost = false;
    for action in harness.send_request(id, 0, 0) {
        match action {
            Action::CloseIdleConnections(upstream) => {
                open.remove(&upstream);
            }
            Action::Send { upstream, .. } => {
                let last_used_at = open.insert(upstream, harness.now);
                let idle = last_used_at.map_or(0.0, |used_at| harness.now - used_at);
                is_lost = idle > 300.0 && idle < harness.settings.idle_close;
                if is_lost {
                    // No response arrives, and the connection is unusable.
                    open.remove(&upstream);
                } else {
                    harness.end_attempt(id, 0, AttemptOutcome::Success);
                }
            }
            _ => {}
        }
    }
    is_lost
}

#[test]
fn closes_idle_connections_before_use_once_requests_on_them_are_lost() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 8);
    let mut open = OpenConnections::new();
    let mut lost_in_first_half = 0;
    let mut lost_in_second_half = 0;
    for id in 0..2000 {
        if send_and_report_loss(&mut harness, &mut open, id) {
            if id < 1000 {
                lost_in_first_half += 1;
            } else {
                lost_in_second_half += 1;
            }
        }
        harness.advance(200.0);
    }
    assert!(
        lost_in_first_half > 5,
        "only {lost_in_first_half} of the first 1000 requests were lost: too few to notice stale connections"
    );
    assert!(
        lost_in_second_half * 10 < 1000,
        "{lost_in_second_half} of the last 1000 requests used a closed connection"
    );
}

/// One request in ten on idle connections is reset immediately, too few for the rate of lost requests to show it.
/// These requests must not run twice: a reset makes them fail, and a new connection avoids the failure.
#[test]
fn one_immediate_reset_on_an_idle_connection_closes_idle_connections() {
    let settings = Settings {
        classes: vec![class(Idempotency::NonIdempotent)],
        ..settings_for_tenants(&[1.0])
    };
    let mut harness = TestHarness::with_endpoints(settings, 8);
    let mut open = OpenConnections::new();
    let mut sends_on_idle = 0;
    let mut resets = 0;
    for id in 0..1000 {
        for action in harness.send_request(id, 0, 0) {
            match action {
                Action::CloseIdleConnections(upstream) => {
                    open.remove(&upstream);
                }
                Action::Send { upstream, .. } => {
                    let last_used_at = open.insert(upstream, harness.now + 50.0);
                    let is_idle = last_used_at.is_some_and(|used_at| harness.now - used_at > 300.0);
                    sends_on_idle += u32::from(is_idle);
                    if is_idle && sends_on_idle % 10 == 0 {
                        harness.advance(0.2);
                        harness.end_attempt(id, 0, AttemptOutcome::Reset);
                        resets += 1;
                        open.remove(&upstream);
                    } else {
                        harness.advance(50.0);
                        harness.end_attempt(id, 0, AttemptOutcome::Success);
                    }
                }
                _ => {}
            }
        }
        harness.advance(150.0);
    }
    assert!(
        (1..10).contains(&resets),
        "{resets} of 1000 requests were reset on a stale connection"
    );
}

/// Guards against lost requests that use up the limit of requests in flight until they time out.
#[test]
fn requests_lost_with_their_connection_do_not_count_as_in_flight() {
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
    let mut harness = TestHarness::with_endpoints(settings, 12);
    let mut open = OpenConnections::new();
    for id in 0..140 {
        send_and_report_loss(&mut harness, &mut open, id);
        harness.advance(40.0);
    }
    let sent = harness.sent_since(3000.0).requests;
    assert!(
        sent > 40,
        "{sent} of 65 requests admitted before the first timeout"
    );
}

/// What happened to 400 requests, 200 ms apart.
struct ResetSummary {
    retries: usize,
    closes_of_idle_connections: usize,
}

/// Sends requests of which some are reset after `reset_after` milliseconds and retried.
fn send_with_resets(is_reset: impl Fn(u32) -> bool, reset_after: f64) -> ResetSummary {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[1.0]), 8);
    let mut retries = 0;
    for id in 0..400 {
        harness.send_request(id, 0, 0);
        if is_reset(id) {
            harness.advance(reset_after);
            harness.end_attempt(id, 0, AttemptOutcome::Reset);
        } else {
            harness.advance(100.0);
            harness.end_attempt(id, 0, AttemptOutcome::Success);
        }
        if harness.request(id).attempts.len() > 1 {
            retries += 1;
            harness.end_attempt(id, 1, AttemptOutcome::Success);
        }
        harness.advance(100.0);
    }
    let is_close = |action: &Action| matches!(action, Action::CloseIdleConnections(_));
    ResetSummary {
        retries,
        closes_of_idle_connections: harness.count_actions(is_close),
    }
}

/// Guards against taking late resets for a sign of stale connections: a reset after this time shows that the connection
/// was usable.
#[test]
fn late_resets_close_no_idle_connections() {
    let summary = send_with_resets(|id| id % 3 == 0, 100.0);
    assert_eq!(summary.closes_of_idle_connections, 0);
}

/// Guards against taking responses that break off early for a sign of stale connections.
#[test]
fn responses_that_break_off_now_and_then_close_no_idle_connections() {
    let summary = send_with_resets(|id| id % 20 == 19, 30.0);
    assert_eq!(
        summary.retries, 20,
        "requests retried, of 20 that were reset"
    );
    assert_eq!(summary.closes_of_idle_connections, 0);
}
