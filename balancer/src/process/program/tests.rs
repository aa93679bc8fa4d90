use super::*;

/// Guards against being killed with requests unanswered where deadlines are short: SIGKILL comes sooner there.
#[test]
fn the_end_comes_before_the_platform_kills_whatever_the_deadlines() {
    for deadline in [1, 100, 400, 1909, 2999, 3000, 6000, 1_000_000] {
        let killed = Duration::from_millis(deadline.min(3000) + 700);
        let ShutdownSchedule {
            serving,
            answered,
            last,
        } = ShutdownSchedule::of(Duration::from_millis(deadline));
        assert!(
            STILL_ACCEPTING <= serving && serving <= answered,
            "{deadline}: {serving:?} {answered:?}"
        );
        assert!(
            answered < last && last < killed,
            "{deadline}: {answered:?} {last:?}"
        );
    }
    let long = ShutdownSchedule::of(Duration::from_secs(6));
    assert_eq!(
        (long.answered, long.last),
        (Duration::from_millis(3500), Duration::from_millis(3650))
    );
}
