//! The cause of surplus data, depending on what its connection has carried.
use super::*;

const ONE_MS: Duration = Duration::from_millis(1);

/// A connection that has carried one request, and a further one after each of these delays. Also
/// returns the time of its newest response.
fn used_connection(delays: &[Duration]) -> (RequestHistory, Instant) {
    let connection = RequestHistory::default();
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
fn surplus_data_after_one_request_is_a_probable_duplicate() {
    let connection = RequestHistory::default();
    let now = Instant::now();
    let expected = SurplusCause::ProbableDuplicate;
    assert_eq!(connection.cause_of_surplus(false, now), expected, "unused");
    connection.record_request(now);
    assert!(!connection.has_completed_request());
    let before_completion = connection.cause_of_surplus(false, now + LONG_REUSE_DELAY);
    assert_eq!(
        before_completion, expected,
        "before the response is complete"
    );
    connection.record_response(now);
    assert!(connection.has_completed_request() && !connection.is_reused());
    for delay in [Duration::ZERO, ONE_MS, MAX_DETECTABLE_DUPLICATE_DELAY] {
        let cause = connection.cause_of_surplus(false, now + delay);
        assert_eq!(cause, expected, "{delay:?}");
    }
}

/// Guards against treating surplus data as harmless if it may be the response to a request that was
/// given another request's response.
#[test]
fn surplus_data_after_any_early_reuse_is_unexplained() {
    let early = LONG_REUSE_DELAY - ONE_MS;
    for delays in [
        &[early][..],
        &[early, LONG_REUSE_DELAY],
        &[LONG_REUSE_DELAY, early],
    ] {
        let (connection, now) = used_connection(delays);
        assert!(connection.is_reused());
        let cause = connection.cause_of_surplus(false, now);
        assert_eq!(cause, SurplusCause::Unexplained, "{delays:?}");
    }
}

/// Guards against a single-use period after each duplicate: if each request followed the response
/// before it after the long reuse delay, the data is a duplicate of the newest response, as a
/// duplicate of an earlier response would have arrived during that delay.
#[test]
fn surplus_data_after_long_reuse_delays_is_a_probable_duplicate() {
    let (connection, now) = used_connection(&[LONG_REUSE_DELAY, LONG_REUSE_DELAY * 2]);
    let cause = connection.cause_of_surplus(false, now + ONE_MS);
    assert_eq!(cause, SurplusCause::ProbableDuplicate);
}

/// Guards against relying on a reuse delay that is hardly longer than the delay of duplicates.
#[test]
fn surplus_data_beyond_the_detectable_delay_is_unexplained() {
    for delays in [&[][..], &[LONG_REUSE_DELAY]] {
        let (connection, now) = used_connection(delays);
        let cause =
            connection.cause_of_surplus(false, now + MAX_DETECTABLE_DUPLICATE_DELAY + ONE_MS);
        assert_eq!(cause, SurplusCause::Unexplained, "{delays:?}");
    }
}

/// Guards against a wrong delay of data that arrives while a response is awaited: it is zero, not
/// the time since the previous response.
#[test]
fn surplus_data_while_a_later_response_is_awaited_is_a_probable_duplicate() {
    let (connection, now) = used_connection(&[LONG_REUSE_DELAY]);
    let next = now + LONG_REUSE_DELAY * 2;
    connection.record_request(next);
    let cause = connection.cause_of_surplus(false, next + ONE_MS);
    assert_eq!(cause, SurplusCause::ProbableDuplicate);
}

/// Guards against the long reuse delay although equal bytes prove that the data is a duplicate of
/// the newest response, whose delay is known.
#[test]
fn the_same_response_again_is_a_duplicate_with_its_delay() {
    for delays in [&[][..], &[LONG_REUSE_DELAY]] {
        let (connection, now) = used_connection(delays);
        for delay in [Duration::ZERO, ONE_MS, MAX_DETECTABLE_DUPLICATE_DELAY] {
            let cause = connection.cause_of_surplus(true, now + delay);
            assert_eq!(cause, SurplusCause::Duplicate { delay }, "{delays:?}");
        }
        let late = now + MAX_DETECTABLE_DUPLICATE_DELAY + ONE_MS;
        let cause = connection.cause_of_surplus(true, late);
        assert_eq!(cause, SurplusCause::Unexplained, "{delays:?}");
    }
}

/// Guards against repeated wrong responses: after early reuse the newest response may itself be a
/// duplicate of an earlier one, and then a further duplicate does not show that it was the right
/// one.
#[test]
fn the_same_response_again_after_early_reuse_is_unexplained() {
    let (connection, now) = used_connection(&[ONE_MS]);
    let cause = connection.cause_of_surplus(true, now + ONE_MS);
    assert_eq!(cause, SurplusCause::Unexplained);
}
