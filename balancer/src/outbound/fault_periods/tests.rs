//! How the length of periods grows and shrinks.
use super::*;

const FIRST: Duration = Duration::from_secs(2);
const MAX: Duration = Duration::from_secs(60);
const ONE_MS: Duration = Duration::from_millis(1);

/// Four successive periods, and the time at which the newest began.
fn grown_periods() -> (FaultPeriods, Instant) {
    let periods = FaultPeriods::new(FIRST, MAX);
    let mut now = Instant::now();
    for length in [FIRST, FIRST * 2, FIRST * 4] {
        assert_eq!(periods.record_fault(now), Some(length));
        now += length;
    }
    assert_eq!(periods.record_fault(now), Some(FIRST * 8));
    (periods, now)
}

#[test]
fn a_recurrence_doubles_the_length_up_to_its_limit() {
    let periods = FaultPeriods::new(FIRST, MAX);
    let mut now = Instant::now();
    assert!(!periods.contains(now));
    let mut expected = FIRST;
    for _ in 0..10 {
        assert_eq!(periods.record_fault(now), Some(expected));
        assert!(periods.contains(now + expected - ONE_MS));
        now += expected;
        assert!(!periods.contains(now), "it ends after {expected:?}");
        expected = (expected * 2).min(MAX);
    }
    assert_eq!(expected, MAX);
}

#[test]
fn a_further_fault_extends_the_period_without_a_new_one() {
    let periods = FaultPeriods::new(FIRST, MAX);
    let start = Instant::now();
    assert_eq!(periods.record_fault(start), Some(FIRST));
    let again = start + FIRST - ONE_MS;
    assert_eq!(periods.record_fault(again), None);
    assert!(periods.contains(again + FIRST - ONE_MS));
    assert!(!periods.contains(again + FIRST));
}

#[test]
fn clean_observations_halve_the_length_down_to_the_first() {
    let (periods, start) = grown_periods();
    periods.record_clean_observation(start + ONE_MS);
    assert!(periods.contains(start + FIRST * 4));
    assert!(!periods.contains(start + FIRST * 4 + ONE_MS));
    for _ in 0..3 {
        periods.record_clean_observation(start + ONE_MS);
    }
    assert!(!periods.contains(start + FIRST + ONE_MS));
    let recurrence = periods.record_fault(start + FIRST * 8);
    assert_eq!(recurrence, Some(FIRST * 2));
}

/// Guards against a clean observation that makes a period last longer.
#[test]
fn a_clean_observation_does_not_postpone_the_end() {
    let (periods, start) = grown_periods();
    let end = start + FIRST * 8;
    periods.record_clean_observation(end - ONE_MS);
    assert!(!periods.contains(end));
}

#[test]
fn after_a_reset_the_first_length_holds_again() {
    let (periods, start) = grown_periods();
    periods.reset();
    assert!(!periods.contains(start));
    assert_eq!(periods.end_and_length(), None);
    assert_eq!(periods.record_fault(start), Some(FIRST));
}
