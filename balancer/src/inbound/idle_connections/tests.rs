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
