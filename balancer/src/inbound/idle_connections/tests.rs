//! Which kind of idle connection is evicted.
use super::*;

/// Guards against a growing accept queue: while used connections are the larger group, one of them
/// is evicted at once, without waiting for the grace period of a new connection to end.
#[test]
fn selects_kind_to_evict_by_idle_times_and_group_sizes() {
    const NEW: Option<ConnectionKind> = Some(ConnectionKind::New);
    const USED: Option<ConnectionKind> = Some(ConnectionKind::Used);
    let ms = |ms| Some(Duration::from_millis(ms));
    for (new_age, used_age, more_used, expected) in [
        (ms(1), ms(1900), true, USED),
        (None, ms(1), true, USED),
        (ms(1), ms(1900), false, None),
        (ms(6), ms(1900), false, NEW),
        (ms(40), ms(1900), true, NEW),
        (ms(40), ms(9000), true, NEW),
        (ms(1), ms(2100), false, USED),
        (None, None, false, None),
    ] {
        let new = IdleGroup {
            oldest_age: new_age,
            count: 1,
        };
        let used = IdleGroup {
            oldest_age: used_age,
            count: if more_used { 2 } else { 1 },
        };
        let kind = select_eviction_candidate(new, used);
        assert_eq!(kind, expected, "{new_age:?} {used_age:?} {more_used}");
    }
}

/// Guards against closing a connection for its memory whose first request is on its way.
#[tokio::test(start_paused = true)]
async fn new_connections_are_not_evicted_for_memory_before_they_may_be_closed() {
    let connections = IdleConnections::default();
    let [new, used] = [ConnectionKind::New, ConnectionKind::Used].map(|kind| {
        let evict = Rc::new(Notify::new());
        connections.mark_idle(kind, &evict);
        evict
    });
    let is_evicted = async |evict: &Notify| {
        let at_once = tokio::time::timeout(Duration::ZERO, evict.notified());
        at_once.await.is_ok()
    };
    assert!(connections.evict_for_memory());
    assert!(is_evicted(&used).await && !is_evicted(&new).await);
    assert!(!connections.evict_for_memory());
    tokio::time::advance(NEW_CONNECTION_IDLE_LIMIT).await;
    assert!(connections.evict_for_memory());
    assert!(is_evicted(&new).await);
}
