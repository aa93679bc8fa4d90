//! What surplus data is evidence of, depending on what its connection has carried.
use super::*;

const ONE_MS: Duration = Duration::from_millis(1);

/// A connection that has carried one request, and a further one after each of these delays. Also
/// returns the time of its newest response.
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

/// Guards against treating surplus data as harmless that is the response to a request that was
/// given a wrong one.
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

/// Guards against a single-use period after each copy: the copy of an earlier response cannot
/// arrive that late.
#[test]
fn surplus_data_after_long_reuse_delays_is_expected() {
    let (connection, now) = used_connection(&[LONG_REUSE_DELAY, LONG_REUSE_DELAY * 2]);
    let evidence = connection.evidence_of_surplus(false, now + ONE_MS);
    assert_eq!(evidence, SurplusEvidence::ExpectedCopy);
}

/// Guards against relying on a reuse delay that is hardly longer than the lateness of copies.
#[test]
fn surplus_data_beyond_the_expected_lateness_is_unexplained() {
    for delays in [&[][..], &[LONG_REUSE_DELAY]] {
        let (connection, now) = used_connection(delays);
        let evidence = connection.evidence_of_surplus(false, now + MAX_EXPECTED_LATENESS + ONE_MS);
        assert_eq!(evidence, SurplusEvidence::Unexplained, "{delays:?}");
    }
}

/// Guards against measuring the lateness of data that arrives with a response from the response
/// before it.
#[test]
fn surplus_data_behind_a_later_response_is_expected() {
    let (connection, now) = used_connection(&[LONG_REUSE_DELAY]);
    let next = now + LONG_REUSE_DELAY * 2;
    connection.record_request(next);
    let evidence = connection.evidence_of_surplus(false, next + ONE_MS);
    assert_eq!(evidence, SurplusEvidence::ExpectedCopy);
}

/// Guards against the long reuse delay where the bytes prove that the newest response was the right
/// one.
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

/// Guards against repeated wrong responses: after early reuse the newest response may itself be a
/// copy of an earlier one, and then a further copy is no evidence that it was the right one.
#[test]
fn the_same_response_again_after_early_reuse_is_unexplained() {
    let (connection, now) = used_connection(&[ONE_MS]);
    let evidence = connection.evidence_of_surplus(true, now + ONE_MS);
    assert_eq!(evidence, SurplusEvidence::Unexplained);
}
