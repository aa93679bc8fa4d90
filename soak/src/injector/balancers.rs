//! Faults of balancer processes: restarts, kills, reloads, stalls and upgrades.
use super::FaultInjector;
use crate::balancer::Signal;
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time for which a stall pauses a process.
const STALL_DURATION: Duration = Duration::from_millis(140);
/// Pause between two stalls, in milliseconds.
const STALL_PAUSE_MS: Range<u64> = 200..900;
/// Number of reloads in a series.
const RELOADS_IN_SERIES: Range<usize> = 2..5;
/// Pause after a reload, in milliseconds.
const RELOAD_PAUSE_MS: Range<u64> = 0..400;

impl FaultInjector {
    pub(super) async fn restart_balancers(&mut self) {
        let ends_at = self.ends_at();
        while Instant::now() < ends_at {
            let balancer = self.draw_balancer();
            self.testbed.restart(balancer).await;
        }
    }

    /// Sends one balancer several reloads in a row, then shuts it down and sends more signals during the shutdown.
    pub(super) async fn send_signal_series(&mut self) {
        let balancer = self.draw_balancer();
        for _ in 0..self.random.random_range(RELOADS_IN_SERIES) {
            self.testbed.reload(balancer).await;
        }
        let signals = [Signal::Hangup, Signal::Terminate, Signal::Hangup];
        self.testbed.restart_with(balancer, &signals).await;
    }

    pub(super) async fn upgrade_balancers(&mut self) {
        let ends_at = self.ends_at();
        while Instant::now() < ends_at {
            let balancer = self.draw_balancer();
            self.testbed.upgrade(balancer).await;
        }
    }

    pub(super) async fn kill_balancers(&mut self) {
        for balancer in self.draw_balancers() {
            let killed_at = self.testbed.kill(balancer).await;
            self.testbed.start_after_kill(balancer, killed_at).await;
        }
    }

    pub(super) async fn reload_balancers(&mut self) {
        for balancer in self.draw_balancers() {
            self.testbed.reload(balancer).await;
            sleep(self.draw_duration(RELOAD_PAUSE_MS)).await;
        }
    }

    /// Repeatedly pauses one balancer's process for a moment.
    pub(super) async fn stall_balancer(&mut self) {
        let ends_at = self.ends_at();
        let id = self.draw_balancer();
        while Instant::now() < ends_at {
            {
                let balancer = self.testbed.lock_balancer(id).await;
                balancer.signal(Signal::Stop);
                sleep(STALL_DURATION).await;
                balancer.signal(Signal::Continue);
            }
            sleep(self.draw_duration(STALL_PAUSE_MS)).await;
        }
    }
}
