//! What the oracle takes for a broken rule.
use super::*;

const GRACE: Duration = Duration::from_millis(300);

fn oracle() -> Oracle {
    Oracle::new(Limits {
        drain_grace: GRACE,
        repeat_window: Duration::from_secs(1),
        slow_start: SlowStart {
            capacity_per_second: 10.0,
            cold_from: 0.1,
            ramp: Duration::from_secs(10),
            tip_multiple: 4.0,
            fall: Duration::from_secs(1),
        },
    })
}

fn request(oracle: &Oracle, id: &str, effect: Effect) {
    let deadline = Duration::from_secs(1);
    oracle.request(
        id,
        RequestStart {
            effect,
            balancer: 0,
            deadline,
            answer_within: deadline,
            new_connection: true,
            plain: true,
        },
    );
}

fn attempt(oracle: &Oracle, id: &str, end: AttemptEnd) {
    let number = oracle
        .attempt(id, 0, Instant::now(), None)
        .expect("the request is known");
    oracle.attempt_whole(id, number);
    oracle.attempt_ended(id, number, end);
}

fn broken(oracle: &Oracle) -> Vec<Rule> {
    oracle
        .check()
        .0
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_request_that_is_served_breaks_nothing() {
    let oracle = oracle();
    request(&oracle, "a", Effect::SingleShot);
    attempt(&oracle, "a", AttemptEnd::Declined);
    attempt(&oracle, "a", AttemptEnd::Served);
    oracle.ended("a", ClientEnd::Answered(200));
    assert_eq!(broken(&oracle), []);
}

#[test]
fn a_single_shot_that_may_have_run_is_not_repeated_and_not_refused() {
    let oracle = oracle();
    request(&oracle, "a", Effect::SingleShot);
    attempt(&oracle, "a", AttemptEnd::Reset);
    attempt(&oracle, "a", AttemptEnd::Served);
    oracle.ended("a", ClientEnd::Answered(200));
    request(&oracle, "b", Effect::SingleShot);
    attempt(&oracle, "b", AttemptEnd::Reset);
    oracle.ended("b", ClientEnd::Answered(503));
    let mut found = broken(&oracle);
    found.sort();
    assert_eq!(found, [Rule::Duplicate, Rule::FalseRefusal]);
}

#[test]
fn a_connection_that_closes_without_an_answer_loses_its_request_unless_the_balancer_was_killed() {
    let oracle = oracle();
    request(&oracle, "a", Effect::Free);
    oracle.ended("a", ClientEnd::Closed);
    assert_eq!(broken(&oracle), [Rule::Lost]);
    oracle.was_down(0, Instant::now() - Duration::from_secs(1));
    assert_eq!(broken(&oracle), []);
}

#[test]
fn nothing_goes_to_an_upstream_after_the_grace_until_it_is_active_again() {
    let oracle = oracle();
    request(&oracle, "a", Effect::Free);
    let told = Instant::now() - Duration::from_secs(1);
    oracle.told(0, 0, Listed::Closed, told);
    attempt(&oracle, "a", AttemptEnd::Served);
    assert_eq!(broken(&oracle), [Rule::Drain]);
    oracle.told(0, 0, Listed::Active, told + GRACE);
    assert_eq!(broken(&oracle), []);
}

#[test]
fn a_budget_of_slow_start_is_counted_over_its_window() {
    let start = Instant::now();
    let slow_start = oracle().limits.slow_start;
    // At its start ten a second, a tenth of which, four times: N is 4, and 13 calls are allowed.
    let at_once: Vec<Instant> = (0..14).map(|n| start + Duration::from_millis(n)).collect();
    assert!(overload(&at_once[..12], start, &slow_start).is_none());
    assert!(overload(&at_once, start, &slow_start).is_some());
    let spread: Vec<Instant> = (0..14)
        .map(|n| start + Duration::from_millis(100 * n))
        .collect();
    assert!(overload(&spread, start, &slow_start).is_none());
}
