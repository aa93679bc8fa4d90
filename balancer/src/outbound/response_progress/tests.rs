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

#[tokio::test(flavor = "local", start_paused = true)]
async fn response_in_progress_is_passed_on_when_the_time_of_its_request_is_over() {
    let progress = begun_response(100);
    assert!(!is_relay_requested(&progress).await);
    assert!(progress.pass_on());
    assert!(is_relay_requested(&progress).await);
}

/// Guards against giving up the retry for a response that may never end.
#[tokio::test(flavor = "local", start_paused = true)]
async fn response_without_progress_is_not_passed_on() {
    assert!(!ResponseProgress::default().pass_on());
    assert!(!begun_response(0).pass_on());
    let stalled = begun_response(100_000);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!stalled.pass_on());
    assert!(!is_relay_requested(&stalled).await);
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
