//! Which endpoints may receive requests: by the endpoint list, by operators' suspensions and by a class's placement.
mod common;

use balancer_core::{
    Action, AttemptOutcome, Availability, Class, Endpoint, EndpointEvent, Event, Idempotency,
    RequestId, Settings, UpstreamId,
};
use common::{class, counts, draining, endpoint, endpoints, TestHarness};

/// An endpoint of one of two zones and three kinds.
fn placed_endpoint(id: u64) -> Endpoint {
    Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..endpoint(id)
    }
}

fn is_sent(actions: &[Action]) -> bool {
    matches!(actions, [.., Action::Send { .. }])
}

fn is_rejected(actions: &[Action]) -> bool {
    matches!(actions, [Action::Reject { .. }])
}

#[test]
fn class_is_sent_only_where_it_is_allowed_and_rejected_if_nothing_there_is_ready() {
    let settings = Settings {
        classes: vec![Class {
            allowed_zones: Some(vec![1]),
            allowed_kinds: Some(vec![2]),
            ..class(Idempotency::Idempotent)
        }],
        ..Settings::default()
    };
    // Ten of sixty are allowed for the class: random draws among all would often miss them.
    let list = (1..=60).map(placed_endpoint).collect();
    let mut harness = TestHarness::new(settings, 1, list);
    for id in 0..200 {
        assert!(
            is_sent(&harness.send_request(id, 0, 0)),
            "request {id} was not sent"
        );
        let outcome = if id % 9 == 0 {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Success
        };
        harness.end_attempt(id, 0, outcome);
        let newest = harness.request(id).attempts.last();
        if newest.is_some_and(|attempt| attempt.outcome.is_none()) {
            harness.end_attempt(id, 1, AttemptOutcome::Success);
        }
    }
    let not_allowed = (1..=60)
        .filter(|id| !(id % 2 == 1 && id % 3 == 2))
        .map(placed_endpoint)
        .collect();
    harness.update_endpoints(EndpointEvent::Snapshot(not_allowed));
    assert!(
        is_rejected(&harness.send_request(999, 0, 0)),
        "a request should be rejected rather than sent where its class does not allow"
    );
}

#[test]
fn draining_or_gone_endpoint_receives_no_requests() {
    let mut harness = TestHarness::new(Settings::default(), 1, endpoints(3));
    let gone = Endpoint {
        availability: Availability::Gone,
        ..endpoint(2)
    };
    harness.update_endpoints(EndpointEvent::Delta(vec![draining(1), gone]));
    for id in 0..50 {
        harness.send_request(id, 0, 0);
        harness.end_attempt(id, 0, AttemptOutcome::Success);
    }
    assert!(
        harness
            .requests
            .values()
            .flat_map(|record| &record.attempts)
            .all(|attempt| attempt.upstream == UpstreamId(3)),
        "a request was sent to an endpoint that is draining or gone"
    );
    harness.update_endpoints(EndpointEvent::Snapshot(Vec::new()));
    assert!(
        is_rejected(&harness.send_request(99, 0, 0)),
        "endpoints that a snapshot lacks should be gone"
    );
}

/// The list may remove a suspended endpoint, add it again or call it ready.
#[test]
fn suspended_endpoint_receives_no_requests_until_restored_whatever_the_list_says() {
    let mut harness = TestHarness::new(Settings::default(), 1, endpoints(3));
    let sent_to_first = |harness: &mut TestHarness, first_id: u32| {
        let start = harness.now;
        for id in first_id..first_id + 50 {
            harness.send_request(id, 0, 0);
            harness.end_attempt(id, 0, AttemptOutcome::Success);
            harness.advance(100.0);
        }
        harness.sent_since(start).attempts_to(1)
    };
    assert!(
        sent_to_first(&mut harness, 0) > 0,
        "the endpoint is not in use before its suspension"
    );
    harness.suspend(1);
    harness.suspend(1);
    assert_eq!(sent_to_first(&mut harness, 100), 0);
    assert_eq!(harness.balancer.endpoint_counts(harness.now), counts(3, 1));
    let without_first = (2..4).map(endpoint).collect();
    harness.update_endpoints(EndpointEvent::Snapshot(without_first));
    assert_eq!(
        harness.balancer.endpoint_counts(harness.now),
        counts(2, 0),
        "an endpoint that is not listed should not be counted"
    );
    let returned = Endpoint {
        started_at: harness.now,
        ..endpoint(1)
    };
    harness.update_endpoints(EndpointEvent::Delta(vec![returned]));
    assert_eq!(
        sent_to_first(&mut harness, 200),
        0,
        "requests sent after the list removed and added the endpoint"
    );
    harness.update_endpoints(EndpointEvent::Snapshot(endpoints(3)));
    assert_eq!(
        sent_to_first(&mut harness, 300),
        0,
        "requests sent after a complete list"
    );
    harness.restore(1);
    assert_eq!(harness.balancer.endpoint_counts(harness.now), counts(3, 0));
    assert!(
        sent_to_first(&mut harness, 400) > 0,
        "one restore should undo both suspensions"
    );
}

#[test]
fn rejects_at_once_if_all_endpoints_are_suspended() {
    let mut harness = TestHarness::new(Settings::default(), 1, endpoints(3));
    for id in 1..4 {
        harness.suspend(id);
    }
    assert!(is_rejected(&harness.send_request(1, 0, 0)));
}

#[test]
fn rejects_at_once_if_no_endpoint_is_ready() {
    let mut harness = TestHarness::new(Settings::default(), 1, Vec::new());
    assert!(is_rejected(&harness.send_request(1, 0, 0)));
    harness.update_endpoints(EndpointEvent::Snapshot(vec![draining(1)]));
    assert!(is_rejected(&harness.send_request(2, 0, 0)));
}

#[test]
fn new_replica_starts_with_only_its_cached_list() {
    let settings = Settings {
        poll_endpoints: true,
        ..Settings::default()
    };
    let mut earlier = TestHarness::new(settings.clone(), 5, endpoints(1));
    earlier.send_request(1, 0, 0);
    let mut harness = TestHarness::new(settings, 6, endpoints(1));
    assert!(
        harness.actions.contains(&Action::PollEndpoints),
        "a new replica should poll the list at once"
    );
    let late = Event::AttemptEnded {
        request: RequestId(1),
        attempt: 0,
        outcome: AttemptOutcome::Success,
        duration: 5.0,
        request_completed: true,
    };
    assert!(
        harness.handle(late).is_empty(),
        "outcomes of an earlier replica's attempts should be ignored"
    );
    assert!(matches!(
        harness.send_request(2, 0, 0)[..],
        [Action::Send { .. }]
    ));
}
