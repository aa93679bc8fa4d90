//! Faults of a balancer's system calls and of its wall clock.
use super::failing_calls::FailingCalls;
use super::FaultInjector;
use crate::balancer::BalancerError;
use crate::ids::BalancerId;
use fault_injection::control::{Fault as SyscallFault, PROBABILITY_ONE};
use rand::RngExt;
use std::fmt;
use std::ops::Range;
use tokio::time::{sleep, Instant};

/// Largest offsets of the wall clock in either direction, in milliseconds: an hour or ten seconds.
const MAX_CLOCK_OFFSETS_MS: [i64; 2] = [3_600_000, 10_000];
/// Time between two steps of the wall clock, in milliseconds.
const CLOCK_STEP_PAUSE_MS: Range<u64> = 300..2000;

impl FaultInjector {
    /// Makes system calls of some balancers fail.
    pub(super) async fn fail_system_calls(&mut self, calls: &FailingCalls) {
        let balancers = self.draw_balancers();
        for &id in &balancers {
            self.start_failing_calls(id, calls).await;
        }
        sleep(self.duration).await;
        for &id in &balancers {
            self.end_failing_calls(id).await;
        }
    }

    /// Makes system calls of a balancer fail, and draws a probability for each kind of call.
    pub(super) async fn start_failing_calls(&mut self, id: BalancerId, calls: &FailingCalls) {
        let balancer = self.testbed.lock_balancer(id).await;
        for &fault in calls.faults {
            let probability = self.random.random_range(0.0..calls.max_probability);
            report_failure(
                id,
                format_args!("set the system call fault {fault:?}"),
                balancer.set_syscall_fault(fault, in_millionths(probability)),
            );
        }
    }

    /// Ends all system call faults of a balancer.
    pub(super) async fn end_failing_calls(&self, id: BalancerId) {
        let balancer = self.testbed.lock_balancer(id).await;
        report_failure(
            id,
            format_args!("clear the system call faults"),
            balancer.clear_syscall_faults(),
        );
    }

    /// Repeatedly steps the wall clock of one balancer.
    pub(super) async fn step_clock(&mut self) {
        let balancer = self.draw_balancer();
        let ends_at = self.ends_at();
        while Instant::now() < ends_at {
            let offset_ms = self.draw_clock_offset_ms();
            self.set_clock_offset(balancer, offset_ms).await;
            sleep(self.draw_duration(CLOCK_STEP_PAUSE_MS)).await;
        }
        self.set_clock_offset(balancer, 0).await;
    }

    /// Starts a balancer with a wrong wall clock, and later with the right one again.
    pub(super) async fn start_with_clock_offset(&mut self) {
        let balancer = self.draw_balancer();
        let offset_ms = self.draw_clock_offset_ms();
        self.restart_with_clock_offset(balancer, offset_ms).await;
        sleep(self.duration).await;
        self.restart_with_clock_offset(balancer, 0).await;
    }

    /// Kills a balancer and starts it with this offset of the wall clock. The offset does not change if another
    /// fault has exclusive use of the balancer at that time.
    async fn restart_with_clock_offset(&self, id: BalancerId, offset_ms: i64) {
        let killed_at = self.testbed.kill(id).await;
        if let Ok(balancer) = self.testbed.try_lock_balancer(id) {
            report_failure(
                id,
                format_args!("set the offset of the wall clock"),
                balancer.set_syscall_fault(SyscallFault::ClockOffset, offset_ms),
            );
        }
        self.testbed.start_after_kill(id, killed_at).await;
    }

    async fn set_clock_offset(&self, id: BalancerId, offset_ms: i64) {
        let balancer = self.testbed.lock_balancer(id).await;
        report_failure(
            id,
            format_args!("set the offset of the wall clock"),
            balancer.set_syscall_fault(SyscallFault::ClockOffset, offset_ms),
        );
    }

    fn draw_clock_offset_ms(&mut self) -> i64 {
        let index = self.random.random_range(0..MAX_CLOCK_OFFSETS_MS.len());
        let max_offset_ms = MAX_CLOCK_OFFSETS_MS[index];
        self.random.random_range(-max_offset_ms..=max_offset_ms)
    }
}

/// Converts a probability to the unit of the control file.
pub(super) fn in_millionths(probability: f64) -> i64 {
    (probability * PROBABILITY_ONE as f64) as i64
}

/// Reports that a fault or the offset of the wall clock of a balancer could not be set or cleared. The run goes on
/// without the change.
pub(super) fn report_failure(
    id: BalancerId,
    change: fmt::Arguments<'_>,
    result: Result<(), BalancerError>,
) {
    if let Err(error) = result {
        eprintln!("balancer {id}: cannot {change}: {error}");
    }
}
