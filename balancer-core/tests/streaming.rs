//! Streamed requests and responses.
// A panic in a helper function fails the test that calls it, as an assertion does, so `expect` is allowed.
#![allow(clippy::expect_used)]
mod common;

use balancer_core::{
    Action, AttemptOutcome, Balancer, EndpointEvent, Event, Idempotency, Request, RequestId,
};
use common::{counts, endpoints, tenantless_settings_that_value_late_responses};

const REQUEST: RequestId = RequestId(1);

/// A balancer with two endpoints.
fn balancer(idempotency: Idempotency) -> Balancer {
    let settings = tenantless_settings_that_value_late_responses(idempotency);
    let mut balancer = Balancer::new(settings, 3, 0.0).expect("settings should be valid");
    let list = EndpointEvent::Snapshot(endpoints(2));
    balancer.handle(0.0, Event::Endpoints(list), &mut Vec::new());
    balancer
}

/// Passes an event to the balancer, and returns its actions except timers and log lines.
fn handle(balancer: &mut Balancer, now: f64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(now, event, &mut actions);
    actions.retain(|action| !matches!(action, Action::SetTimer { .. } | Action::Log(_)));
    actions
}

fn send_request(balancer: &mut Balancer, deadline: f64) -> Vec<Action> {
    let request = Request {
        id: REQUEST,
        class: 0,
        tenant: 0,
        deadline,
    };
    handle(balancer, 0.0, Event::Request(request))
}

/// A request whose body is incomplete: it is sent at once, and has no deadline until its body is complete.
fn send_streamed_request(balancer: &mut Balancer) -> Vec<Action> {
    send_request(balancer, f64::INFINITY)
}

/// Guards against avoiding endpoints as unresponsive while a slow client still sends the body of its request.
#[test]
fn no_response_is_expected_while_the_request_body_is_incomplete() {
    let mut balancer = balancer(Idempotency::NonIdempotent);
    assert!(matches!(
        send_streamed_request(&mut balancer)[..],
        [Action::Send { timeout: 0.0, .. }]
    ));
    assert_eq!(balancer.endpoint_counts(60_000.0), counts(2, 0));
    let complete = Event::RequestBodyComplete {
        request: REQUEST,
        deadline: 62_000.0,
    };
    assert!(handle(&mut balancer, 60_000.0, complete).is_empty());
    assert_eq!(balancer.endpoint_counts(60_010.0), counts(2, 0));
    assert_eq!(
        balancer.endpoint_counts(90_000.0),
        counts(2, 1),
        "the response should be overdue once the body is complete"
    );
}

#[test]
fn started_response_is_not_overdue_and_is_not_retried_when_it_breaks_off() {
    let mut balancer = balancer(Idempotency::Idempotent);
    assert!(matches!(
        send_request(&mut balancer, 2000.0)[..],
        [Action::Send { .. }]
    ));
    let started = Event::ResponseStarted {
        request: REQUEST,
        attempt: 0,
    };
    assert!(handle(&mut balancer, 100.0, started).is_empty());
    assert_eq!(balancer.endpoint_counts(60_000.0), counts(2, 0));
    let reset = Event::AttemptEnded {
        request: REQUEST,
        attempt: 0,
        outcome: AttemptOutcome::Reset,
        duration: 100.0,
        request_completed: true,
    };
    assert!(handle(&mut balancer, 60_000.0, reset).is_empty());
}

#[test]
fn request_is_not_retried_after_its_body_is_discarded() {
    for (is_discarded, is_retried) in [(false, true), (true, false)] {
        let mut balancer = balancer(Idempotency::NonIdempotent);
        send_streamed_request(&mut balancer);
        if is_discarded {
            let discarded = Event::BodyDiscarded(REQUEST);
            assert!(handle(&mut balancer, 5.0, discarded).is_empty());
        }
        let rejected = Event::AttemptEnded {
            request: REQUEST,
            attempt: 0,
            outcome: AttemptOutcome::Rejected,
            duration: 0.0,
            request_completed: false,
        };
        let actions = handle(&mut balancer, 10.0, rejected);
        assert_eq!(
            matches!(actions[..], [Action::Send { .. }]),
            is_retried,
            "body discarded: {is_discarded}, {actions:?}"
        );
        assert_eq!(
            matches!(actions[..], [Action::Reject { .. }]),
            !is_retried,
            "a request that never ran should be rejected if it is not retried: {actions:?}"
        );
    }
}
