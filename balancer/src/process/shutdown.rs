//! The shutdown of the process, from the signal to the last response.
use crate::admin::process_coordinator::ProcessCoordinator;
use crate::control::driver::DriverHandle;
use crate::phase::Phase;
use crate::process::shutdown_schedule::{ShutdownSchedule, ACCEPT_PERIOD};
use crate::telemetry::log::log_line;
use crate::time::{sleep_until, timeout_at};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::Instant;

/// Interval between two checks whether responses are still being relayed.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Relayed responses are cut off this long after the signal, unless the process was killed before.
const MAX_RELAY_PERIOD: Duration = Duration::from_secs(30);

/// A shutdown in progress.
pub struct Shutdown<'a> {
    /// The balancer's name, for the log.
    pub name: &'a str,
    /// When the signal arrived.
    pub requested_at: Instant,
    /// When the steps take place.
    pub schedule: ShutdownSchedule,
}

impl Shutdown<'_> {
    /// Takes the process through the phases of its shutdown, up to the one in which connections are closed. If another
    /// process of this balancer has started to serve, hands the clients over to that process at once.
    pub async fn advance_to_closing(
        &self,
        coordinator: Option<&ProcessCoordinator>,
        phase: &watch::Sender<Phase>,
    ) {
        let has_successor = match coordinator {
            Some(coordinator) => coordinator.check_for_successor().await,
            None => false,
        };
        if has_successor {
            hand_off(phase);
            return;
        }
        let steps = [
            (Duration::ZERO, Phase::ShutdownRequested),
            (ACCEPT_PERIOD, Phase::Draining),
            (self.schedule.close_connections_after, Phase::Closing),
        ];
        for (after, next_phase) in steps {
            sleep_until(self.requested_at + after).await;
            phase.send_replace(next_phase);
            if let (Phase::Draining, Some(coordinator)) = (next_phase, coordinator) {
                coordinator.release_process_lock();
            }
        }
    }

    /// Waits until all clients are served, for as long as the schedule allows.
    pub async fn wait_for_clients(&self, driver: &DriverHandle, server: JoinHandle<()>) {
        let server = self.run_until_pending_failed(driver, server);
        tokio::pin!(server);
        let exit_at = self.requested_at + self.schedule.exit_after;
        let mut check_at = exit_at;
        while timeout_at(check_at, &mut server).await.is_err() {
            let name = self.name;
            let active = driver.active_requests();
            if active == 0 || check_at >= self.requested_at + MAX_RELAY_PERIOD {
                log_line!(
                    "{name}: clients are still connected at the end of the shutdown: {active} responses are cut off"
                );
                return;
            }
            if check_at == exit_at {
                log_line!("{name}: exit is delayed: {active} responses are still being relayed");
            }
            check_at += RELAY_CHECK_INTERVAL;
        }
    }

    /// Waits for the server to end. Fails the requests that are still pending at the schedule's `fail_pending_after`.
    async fn run_until_pending_failed(
        &self,
        driver: &DriverHandle,
        mut server: JoinHandle<()>,
    ) -> Result<(), JoinError> {
        tokio::select! {
            ended = &mut server => return ended,
            () = sleep_until(self.requested_at + self.schedule.fail_pending_after) => {
                driver.fail_pending();
            }
        }
        server.await
    }
}

/// Hands the clients off to the successor. If operators have paused the balancer, connections are being closed already.
/// The phase `Closing` keeps it so; in the phase `HandedOff` they would stay open until the listener is closed.
fn hand_off(phase: &watch::Sender<Phase>) {
    let is_paused = *phase.borrow() == Phase::Paused;
    phase.send_replace(if is_paused {
        Phase::Closing
    } else {
        Phase::HandedOff
    });
}
