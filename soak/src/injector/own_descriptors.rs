//! Faults of the calls on a balancer's own descriptors while it starts, reloads and shuts down.
use super::failing_calls::EVENT_DESCRIPTOR_FAILURES;
use super::system_calls::report_failure;
use super::FaultInjector;
use fault_injection::control::{fail_first_calls, Fault as SyscallFault};
use rand::RngExt;
use std::ops::Range;
use tokio::time::sleep;

/// Faults of the calls by which a process creates and registers its own descriptors.
const CREATION_FAILURES: [SyscallFault; 8] = [
    SyscallFault::EpollCreation,
    SyscallFault::EpollAdd,
    SyscallFault::EventfdCreation,
    SyscallFault::TimerfdCreation,
    SyscallFault::SignalfdCreation,
    SyscallFault::PipeCreation,
    SyscallFault::SocketpairCreation,
    SyscallFault::Duplication,
];
/// How many of the first calls of each kind fail.
const FAILING_FIRST_CALLS: Range<u32> = 0..3;

impl FaultInjector {
    /// Makes calls on a balancer's event counter, timers and signal descriptors fail while it reloads and shuts down.
    pub(super) async fn fail_event_descriptors(&mut self) {
        let id = self.draw_balancer();
        self.start_failing_calls(id, &EVENT_DESCRIPTOR_FAILURES)
            .await;
        self.testbed.reload(id).await;
        sleep(self.duration).await;
        self.testbed.restart(id).await;
        self.end_failing_calls(id).await;
    }

    /// Kills a balancer and starts it while the first calls that create its own descriptors fail.
    pub(super) async fn fail_start(&mut self) {
        let id = self.draw_balancer();
        let killed_at = self.testbed.kill(id).await;
        {
            let balancer = self.testbed.lock_balancer(id).await;
            for fault in CREATION_FAILURES {
                let calls = self.random.random_range(FAILING_FIRST_CALLS);
                report_failure(
                    id,
                    format_args!("set the system call fault {fault:?}"),
                    balancer.set_syscall_fault(fault, fail_first_calls(calls) as i64),
                );
            }
        }
        self.testbed.start_after_kill(id, killed_at).await;
        self.end_failing_calls(id).await;
    }
}
