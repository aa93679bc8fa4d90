//! How long connections carry one request each.
use super::*;

const MOMENT: Duration = Duration::from_millis(1);

#[test]
fn a_relapse_doubles_the_period_up_to_its_limit() {
    let history = SurplusHistory::default();
    let mut now = Instant::now();
    assert!(!history.is_single_use(now));
    let mut expected = FIRST_SINGLE_USE_PERIOD;
    for _ in 0..10 {
        assert_eq!(history.record(now), Some(expected));
        assert!(history.is_single_use(now + expected - MOMENT));
        now += expected;
        assert!(!history.is_single_use(now), "it ends after {expected:?}");
        expected = (expected * 2).min(MAX_SINGLE_USE_PERIOD);
    }
    assert_eq!(expected, MAX_SINGLE_USE_PERIOD);
}

#[test]
fn further_surplus_data_extends_a_period_without_a_new_one() {
    let history = SurplusHistory::default();
    let start = Instant::now();
    assert_eq!(history.record(start), Some(FIRST_SINGLE_USE_PERIOD));
    let again = start + FIRST_SINGLE_USE_PERIOD - MOMENT;
    assert_eq!(history.record(again), None);
    assert!(history.is_single_use(again + FIRST_SINGLE_USE_PERIOD - MOMENT));
    assert!(!history.is_single_use(again + FIRST_SINGLE_USE_PERIOD));
    assert_eq!(history.detections(), 2);
}

/// Guards against a second wrong response after a period: data that is up to a second late shows
/// before the connection carries another request.
#[test]
fn connections_rest_for_a_second_once_there_was_surplus_data() {
    let history = SurplusHistory::default();
    assert!(history.reuse_delay(false) < Duration::from_secs(1));
    history.record(Instant::now());
    for is_sole in [false, true] {
        for _ in 0..=TRUSTED_REUSES {
            assert!(history.reuse_delay(is_sole) >= Duration::from_secs(1));
            history.record_reuse();
        }
    }
}

#[test]
fn the_only_connection_to_a_trusted_upstream_rests_for_a_shorter_time() {
    let history = SurplusHistory::default();
    for _ in 0..TRUSTED_REUSES {
        assert_eq!(history.reuse_delay(true), REUSE_DELAY);
        history.record_reuse();
    }
    assert_eq!(history.reuse_delay(true), SOLE_REUSE_DELAY);
    assert_eq!(history.reuse_delay(false), REUSE_DELAY);
}
