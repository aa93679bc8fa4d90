//! Tests of jobs on disk threads.
use super::*;

#[tokio::test(flavor = "local")]
async fn slow_job_blocks_neither_the_event_loop_nor_other_jobs() {
    let slow = run_on_disk_thread(|| {
        thread::sleep(Duration::from_millis(50));
        "slow"
    });
    tokio::pin!(slow);
    tokio::select! {
        biased;
        _ = &mut slow => panic!("the slow job ended before the other one"),
        other = run_on_disk_thread(|| 5) => assert_eq!(other.expect("a result"), 5),
    }
    assert_eq!(slow.await.expect("a result"), "slow");
    assert_eq!(run_on_disk_thread(|| 7).await.expect("a result"), 7);
}

/// Guards against an admin endpoint that waits forever for a job that panicked.
#[tokio::test(flavor = "local")]
async fn reports_a_job_that_panics() {
    let failed = run_on_disk_thread(|| -> u8 { panic!("a job that panics, in a test") });
    assert!(matches!(failed.await, Err(DiskWorkerError::Panicked)));
    assert_eq!(run_on_disk_thread(|| 7).await.expect("a result"), 7);
}
