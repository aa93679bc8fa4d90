//! What surplus data shows, by what its connection has carried.
use super::*;

const ONE_MS: Duration = Duration::from_millis(1);

/// A connection that has carried requests, each after such a rest.
fn used_connection(delays: &[Duration]) -> (ConnectionUse, Instant) {
    let connection = ConnectionUse::default();
    let mut now = Instant::now();
    connection.record_request(now);
    connection.record_response(now);
    for delay in delays {
        now += *delay;
        connection.record_request(now);
        connection.record_response(now);
    }
    (connection, now)
}

#[test]
fn surplus_data_after_one_request_is_expected() {
    let connection = ConnectionUse::default();
    let now = Instant::now();
    let expected = SurplusEvidence::ExpectedCopy;
    assert_eq!(
        connection.evidence_of_surplus(false, now),
        expected,
        "unused"
    );
    connection.record_request(now);
    assert!(!connection.has_completed_request());
    let at_once = connection.evidence_of_surplus(false, now + LONG_REUSE_DELAY);
    assert_eq!(at_once, expected, "behind the response");
    connection.record_response(now);
    assert!(connection.has_completed_request() && !connection.is_reused());
    for lateness in [Duration::ZERO, ONE_MS, MAX_EXPECTED_LATENESS] {
        let evidence = connection.evidence_of_surplus(false, now + lateness);
        assert_eq!(evidence, expected, "{lateness:?}");
    }
}

/// Guards against taking the response to a request that got a wrong one for harmless.
#[test]
fn surplus_data_after_early_reuse_is_unexplained_for_good() {
    let early = LONG_REUSE_DELAY - ONE_MS;
    for delays in [
        &[early][..],
        &[early, LONG_REUSE_DELAY],
        &[LONG_REUSE_DELAY, early],
    ] {
        let (connection, now) = used_connection(delays);
        assert!(connection.is_reused());
        let evidence = connection.evidence_of_surplus(false, now);
        assert_eq!(evidence, SurplusEvidence::Unexplained, "{delays:?}");
    }
}

/// Guards against paying for each copy with a period of single use: no earlier response's copy can
/// follow that late.
#[test]
fn surplus_data_after_long_reuse_delays_is_expected() {
    let (connection, now) = used_connection(&[LONG_REUSE_DELAY, LONG_REUSE_DELAY * 2]);
    let evidence = connection.evidence_of_surplus(false, now + ONE_MS);
    assert_eq!(evidence, SurplusEvidence::ExpectedCopy);
}

/// Guards against relying on a rest that is hardly longer than copies are late.
#[test]
fn surplus_data_beyond_the_expected_lateness_is_unexplained() {
    for delays in [&[][..], &[LONG_REUSE_DELAY]] {
        let (connection, now) = used_connection(delays);
        let evidence = connection.evidence_of_surplus(false, now + MAX_EXPECTED_LATENESS + ONE_MS);
        assert_eq!(evidence, SurplusEvidence::Unexplained, "{delays:?}");
    }
}

/// Guards against counting the lateness of data that comes with a response from the response before
/// it.
#[test]
fn surplus_data_behind_a_later_response_is_expected() {
    let (connection, now) = used_connection(&[LONG_REUSE_DELAY]);
    let next = now + LONG_REUSE_DELAY * 2;
    connection.record_request(next);
    let evidence = connection.evidence_of_surplus(false, next + ONE_MS);
    assert_eq!(evidence, SurplusEvidence::ExpectedCopy);
}

/// Guards against long delays where the bytes show that the newest response was the right one.
#[test]
fn the_same_response_again_is_a_copy_with_its_lateness() {
    for delays in [&[][..], &[LONG_REUSE_DELAY]] {
        let (connection, now) = used_connection(delays);
        for lateness in [Duration::ZERO, ONE_MS, MAX_EXPECTED_LATENESS] {
            let evidence = connection.evidence_of_surplus(true, now + lateness);
            assert_eq!(evidence, SurplusEvidence::Copy { lateness }, "{delays:?}");
        }
        let late = now + MAX_EXPECTED_LATENESS + ONE_MS;
        let evidence = connection.evidence_of_surplus(true, late);
        assert_eq!(evidence, SurplusEvidence::Unexplained, "{delays:?}");
    }
}

/// Guards against wrong responses again and again: after early reuse the newest response may itself
/// be a copy of an earlier one, of which a further copy tells nothing.
#[test]
fn the_same_response_again_after_early_reuse_is_unexplained() {
    let (connection, now) = used_connection(&[ONE_MS]);
    let evidence = connection.evidence_of_surplus(true, now + ONE_MS);
    assert_eq!(evidence, SurplusEvidence::Unexplained);
}
