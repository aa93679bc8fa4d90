//! The reuse delays of connections, and when they carry one request each.
use super::*;

const ONE_MS: Duration = Duration::from_millis(1);

#[test]
fn a_recurrence_doubles_the_suspect_period_up_to_its_limit() {
    let history = SurplusHistory::default();
    let mut now = Instant::now();
    assert!(!history.is_suspect(now));
    let mut expected = FIRST_SUSPECT_PERIOD;
    for _ in 0..10 {
        let began = history.record(SurplusCause::ProbableDuplicate, now);
        assert_eq!(began, Some(expected));
        assert!(history.is_suspect(now + expected - ONE_MS));
        now += expected;
        assert!(!history.is_suspect(now), "it ends after {expected:?}");
        expected = (expected * 2).min(MAX_SUSPECT_PERIOD);
    }
    assert_eq!(expected, MAX_SUSPECT_PERIOD);
}

#[test]
fn further_surplus_data_extends_a_suspect_period_without_a_new_one() {
    let history = SurplusHistory::default();
    let start = Instant::now();
    let cause = SurplusCause::ProbableDuplicate;
    let began = history.record(cause, start);
    assert_eq!(began, Some(FIRST_SUSPECT_PERIOD));
    let again = start + FIRST_SUSPECT_PERIOD - ONE_MS;
    assert_eq!(history.record(cause, again), None);
    assert!(history.is_suspect(again + FIRST_SUSPECT_PERIOD - ONE_MS));
    assert!(!history.is_suspect(again + FIRST_SUSPECT_PERIOD));
}

/// Guards against failing the requests in flight at each duplicate that the reuse delay has
/// detected: when an upstream sent one response in ten twice, a quarter of the requests failed.
#[test]
fn covered_surplus_data_affects_no_request_in_flight() {
    let history = SurplusHistory::default();
    let now = Instant::now();
    let mut expected = 0;
    for (cause, is_covered) in [
        (SurplusCause::ProbableDuplicate, false),
        (SurplusCause::ProbableDuplicate, true),
        (SurplusCause::Duplicate { delay: ONE_MS }, true),
        (SurplusCause::Unexplained, false),
        (SurplusCause::ProbableDuplicate, true),
    ] {
        history.record(cause, now);
        expected += u64::from(!is_covered);
        assert_eq!(
            history.detections_beyond_reuse_delay(),
            expected,
            "{cause:?}"
        );
    }
}

/// Guards against a second wrong response after the suspect period: data with a delay of up to a
/// second is detected before the connection carries another request, with a margin for a busy
/// machine.
#[test]
fn reuse_delay_exceeds_a_second_after_surplus_data() {
    for cause in [SurplusCause::ProbableDuplicate, SurplusCause::Unexplained] {
        let history = SurplusHistory::default();
        let start = Instant::now();
        assert!(history.reuse_delay(false, start) < Duration::from_secs(1));
        history.record(cause, start);
        let after_suspect_period = start + FIRST_SUSPECT_PERIOD;
        for now in [start, after_suspect_period, start + MAX_SUSPECT_PERIOD] {
            for is_sole in [false, true] {
                for _ in 0..=TRUSTED_REUSES {
                    assert!(history.reuse_delay(is_sole, now) >= Duration::from_millis(1500));
                    history.record_reuse();
                }
            }
        }
    }
}

#[test]
fn reuse_delay_is_short_again_after_a_long_time_without_surplus_data() {
    let history = SurplusHistory::default();
    let mut now = Instant::now();
    let cause = SurplusCause::ProbableDuplicate;
    for length in [FIRST_SUSPECT_PERIOD, FIRST_SUSPECT_PERIOD * 2] {
        assert_eq!(history.record(cause, now), Some(length));
        now += length;
    }
    let clean = now + FIRST_SUSPECT_PERIOD * 2 * SUSPECT_PERIODS_UNTIL_SHORT_DELAY;
    assert!(history.has_extended_reuse_delay(clean - ONE_MS));
    assert!(!history.has_extended_reuse_delay(clean));
    assert_eq!(history.reuse_delay(true, clean), REUSE_DELAY);
    let recurrence = history.record(cause, clean);
    assert_eq!(
        recurrence,
        Some(FIRST_SUSPECT_PERIOD),
        "the history was cleared"
    );
}

/// Guards against a new connection for each request because of a single duplicate.
#[test]
fn a_probable_duplicate_begins_no_single_use_period() {
    let history = SurplusHistory::default();
    let now = Instant::now();
    for _ in 0..3 {
        history.record(SurplusCause::ProbableDuplicate, now);
        assert!(!history.is_single_use(now));
    }
}

