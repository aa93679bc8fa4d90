//! Which responses are passed on when the time of their request is over.
use super::*;
use std::time::Duration;

/// A response that has begun, with so many bytes of its body.
fn begun_response(length: usize) -> ResponseProgress {
    let progress = ResponseProgress::default();
    progress.record_begin();
    if length > 0 {
        progress.record_data(length);
    }
    progress.begin_wait();
    progress
}

/// Whether it is to be passed on now.
async fn is_relay_requested(progress: &ResponseProgress) -> bool {
    tokio::time::timeout(Duration::from_millis(1), progress.relay_requested())
        .await
        .is_ok()
}

/// Guards against giving up a response because it pauses at the deadline: more may follow at once.
#[tokio::test(flavor = "local", start_paused = true)]
async fn response_whose_body_has_begun_is_passed_on_when_the_time_of_its_request_is_over() {
    for pause in [Duration::ZERO, Duration::from_secs(1)] {
        let progress = begun_response(100);
        tokio::time::sleep(pause).await;
        assert!(!is_relay_requested(&progress).await);
        assert!(progress.pass_on());
        assert!(is_relay_requested(&progress).await);
    }
}

/// Guards against passing on a head whose body may never come.
#[tokio::test(flavor = "local", start_paused = true)]
async fn response_without_body_so_far_is_not_passed_on() {
    for progress in [ResponseProgress::default(), begun_response(0)] {
        assert!(!progress.pass_on());
        assert!(!is_relay_requested(&progress).await);
    }
}

/// Guards against giving up the retry for a response that may never end.
#[tokio::test(flavor = "local", start_paused = true)]
async fn response_without_progress_is_not_relayable_before_that() {
    assert!(begun_response(0).relayable_until(Instant::now()).is_none());
    let stalled = begun_response(100_000);
    assert!(stalled.relayable_until(Instant::now()).is_some());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(stalled.relayable_until(Instant::now()).is_none());
}

/// Guards against passing on the start of a body of stated length, which must be complete in time.
#[tokio::test(flavor = "local", start_paused = true)]
async fn response_that_must_be_complete_is_not_passed_on() {
    let progress = ResponseProgress::default();
    progress.record_data(100);
    assert!(!progress.pass_on());
}

/// Guards against ending an attempt that has its response and returns its connection.
#[tokio::test(flavor = "local", start_paused = true)]
async fn complete_response_is_passed_on() {
    let progress = ResponseProgress::default();
    progress.record_complete();
    assert!(progress.pass_on());
}
