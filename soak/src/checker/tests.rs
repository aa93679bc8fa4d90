//! Tests which observations the checker reports as violations.
use super::slow_start::find_overload;
use super::Checker;
use crate::ids::{BalancerId, UpstreamId};
use crate::limits::{Limits, SlowStartLimits};
use crate::observations::{
    AttemptOutcome, ClientOutcome, NoticeSource, Observations, RequestProperties,
    UnavailabilityCause, UpstreamUse,
};
use crate::request_class::Idempotency;
use crate::rules::Rule;
use std::time::Duration;
use tokio::time::Instant;

const DRAIN_GRACE: Duration = Duration::from_millis(300);
const BALANCER: BalancerId = BalancerId(0);
const UPSTREAM: UpstreamId = UpstreamId(0);

fn limits() -> Limits {
    Limits {
        drain_grace: DRAIN_GRACE,
        repeat_window: Duration::from_secs(1),
        slow_start: SlowStartLimits {
            capacity_per_second: 10.0,
            initial_fraction: 0.1,
            duration: Duration::from_secs(10),
            overload_factor: 4.0,
            overload_window: Duration::from_secs(1),
        },
    }
}

fn record_request(observations: &mut Observations, id: &str, idempotency: Idempotency) {
    let deadline = Duration::from_secs(1);
    let properties = RequestProperties {
        idempotency,
        balancer: BALANCER,
        deadline,
        response_timeout: deadline,
        new_connection: true,
        complete: true,
    };
    observations.record_request(id, properties);
}

fn record_attempt(observations: &mut Observations, id: &str, outcome: AttemptOutcome) {
    let number = observations
        .record_attempt(id, UPSTREAM, Instant::now(), None)
        .expect("the request is known");
    observations.record_attempt_received(id, number);
    observations.record_attempt_outcome(id, number, outcome);
}

fn violated_rules(observations: &Observations) -> Vec<Rule> {
    Checker::new(&limits(), observations)
        .check()
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn accepts_a_request_that_is_rejected_by_one_upstream_and_served_by_another() {
    let mut observations = Observations::new();
    record_request(&mut observations, "a", Idempotency::NonIdempotent);
    record_attempt(&mut observations, "a", AttemptOutcome::Rejected);
    record_attempt(&mut observations, "a", AttemptOutcome::Success);
    observations.record_outcome("a", ClientOutcome::Response(200));
    assert_eq!(violated_rules(&observations), []);
}

#[test]
fn reports_repeat_and_rejection_of_a_non_idempotent_request_that_may_have_executed() {
    let mut observations = Observations::new();
    record_request(&mut observations, "a", Idempotency::NonIdempotent);
    record_attempt(&mut observations, "a", AttemptOutcome::Reset);
    record_attempt(&mut observations, "a", AttemptOutcome::Success);
    observations.record_outcome("a", ClientOutcome::Response(200));
    record_request(&mut observations, "b", Idempotency::NonIdempotent);
    record_attempt(&mut observations, "b", AttemptOutcome::Reset);
    observations.record_outcome("b", ClientOutcome::Response(503));
    let mut rules = violated_rules(&observations);
    rules.sort();
    assert_eq!(rules, [Rule::DuplicateExecution, Rule::FalseRejection]);
}

#[test]
fn reports_a_connection_closed_without_response_unless_the_balancer_was_killed() {
    let mut observations = Observations::new();
    record_request(&mut observations, "a", Idempotency::Idempotent);
    observations.record_outcome("a", ClientOutcome::ConnectionClosed);
    assert_eq!(violated_rules(&observations), [Rule::LostRequest]);
    observations.record_downtime(BALANCER, Instant::now() - Duration::from_secs(1));
    assert_eq!(violated_rules(&observations), []);
}

#[test]
fn reports_an_attempt_at_a_draining_upstream_after_the_grace_period_until_it_is_active_again() {
    let mut observations = Observations::new();
    let upstream_use = UpstreamUse {
        balancer: BALANCER,
        upstream: UPSTREAM,
        cause: UnavailabilityCause::EndpointList,
    };
    record_request(&mut observations, "a", Idempotency::Idempotent);
    let notified_at = Instant::now() - Duration::from_secs(1);
    observations.record_unavailable(upstream_use, notified_at, NoticeSource::ListResponse);
    record_attempt(&mut observations, "a", AttemptOutcome::Success);
    assert_eq!(violated_rules(&observations), [Rule::UnavailableUpstream]);
    observations.record_available(upstream_use, notified_at + DRAIN_GRACE);
    assert_eq!(violated_rules(&observations), []);
}

#[test]
fn counts_requests_in_slow_start_within_one_overload_window() {
    let start = Instant::now();
    let limits = limits().slow_start;
    // At its start the upstream can serve 1 request a second, a tenth of its 10. The overload factor of 4 makes the limit
    // 4 requests in the window of 1 s; the tolerance of 3 * sqrt(4) + 3 = 9 requests raises it to 13. The 14 requests
    // exceed it, the first 12 do not.
    let at_once: Vec<Instant> = (0..14).map(|n| start + Duration::from_millis(n)).collect();
    assert!(find_overload(&at_once[..12], start, &limits).is_none());
    assert!(find_overload(&at_once, start, &limits).is_some());
    let spread: Vec<Instant> = (0..14)
        .map(|n| start + Duration::from_millis(100 * n))
        .collect();
    assert!(find_overload(&spread, start, &limits).is_none());
}

#[test]
fn names_the_earliest_notice_that_an_upstream_is_unavailable() {
    let mut observations = Observations::new();
    let upstream_use = UpstreamUse {
        balancer: BALANCER,
        upstream: UPSTREAM,
        cause: UnavailabilityCause::EndpointList,
    };
    record_request(&mut observations, "a", Idempotency::Idempotent);
    let notified_at = Instant::now() - Duration::from_secs(1);
    let earlier = notified_at - Duration::from_secs(1);
    observations.record_unavailable(upstream_use, notified_at, NoticeSource::StartupList);
    observations.record_unavailable(upstream_use, earlier, NoticeSource::ListResponse);
    observations.record_unavailable(upstream_use, notified_at, NoticeSource::Deadline);
    record_attempt(&mut observations, "a", AttemptOutcome::Success);
    let violations = Checker::new(&limits(), &observations).check();
    assert_eq!(violations.len(), 1);
    let details = &violations[0].details;
    assert!(details.contains("EndpointList: ListResponse"), "{details}");
    // The attempt starts 2 s after the earliest notice.
    assert!(details.contains(" 2."), "{details}");
}
