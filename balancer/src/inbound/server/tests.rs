//! Accepting from the queue of a listener that is being closed.
use super::*;

const ECONNABORTED: i32 = 103;
const ENFILE: i32 = 23;

/// Guards against resetting all connections behind one that failed in the listener's queue.
#[tokio::test(start_paused = true)]
async fn accepts_all_queued_connections_behind_failed_ones() {
    let mut queue = [
        Err(ECONNABORTED),
        Ok(1),
        Err(ENFILE),
        Err(ECONNABORTED),
        Ok(2),
    ]
    .into_iter();
    let mut accept = || match queue.next() {
        Some(Ok(connection)) => Ok(connection),
        Some(Err(errno)) => Err(io::Error::from_raw_os_error(errno)),
        None => Err(io::ErrorKind::WouldBlock.into()),
    };
    assert_eq!(accept_from_queue(&mut accept).await, Some(1));
    assert_eq!(accept_from_queue(&mut accept).await, Some(2));
    assert_eq!(accept_from_queue(&mut accept).await, None);
    let mut attempts = 0;
    let failing = accept_from_queue(|| {
        attempts += 1;
        Err::<(), _>(io::Error::from_raw_os_error(ENFILE))
    });
    assert!(failing.await.is_none());
    assert_eq!(attempts, MAX_QUEUE_ACCEPT_ATTEMPTS);
}
