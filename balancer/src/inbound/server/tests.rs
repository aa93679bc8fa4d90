use super::*;

/// Guards against a queue that grows: where callers that asked once and stay take most places, a young newcomer
/// holds nobody up until it has aged.
#[test]
fn of_the_connections_that_rest_the_larger_group_makes_way() {
    let ms = |ms| Some(Duration::from_millis(ms));
    for (newcomer, kept, more_kept, wanted) in [
        (ms(1), ms(1900), true, Some(true)),
        (None, ms(1), true, Some(true)),
        (ms(1), ms(1900), false, None),
        (ms(6), ms(1900), false, Some(false)),
        (ms(40), ms(1900), true, Some(false)),
        (ms(40), ms(9000), true, Some(false)),
        (ms(1), ms(2100), false, Some(true)),
        (None, None, false, None),
    ] {
        let chosen = makes_way(newcomer, kept, more_kept);
        assert_eq!(chosen, wanted, "{newcomer:?} {kept:?} {more_kept}");
    }
}

/// A connection that failed in the listener's queue left all behind it to be reset.
#[tokio::test(start_paused = true)]
async fn the_queue_is_emptied_behind_connections_that_fail_in_it() {
    const ECONNABORTED: i32 = 103;
    const ENFILE: i32 = 23;
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
    assert_eq!(next_in_queue(&mut accept).await, Some(1));
    assert_eq!(next_in_queue(&mut accept).await, Some(2));
    assert_eq!(next_in_queue(&mut accept).await, None);
    let mut tries = 0;
    let broken = next_in_queue(|| {
        tries += 1;
        Err::<(), _>(io::Error::from_raw_os_error(ENFILE))
    });
    assert!(broken.await.is_none());
    assert_eq!(tries, ACCEPT_TRIES);
}
