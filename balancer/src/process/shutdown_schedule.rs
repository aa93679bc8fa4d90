//! The times of a shutdown.
use std::time::Duration;

/// New connections keep arriving for a while after SIGTERM. They are accepted for this long, which includes a margin.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// SIGKILL comes no earlier than the longest deadline plus this time after SIGTERM.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest deadline that delays SIGKILL; a longer one counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time for the last responses to reach their clients before SIGKILL.
const RESPONSE_FLUSH_PERIOD: Duration = Duration::from_millis(200);
/// The process exits this long before SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(50);

/// When the steps of a shutdown take place, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then connections are served as before. If they were closed earlier, their clients would have to find
    /// another balancer, and the one that they find may itself be restarting.
    pub close_connections_after: Duration,
    /// Requests that are pending by then fail. Requests that arrive after SIGTERM are due by then.
    pub fail_pending_after: Duration,
    /// The process exits, unless responses are still being relayed.
    pub exit_after: Duration,
}

impl ShutdownSchedule {
    /// The schedule for the longest deadline of all classes.
    pub fn of(longest_deadline: Duration) -> ShutdownSchedule {
        let killed_after = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let fail_pending_after = killed_after - RESPONSE_FLUSH_PERIOD;
        // Connections close from two thirds of `fail_pending_after` on. In the last third, only requests that arrived
        // earlier are finished, so that few have to fail.
        let close_connections_after = (fail_pending_after * 2 / 3).max(ACCEPT_PERIOD);
        ShutdownSchedule {
            close_connections_after,
            fail_pending_after,
            exit_after: killed_after - EXIT_MARGIN,
        }
    }
}

#[cfg(test)]
mod tests;
