//! Faults of clients: bursts and idle connections.
use super::FaultInjector;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Pause between two idle connections, short enough to open hundreds of them within a few seconds.
const IDLE_CONNECTION_PAUSE: Duration = Duration::from_millis(5);

impl FaultInjector {
    /// Makes the clients of some balancers send at several times their usual rate.
    pub(super) async fn send_burst(&mut self) {
        let balancers = self.draw_balancers();
        for &balancer in &balancers {
            self.testbed.clients(balancer).set_burst(true);
        }
        sleep(self.duration).await;
        for &balancer in &balancers {
            self.testbed.clients(balancer).set_burst(false);
        }
    }

    /// Opens connections to one balancer and leaves them idle, until it has no descriptors left.
    pub(super) async fn open_idle_connections(&mut self) {
        let balancer = self.draw_balancer();
        let started_at = Instant::now();
        let address = self.testbed.clients(balancer).address();
        let mut connections = Vec::new();
        while started_at.elapsed() < self.duration {
            if let Ok(connection) = TcpStream::connect(address).await {
                connections.push(connection);
            }
            sleep(IDLE_CONNECTION_PAUSE).await;
        }
        drop(connections);
        self.testbed
            .recorder()
            .lock()
            .record_descriptor_exhaustion(balancer, started_at);
    }
}
