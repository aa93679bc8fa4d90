//! Faults of overrides: operators suspend and restore endpoints, with a working or a failing disk.
use super::system_calls::{in_millionths, report_failure};
use super::FaultInjector;
use crate::ids::BalancerId;
use crate::observations::{NoticeSource, UnavailabilityCause, UpstreamUse};
use fault_injection::control::Fault as SyscallFault;
use rand::RngExt;
use std::ops::Range;
use tokio::time::{sleep, Instant};

/// Time for which an endpoint stays suspended, in milliseconds.
const SUSPENSION_MS: Range<u64> = 200..1500;
/// Pause between two suspensions, in milliseconds.
const SUSPENSION_PAUSE_MS: Range<u64> = 100..800;
/// Range of the probability of a failing disk operation that a fault draws.
const DISK_FAILURE_PROBABILITY: Range<f64> = 0.0..0.6;

impl FaultInjector {
    pub(super) async fn change_overrides(&mut self) {
        let balancer = self.draw_balancer();
        self.change_overrides_at(balancer).await;
    }

    /// Changes overrides while the balancer's disk fails. Half of the time the balancer is killed at the end.
    pub(super) async fn fail_disk(&mut self) {
        let id = self.draw_balancer();
        {
            let balancer = self.testbed.lock_balancer(id).await;
            for fault in [SyscallFault::DiskWrite, SyscallFault::DiskRead] {
                let probability = self.random.random_range(DISK_FAILURE_PROBABILITY);
                report_failure(
                    id,
                    format_args!("set the system call fault {fault:?}"),
                    balancer.set_syscall_fault(fault, in_millionths(probability)),
                );
            }
        }
        self.change_overrides_at(id).await;
        if self.random.random::<bool>() {
            let killed_at = self.testbed.kill(id).await;
            self.testbed.start_after_kill(id, killed_at).await;
        }
        let balancer = self.testbed.lock_balancer(id).await;
        report_failure(
            id,
            format_args!("clear the system call faults"),
            balancer.clear_syscall_faults(),
        );
    }

    /// Repeatedly suspends and restores one endpoint at one balancer.
    async fn change_overrides_at(&mut self, balancer: BalancerId) {
        let upstream = self.draw_upstream();
        let endpoint_id = upstream.endpoint_id();
        let upstream_use = UpstreamUse {
            balancer,
            upstream,
            cause: UnavailabilityCause::Suspension,
        };
        let testbed = self.testbed.clone();
        let Ok(_reservation) = testbed.try_reserve_overrides(balancer) else {
            return;
        };
        let ends_at = self.ends_at();
        while Instant::now() < ends_at {
            if self.suspend(balancer, &endpoint_id).await {
                let mut observations = testbed.recorder().lock();
                observations.record_unavailable(
                    upstream_use,
                    Instant::now(),
                    NoticeSource::OperatorCommand,
                );
            }
            sleep(self.draw_duration(SUSPENSION_MS)).await;
            // The balancer may restore the endpoint even if its response does not arrive.
            testbed
                .recorder()
                .lock()
                .record_available(upstream_use, Instant::now());
            self.restore(balancer, &endpoint_id).await;
            sleep(self.draw_duration(SUSPENSION_PAUSE_MS)).await;
        }
    }

    async fn suspend(&self, balancer: BalancerId, endpoint_id: &str) -> bool {
        let balancer = self.testbed.lock_balancer(balancer).await;
        balancer.admin().suspend(endpoint_id).await
    }

    async fn restore(&self, balancer: BalancerId, endpoint_id: &str) -> bool {
        let balancer = self.testbed.lock_balancer(balancer).await;
        balancer.admin().restore(endpoint_id).await
    }
}
