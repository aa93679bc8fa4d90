//! The memory that a run may use.
use crate::error::ScaleError;
use crate::machine::{self, Usage};
use procfs::process::all_processes;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns once this process and its children use more memory than a run may use.
pub(super) async fn wait_until_exceeded() -> ScaleError {
    let allowed_mb = match machine::allowed_memory_mb() {
        Ok(allowed_mb) => allowed_mb,
        Err(error) => return error,
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let used_mb = used_memory_mb();
        if used_mb > allowed_mb {
            return ScaleError::TooMuchMemory {
                used_mb,
                allowed_mb,
            };
        }
    }
}

fn used_memory_mb() -> f64 {
    let own_pid = std::process::id();
    let Ok(processes) = all_processes() else {
        return 0.0;
    };
    let own_and_children = processes.flatten().filter(|process| {
        process.pid() as u32 == own_pid
            || process.stat().is_ok_and(|stat| stat.ppid as u32 == own_pid)
    });
    // A process that has just ended uses nothing.
    own_and_children
        .filter_map(|process| Usage::of(process.pid() as u32).ok())
        .map(|usage| usage.resident_mb)
        .sum()
}
