//! The times of a shutdown.
use std::time::Duration;

/// New connections keep arriving for this long after SIGTERM; this includes a margin.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM no sooner than this after the longest deadline has passed.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A longer deadline does not delay SIGKILL further.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time for the last responses to reach their clients before SIGKILL.
const RESPONSE_FLUSH_PERIOD: Duration = Duration::from_millis(200);
/// The process exits this long before SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(50);

/// When the steps of a shutdown take place, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then connections are served as before. If they were closed earlier, clients that find no other balancer
    /// would have to connect to one that may be restarting itself.
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
        // In the last third, only requests that arrived before it are finished, so that few have to fail.
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
