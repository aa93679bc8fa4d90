//! Which calls are retried, and for how long.
use super::*;

const LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn repeats_a_call_until_it_succeeds_or_the_limit_has_passed() {
    let mut calls_left = 4;
    let result = retry_io(LIMIT, || {
        calls_left -= 1;
        if calls_left > 0 {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(calls_left)
    });
    assert_eq!(result.await.expect("the fourth call succeeds"), 0);
    let start = Instant::now();
    let failed = retry_io(LIMIT, || Err::<(), _>(io::ErrorKind::OutOfMemory.into()));
    assert_eq!(
        failed.await.expect_err("it fails").kind(),
        io::ErrorKind::OutOfMemory
    );
    assert!(start.elapsed() >= LIMIT && start.elapsed() < LIMIT * 2);
}

#[tokio::test(start_paused = true)]
async fn returns_permanent_errors_at_once() {
    let start = Instant::now();
    let failed = retry_io(LIMIT, || Err::<(), _>(io::ErrorKind::NotFound.into()));
    assert!(failed.await.is_err() && start.elapsed() < RETRY_INTERVAL);
}