/// Guards against reuse before the responses in flight at a detection have arrived, and against a
/// single-use period that has the same length after each recurrence.
#[test]
fn unexplained_surplus_data_begins_a_single_use_period_that_doubles_at_each_recurrence() {
    let history = SurplusHistory::default();
    let mut now = Instant::now();
    let mut expected = FIRST_SINGLE_USE_PERIOD;
    assert!(expected > LONG_REUSE_DELAY);
    for _ in 0..15 {
        history.record(SurplusCause::Unexplained, now);
        assert!(history.is_single_use(now + expected - ONE_MS));
        now += expected;
        assert!(!history.is_single_use(now), "it ends after {expected:?}");
        expected = (expected * 2).min(MAX_SINGLE_USE_PERIOD);
    }
    assert_eq!(expected, MAX_SINGLE_USE_PERIOD);
}

#[test]
fn clean_observations_shorten_the_single_use_period() {
    let history = SurplusHistory::default();
    let mut now = Instant::now();
    for length in [FIRST_SINGLE_USE_PERIOD, FIRST_SINGLE_USE_PERIOD * 2] {
        history.record(SurplusCause::Unexplained, now);
        now += length;
    }
    history.record(SurplusCause::Unexplained, now);
    history.record_clean_observation(now);
    history.record_clean_observation(now);
    assert!(history.is_single_use(now + FIRST_SINGLE_USE_PERIOD - ONE_MS));
    assert!(!history.is_single_use(now + FIRST_SINGLE_USE_PERIOD));
    assert!(history.has_extended_reuse_delay(now + FIRST_SINGLE_USE_PERIOD));
}

#[test]
fn sole_connection_to_a_trusted_upstream_has_a_shorter_reuse_delay() {
    let history = SurplusHistory::default();
    let now = Instant::now();
    for _ in 0..TRUSTED_REUSES {
        assert_eq!(history.reuse_delay(true, now), REUSE_DELAY);
        history.record_reuse();
    }
    assert_eq!(history.reuse_delay(true, now), SOLE_REUSE_DELAY);
    assert_eq!(history.reuse_delay(false, now), REUSE_DELAY);
}

fn duplicate(delay_ms: u64) -> SurplusCause {
    let delay = Duration::from_millis(delay_ms);
    SurplusCause::Duplicate { delay }
}

/// Guards against reuse delays that are hardly longer than the delay of duplicates, and against
/// longer ones than the duplicates require.
#[test]
fn reuse_delay_follows_the_largest_known_delay_of_a_duplicate() {
    for (duplicate_delay_ms, reuse_delay_ms) in
        [(0, 200), (5, 200), (60, 480), (200, 1500), (1000, 1500)]
    {
        let history = SurplusHistory::default();
        let now = Instant::now();
        for duplicate_delay in [duplicate_delay_ms, 0] {
            history.record(duplicate(duplicate_delay), now);
            let reuse_delay = Duration::from_millis(reuse_delay_ms);
            assert_eq!(
                history.reuse_delay(true, now),
                reuse_delay,
                "{duplicate_delay_ms} ms"
            );
            assert!(!history.is_single_use(now));
        }
        history.record(SurplusCause::Unexplained, now);
        assert_eq!(history.reuse_delay(true, now), LONG_REUSE_DELAY);
        history.record(duplicate(duplicate_delay_ms), now);
        assert_eq!(
            history.reuse_delay(true, now),
            LONG_REUSE_DELAY,
            "it stays long"
        );
    }
}

#[test]
fn reuse_delay_covers_duplicates_for_which_it_is_long_enough() {
    let history = SurplusHistory::default();
    let now = Instant::now();
    assert!(
        !history.is_covered_by_reuse_delay(duplicate(5), now),
        "the first"
    );
    history.record(duplicate(5), now);
    assert!(history.is_covered_by_reuse_delay(duplicate(25), now));
    assert!(!history.is_covered_by_reuse_delay(duplicate(26), now));
    assert!(!history.is_covered_by_reuse_delay(SurplusCause::ProbableDuplicate, now));
    history.record(SurplusCause::ProbableDuplicate, now);
    assert!(history.is_covered_by_reuse_delay(SurplusCause::ProbableDuplicate, now));
    assert!(!history.is_covered_by_reuse_delay(SurplusCause::Unexplained, now));
}
