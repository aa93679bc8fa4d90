//! The shutdown of the process, from the signal to the last response.
use crate::admin::process_coordinator::ProcessCoordinator;
use crate::body::limits::BODY_STALL_TIMEOUT;
use crate::control::driver::DriverHandle;
use crate::inbound::response_delivery::{ResponseDeliveries, ResponseDelivery};
use crate::phase::Phase;
use crate::process::shutdown_schedule::{ShutdownSchedule, ACCEPT_PERIOD};
use crate::telemetry::log::log_line;
use crate::time::{sleep_until, timeout_at};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::Instant;

/// Interval between two checks whether responses are still being delivered.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A client that has taken nothing of its response for this long, nor since the signal, does not
/// delay the exit. One that reads at 64 kB/s takes something more often.
const UNREAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

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

    /// Waits until all clients have closed their connections, for as long as the schedule allows. After that, waits
    /// for clients that are still taking their responses.
    pub async fn wait_for_clients(
        &self,
        driver: &DriverHandle,
        deliveries: &ResponseDeliveries,
        server: JoinHandle<()>,
    ) {
        let name = self.name;
        let server = self.run_until_pending_failed(driver, server);
        tokio::pin!(server);
        let exit_at = self.requested_at + self.schedule.exit_after;
        let mut check_at = exit_at;
        while timeout_at(check_at, &mut server).await.is_err() {
            let awaited = deliveries.count_outstanding(|delivery| self.delays_exit(delivery));
            if awaited == 0 {
                let cut_off = deliveries.count_outstanding(|_| true);
                log_line!(
                    "{name}: clients are still connected at the end of the shutdown: {cut_off} responses are cut off"
                );
                return;
            }
            if check_at == exit_at {
                log_line!("{name}: exit is delayed: {awaited} responses are still being relayed");
            }
            check_at += DELIVERY_CHECK_INTERVAL;
        }
    }

    /// Whether the exit waits for an outstanding response: its client takes what there is.
    fn delays_exit(&self, delivery: &ResponseDelivery) -> bool {
        let Some(blocked_since) = delivery.blocked_since() else {
            return true;
        };
        let limit = if blocked_since < self.requested_at {
            UNREAD_RESPONSE_TIMEOUT
        } else {
            BODY_STALL_TIMEOUT
        };
        blocked_since.elapsed() < limit
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
