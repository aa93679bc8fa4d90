//! The clock of the core, and conversions between `Duration` and its milliseconds.
use balancer_core::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Milliseconds since the Unix epoch, advanced by elapsed time only: changes of the system's clock do not move it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The Unix time at `started_at`.
    started_at_unix_ms: Millis,
}

impl Clock {
    /// Reads the system's clock once and starts there.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
            started_at_unix_ms: unix_time(),
        }
    }

    /// The current time in milliseconds since the Unix epoch, the unit in which discovery reports start times.
    pub fn now(&self) -> Millis {
        self.started_at_unix_ms + to_millis(self.started_at.elapsed())
    }
}

/// The system's clock in milliseconds since the Unix epoch.
fn unix_time() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, to_millis)
}

/// Converts a duration to milliseconds.
pub fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Converts milliseconds to a duration. Negative values become zero, values that do not fit `Duration::MAX`.
pub fn from_millis(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / MILLIS_PER_SECOND).unwrap_or(Duration::MAX)
}
