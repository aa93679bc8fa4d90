//! The order of the steps of a shutdown.
use super::*;

/// Guards against requests that are left without a response because short deadlines make SIGKILL come sooner.
#[test]
fn shutdown_ends_before_kill_for_all_deadlines() {
    for deadline in [1, 100, 400, 1909, 2999, 3000, 6000, 1_000_000] {
        let killed_after = Duration::from_millis(deadline.min(3000) + 700);
        let schedule = ShutdownSchedule::of(Duration::from_millis(deadline));
        assert!(
            ACCEPT_PERIOD <= schedule.close_connections_after
                && schedule.close_connections_after <= schedule.fail_pending_after,
            "{deadline}: {schedule:?}"
        );
        assert!(
            schedule.fail_pending_after < schedule.exit_after && schedule.exit_after < killed_after,
            "{deadline}: {schedule:?}"
        );
    }
    let long = ShutdownSchedule::of(Duration::from_secs(6));
    assert_eq!(long.fail_pending_after, Duration::from_millis(3500));
    assert_eq!(long.exit_after, Duration::from_millis(3650));
}
