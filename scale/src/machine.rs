//! Resource usage of processes, and the resources of the machine.
use crate::error::ScaleError;
use procfs::process::Process;
use procfs::{Current, Meminfo};
use serde::Serialize;
use std::time::Duration;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const KB_PER_MB: f64 = 1024.0;
/// Fraction of the machine's memory that a run may use.
const MEMORY_FRACTION: f64 = 0.5;

/// The machine of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Machine {
    /// Number of processors.
    pub processors: usize,
    /// Total memory, in MiB.
    pub memory_mb: f64,
}

impl Machine {
    /// This machine.
    pub fn current() -> Result<Machine, ScaleError> {
        let processors = std::thread::available_parallelism()?.get();
        Ok(Machine {
            processors,
            memory_mb: total_memory_mb()?,
        })
    }
}

/// What one process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all threads.
    pub processor: Duration,
    /// Resident memory now, in MiB.
    pub resident_mb: f64,
}

impl Usage {
    /// Reads the usage of a running process.
    pub fn of(pid: u32) -> Result<Usage, ScaleError> {
        let failed = |source| ScaleError::UsageUnreadable { pid, source };
        let process = Process::new(pid as i32).map_err(failed)?;
        let mut processor = Duration::ZERO;
        for task in process.tasks().map_err(failed)? {
            // A thread that has just ended is skipped.
            if let Ok(schedule) = task.and_then(|task| task.schedstat()) {
                processor += Duration::from_nanos(schedule.sum_exec_runtime);
            }
        }
        let resident_kb = process.status().map_err(failed)?.vmrss.unwrap_or(0);
        Ok(Usage {
            processor,
            resident_mb: resident_kb as f64 / KB_PER_MB,
        })
    }
}

/// Memory that all processes of a run together may use, in MiB.
pub fn allowed_memory_mb() -> Result<f64, ScaleError> {
    Ok(total_memory_mb()? * MEMORY_FRACTION)
}

fn total_memory_mb() -> Result<f64, ScaleError> {
    let meminfo = Meminfo::current().map_err(ScaleError::MemoryUnreadable)?;
    Ok(meminfo.mem_total as f64 / BYTES_PER_MB)
}
