//! How often a call is tried.
use super::*;

const LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn a_call_is_tried_until_it_succeeds_or_the_limit_has_passed() {
    let mut left = 4;
    let served = retry_io(LIMIT, || {
        left -= 1;
        if left > 0 {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(left)
    });
    assert_eq!(served.await.expect("the fourth call is served"), 0);
    let began = Instant::now();
    let failed = retry_io(LIMIT, || Err::<(), _>(io::ErrorKind::OutOfMemory.into()));
    assert_eq!(
        failed.await.expect_err("it fails").kind(),
        io::ErrorKind::OutOfMemory
    );
    assert!(began.elapsed() >= LIMIT && began.elapsed() < LIMIT * 2);
}

#[tokio::test(start_paused = true)]
async fn what_cannot_pass_fails_at_once() {
    let began = Instant::now();
    let failed = retry_io(LIMIT, || Err::<(), _>(io::ErrorKind::NotFound.into()));
    assert!(failed.await.is_err() && began.elapsed() < PAUSE);
}
