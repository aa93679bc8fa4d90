//! What arrivals prove about a client that is still sending.
use super::*;
use std::time::Duration;

const MEGABYTE: u64 = 1 << 20;
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_client_with_more_unsent_than_its_send_buffer_is_still_sending() {
    let start = Instant::now();
    let mut progress = SendProgress::new(start);
    assert!(progress.record_arrival(start + SECOND, 3 * MEGABYTE, Some(8 * MEGABYTE)));
    assert_eq!(progress.earliest_end(), start + SECOND);
    // The rest may wait in the client's send buffer.
    assert!(!progress.record_arrival(start + 2 * SECOND, 4 * MEGABYTE, Some(8 * MEGABYTE)));
    assert_eq!(progress.earliest_end(), start + SECOND);
}

#[test]
fn a_small_body_may_have_been_written_with_its_head() {
    let start = Instant::now();
    let mut progress = SendProgress::new(start);
    for seconds in 1..=3 {
        let now = start + SECOND * seconds;
        assert!(!progress.record_arrival(now, u64::from(seconds) * MEGABYTE, Some(4 * MEGABYTE)));
    }
    assert_eq!(progress.earliest_end(), start);
    progress.record_sending(start + 2 * SECOND);
    progress.record_sending(start + SECOND);
    assert_eq!(progress.earliest_end(), start + 2 * SECOND);
}

/// Without a stated length, what arrives later proves that the client was still sending earlier.
#[test]
fn later_bytes_of_a_chunked_body_prove_that_its_client_was_still_sending() {
    let start = Instant::now();
    let mut progress = SendProgress::new(start);
    for seconds in 1..=20 {
        let now = start + SECOND * seconds;
        assert!(!progress.record_arrival(now, u64::from(seconds) * MEGABYTE, None));
        let unproven = now - progress.earliest_end();
        // The limit lags behind by the send buffer, and by the checkpoint's distance as much again.
        assert!(unproven <= 10 * SECOND, "after {seconds} s: {unproven:?}");
    }
    assert!(progress.earliest_end() >= start + 10 * SECOND);
}
