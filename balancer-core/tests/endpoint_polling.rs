//! Polling of the endpoint list: backoff after failures, and a stale list.
mod common;

use balancer_core::{Action, AttemptOutcome, EndpointEvent, Event, Settings};
use common::{counts, endpoints, TestHarness};

fn polling_settings() -> Settings {
    Settings {
        poll_endpoints: true,
        ..Settings::default()
    }
}

/// The first timer that `actions` set: the milliseconds until it expires, and its token.
fn first_timer(actions: &[Action]) -> Option<(f64, u32)> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    })
}

#[test]
fn polls_again_with_backoff_well_within_the_acknowledge_timeout() {
    let settings = polling_settings();
    let mut harness = TestHarness::new(settings.clone(), 3, endpoints(1));
    let mut backoffs = Vec::new();
    for _ in 0..12 {
        let actions = harness.handle(Event::Endpoints(EndpointEvent::DiscoveryFailed));
        let (after, token) = first_timer(&actions).expect("a timer to poll again should be set");
        harness.now += after;
        assert_eq!(harness.handle(Event::Timer(token)), [Action::PollEndpoints]);
        backoffs.push(after);
    }
    assert!(
        backoffs[11] > 4.0 * backoffs[0],
        "backoffs do not grow enough: {backoffs:?}"
    );
    assert!(
        backoffs
            .iter()
            .all(|&backoff| backoff < settings.poll_acknowledge_timeout / 2.0),
        "a backoff takes half of the acknowledge timeout or more: {backoffs:?}"
    );
}

/// Hundreds of replicas lose discovery at once, and it rejects their calls. If they called again as soon as after
/// other failures, its queue would stay full of calls that time out.
#[test]
fn replicas_rejected_by_discovery_together_poll_again_spread_over_seconds() {
    const REPLICAS: usize = 300;
    let settings = Settings {
        poll_acknowledge_timeout: 3000.0,
        ..polling_settings()
    };
    let mut polls = Vec::new();
    for seed in 0..REPLICAS as u64 {
        let mut harness = TestHarness::new(settings.clone(), seed, endpoints(1));
        harness.handle(Event::Endpoints(EndpointEvent::DiscoveryRejected));
        let actions = harness.handle(Event::Endpoints(EndpointEvent::DiscoveryRejected));
        let (after, _) = first_timer(&actions).expect("a timer to poll again should be set");
        polls.push(after);
    }
    let busiest_second = (0..45)
        .map(|tenth| {
            let from = f64::from(tenth) * 100.0;
            polls
                .iter()
                .filter(|&&at| (from..from + 1000.0).contains(&at))
                .count()
        })
        .max();
    assert!(
        busiest_second.expect("there should be a busiest second") < REPLICAS * 2 / 5,
        "too many replicas poll again in one second, after (ms): {polls:?}"
    );
    // Each call is early enough to be served before the replica counts as notified.
    assert!(
        polls.iter().all(|&at| at <= 4500.0),
        "some poll too late, after (ms): {polls:?}"
    );
    // A replica without endpoints must become ready soon.
    let mut harness = TestHarness::new(settings, 1, Vec::new());
    for _ in 0..10 {
        let actions = harness.handle(Event::Endpoints(EndpointEvent::DiscoveryRejected));
        assert!(
            actions
                .iter()
                .all(|action| !matches!(action, Action::SetTimer { after, .. } if *after > 1000.0)),
            "a replica without endpoints should poll again within 1000 ms: {actions:?}"
        );
    }
}

/// An endpoint that rejects requests while the list is stale may be draining.
#[test]
fn endpoint_that_rejects_while_the_list_is_stale_is_avoided_until_discovery_responds() {
    let settings = Settings {
        poll_acknowledge_timeout: 3000.0,
        ..polling_settings()
    };
    let mut harness = TestHarness::new(settings, 1, endpoints(2));
    harness.update_endpoints(EndpointEvent::Unchanged);
    let avoided_after_rejection = |harness: &mut TestHarness, id| {
        let actions = harness.send_request(id, 0, 0);
        assert!(
            matches!(actions[..], [.., Action::Send { .. }]),
            "request {id} was not sent: {actions:?}"
        );
        harness.end_attempt(id, 0, AttemptOutcome::Rejected);
        harness.end_attempt(id, 1, AttemptOutcome::Success);
        harness.balancer.endpoint_counts(harness.now).avoided
    };
    assert_eq!(
        avoided_after_rejection(&mut harness, 1),
        0,
        "a rejection while the list is current should mean a full queue"
    );
    harness.now += 4000.0;
    assert_eq!(
        avoided_after_rejection(&mut harness, 2),
        1,
        "an endpoint that rejects while the list is stale may be draining, and should be avoided"
    );
    harness.update_endpoints(EndpointEvent::Unchanged);
    assert_eq!(
        harness.balancer.endpoint_counts(harness.now),
        counts(2, 0),
        "discovery confirmed that the endpoint is not draining"
    );
}
