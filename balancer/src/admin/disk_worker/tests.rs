//! Jobs on the worker's thread.
use super::*;

#[tokio::test(flavor = "local")]
async fn returns_results_while_the_loop_goes_on() {
    let worker = DiskWorker::default();
    let slow = worker.run(|| {
        thread::sleep(Duration::from_millis(50));
        "slow"
    });
    tokio::pin!(slow);
    tokio::select! {
        biased;
        _ = &mut slow => panic!("the job has not ended"),
        () = tokio::time::sleep(Duration::from_millis(5)) => {}
    }
    assert_eq!(slow.await.expect("a result"), "slow");
    assert_eq!(worker.run(|| 7).await.expect("a result"), 7);
}

/// Guards against an admin endpoint that never answers again after a job panicked.
#[tokio::test(flavor = "local")]
async fn goes_on_after_a_job_that_panics() {
    let worker = DiskWorker::default();
    let failed = worker.run(|| -> u8 { panic!("a job that panics, in a test") });
    assert!(matches!(failed.await, Err(DiskWorkerError::Panicked)));
    assert_eq!(worker.run(|| 7).await.expect("a result"), 7);
}
