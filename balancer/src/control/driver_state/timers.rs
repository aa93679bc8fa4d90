//! The driver's timers.
use super::DriverState;
use crate::control::timers::TimerEvent;
use balancer_core::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// How often connections that have been idle for too long are closed.
const IDLE_CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest timer that the core may set; longer ones fire after this time.
const MAX_TIMER_MS: Millis = 71.0 * 60_000.0;

impl DriverState {
    /// When the next timer is due.
    pub fn next_timer_at(&self) -> Option<Instant> {
        self.timers.next_due_at()
    }

    /// Removes the timer that is due next and returns its event.
    pub fn pop_timer(&mut self) -> Option<TimerEvent> {
        self.timers.pop_next()
    }

    /// Sets a timer of the core.
    pub fn set_core_timer(&mut self, after: Millis, token: u32) {
        let after = Duration::from_secs_f64(after.clamp(0.0, MAX_TIMER_MS) / 1000.0);
        self.timers
            .set(Instant::now() + after, TimerEvent::CoreTimer(token));
    }

    /// Sets the timer for the next check of idle connections. Does nothing in a hollow balancer, which has no
    /// connections.
    pub fn schedule_idle_connection_check(&mut self) {
        if self.dispatch.idle_limit().is_some() {
            self.timers.set(
                Instant::now() + IDLE_CONNECTION_CHECK_INTERVAL,
                TimerEvent::IdleConnectionCheck,
            );
        }
    }
}
