//! Starts, stops and replaces the balancers of a run.
use super::Testbed;
use crate::balancer::{Balancer, Signal, KILL_DELAY};
use crate::ids::BalancerId;
use crate::rules::Rule;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time after SIGTERM for which clients still open connections.
const ACCEPT_PERIOD: Duration = Duration::from_millis(350);
/// Pause between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(40);

impl Testbed {
    /// Starts all balancers, one after the other.
    pub async fn start_balancers(&self) {
        for id in self.balancer_ids() {
            self.start(&mut *self.lock_balancer(id).await).await;
        }
    }

    /// Starts a balancer's process and waits until it is ready.
    async fn start(&self, balancer: &mut Balancer) {
        let id = balancer.id();
        let startup_list = self.discovery.snapshot(id);
        let discovery_address = self.balancers[id.0].discovery_address();
        let started = balancer
            .configure(discovery_address, &startup_list)
            .and_then(|()| balancer.start(self.seed));
        self.discovery.balancer_started(id);
        self.recorder.lock().record_process_start(id);
        if let Err(error) = started {
            let details = format!("balancer {id} could not be started: {error}");
            self.record_violation(Rule::Crash, details);
            return;
        }
        if !balancer.wait_until_ready().await {
            let status = balancer.take_exit_status();
            let status = status.unwrap_or_else(|| "still running".to_string());
            let details = format!("balancer {id} did not become ready in time: {status}");
            self.record_violation(Rule::NotReady, details);
        }
        self.clients(id).allow_connections();
    }

    /// Reloads a balancer with a configuration that names its other address of discovery.
    pub async fn reload(&self, id: BalancerId) {
        let balancer = self.lock_balancer(id).await;
        let managed = &self.balancers[id.0];
        managed.change_discovery_address();
        let configured = balancer.configure(managed.discovery_address(), "null");
        if configured.is_ok() {
            self.discovery.balancer_reloaded(id);
            balancer.signal(Signal::Hangup);
        }
    }

    /// Shuts a balancer down gracefully and starts it again.
    pub async fn restart(&self, id: BalancerId) {
        self.restart_with(id, &[]).await;
    }

    /// Shuts a balancer down gracefully, sends it these signals after SIGTERM, and starts it again. Clients use
    /// their open connections until the balancer has exited. If it has not exited [`KILL_DELAY`] after SIGTERM, the
    /// earliest time at which operators may kill it, it is killed.
    pub async fn restart_with(&self, id: BalancerId, further_signals: &[Signal]) {
        let mut balancer = self.lock_balancer(id).await;
        if !balancer.has_process() {
            return;
        }
        let signalled_at = Instant::now();
        balancer.signal(Signal::Terminate);
        for &signal in further_signals {
            sleep(SIGNAL_PAUSE).await;
            balancer.signal(signal);
        }
        sleep(ACCEPT_PERIOD.saturating_sub(signalled_at.elapsed())).await;
        self.clients(id).forbid_connections();
        let limit = KILL_DELAY.saturating_sub(signalled_at.elapsed());
        let exit_code = balancer.wait_for_exit(limit).await;
        let exited_at = Instant::now();
        if exit_code != Some(0) {
            let details = format!(
                "balancer {id} did not exit with code 0 in time: exit code {exit_code:?} (None: killed by a signal, or still running), {:?} after SIGTERM",
                signalled_at.elapsed()
            );
            self.record_violation(Rule::Crash, details);
            balancer.kill().await;
        }
        self.start(&mut balancer).await;
        self.recorder.lock().record_downtime(id, exited_at);
    }

    /// Replaces a balancer's process with a successor. For a while both serve.
    pub async fn upgrade(&self, id: BalancerId) {
        let mut balancer = self.lock_balancer(id).await;
        if !balancer.has_process() {
            return;
        }
        self.recorder.lock().record_process_start(id);
        let startup_list = self.discovery.snapshot_for_successor(id);
        let discovery_address = self.balancers[id.0].discovery_address();
        let upgraded = balancer
            .upgrade(discovery_address, &startup_list, self.seed)
            .await;
        if let Err(error) = upgraded {
            let details = format!("balancer {id} could not be upgraded: {error}");
            self.record_violation(Rule::Crash, details);
        }
    }

    /// Kills a balancer. Returns the start of its downtime, for [`Testbed::start_after_kill`].
    pub async fn kill(&self, id: BalancerId) -> Instant {
        let killed_at = Instant::now();
        let mut balancer = self.lock_balancer(id).await;
        balancer.kill().await;
        self.clients(id).forbid_connections();
        killed_at
    }

    /// Starts a balancer that has been killed.
    pub async fn start_after_kill(&self, id: BalancerId, killed_at: Instant) {
        let mut balancer = self.lock_balancer(id).await;
        self.start(&mut balancer).await;
        self.recorder.lock().record_downtime(id, killed_at);
    }

    /// Checks the violations that balancers have counted themselves, then shuts the balancers down.
    pub async fn shut_down_balancers(&self) {
        for id in self.balancer_ids() {
            let mut balancer = self.lock_balancer(id).await;
            self.check_balancer(&mut balancer).await;
            balancer.signal(Signal::Terminate);
        }
        for id in self.balancer_ids() {
            let mut balancer = self.lock_balancer(id).await;
            balancer.wait_for_exit(KILL_DELAY).await;
            balancer.kill().await;
        }
    }

    /// Checks that a balancer still runs and has counted no violation of its own invariants.
    async fn check_balancer(&self, balancer: &mut Balancer) {
        let id = balancer.id();
        if let Some(status) = balancer.take_exit_status() {
            let details = format!("balancer {id} ended by itself: {status}");
            self.record_violation(Rule::Crash, details);
            return;
        }
        for metric in balancer.admin().violation_metrics().await {
            self.record_violation(Rule::SelfCheck, format!("balancer {id}: {metric}"));
        }
    }
}
