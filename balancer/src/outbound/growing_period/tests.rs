//! How a period grows and shrinks.
use super::*;

const FIRST: Duration = Duration::from_secs(2);
const MAX: Duration = Duration::from_secs(60);
const ONE_MS: Duration = Duration::from_millis(1);

/// A period that has begun four times, and the time at which the newest began.
fn grown_period() -> (GrowingPeriod, Instant) {
    let period = GrowingPeriod::new(FIRST, MAX);
    let mut now = Instant::now();
    for length in [FIRST, FIRST * 2, FIRST * 4] {
        assert_eq!(period.record_fault(now), Some(length));
        now += length;
    }
    assert_eq!(period.record_fault(now), Some(FIRST * 8));
    (period, now)
}

#[test]
fn a_recurrence_doubles_the_length_up_to_its_limit() {
    let period = GrowingPeriod::new(FIRST, MAX);
    let mut now = Instant::now();
    assert!(!period.contains(now));
    let mut expected = FIRST;
    for _ in 0..10 {
        assert_eq!(period.record_fault(now), Some(expected));
        assert!(period.contains(now + expected - ONE_MS));
        now += expected;
        assert!(!period.contains(now), "it ends after {expected:?}");
        expected = (expected * 2).min(MAX);
    }
    assert_eq!(expected, MAX);
}

#[test]
fn a_further_fault_extends_the_period_without_a_new_one() {
    let period = GrowingPeriod::new(FIRST, MAX);
    let start = Instant::now();
    assert_eq!(period.record_fault(start), Some(FIRST));
    let again = start + FIRST - ONE_MS;
    assert_eq!(period.record_fault(again), None);
    assert!(period.contains(again + FIRST - ONE_MS));
    assert!(!period.contains(again + FIRST));
}

#[test]
fn clean_observations_halve_the_length_down_to_the_first() {
    let (period, start) = grown_period();
    period.record_clean(start + ONE_MS);
    assert!(period.contains(start + FIRST * 4));
    assert!(!period.contains(start + FIRST * 4 + ONE_MS));
    for _ in 0..3 {
        period.record_clean(start + ONE_MS);
    }
    assert!(!period.contains(start + FIRST + ONE_MS));
    let recurrence = period.record_fault(start + FIRST * 8);
    assert_eq!(recurrence, Some(FIRST * 2));
}

/// Guards against a clean observation that makes a period last longer.
#[test]
fn a_clean_observation_does_not_postpone_the_end() {
    let (period, start) = grown_period();
    let end = start + FIRST * 8;
    period.record_clean(end - ONE_MS);
    assert!(!period.contains(end));
}

#[test]
fn after_a_reset_the_first_length_holds_again() {
    let (period, start) = grown_period();
    period.reset();
    assert!(!period.contains(start));
    assert_eq!(period.end_and_length(), None);
    assert_eq!(period.record_fault(start), Some(FIRST));
}
