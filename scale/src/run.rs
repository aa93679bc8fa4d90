//! Measures all points of an experiment, one after the other, within the limits of a run.
mod calls;
mod control;

use crate::balancer::{Deployment, Workspace};
use crate::error::ScaleError;
use crate::experiment::Experiment;
use crate::machine::{self, Machine, Usage};
use crate::report::{Point, Report};
use procfs::process::all_processes;
use std::process::Command;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};

/// A run that takes longer than its measurements by this factor, and this much more, is broken off.
const OVERTIME_FACTOR: f64 = 2.0;
const OVERTIME: Duration = Duration::from_secs(120);
/// How often memory is looked at.
const MEMORY_PAUSE: Duration = Duration::from_millis(500);

/// What all measurements of a run share.
struct Context {
    experiment: Experiment,
    deployment: Deployment,
    workspace: Workspace,
}

impl Context {
    fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.warmup_seconds)
    }

    fn measure(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.measure_seconds)
    }

    /// A seed for one repeat, the same in every run.
    fn seed(&self, repeat: u32) -> u64 {
        self.experiment
            .seed
            .wrapping_mul(1000)
            .wrapping_add(u64::from(repeat))
    }
}

/// Runs an experiment. Whatever ends it, a signal or an error too, ends every process that it started.
pub async fn run(experiment: Experiment, deployment: Deployment) -> Result<Report, ScaleError> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let limit = Duration::from_secs_f64(experiment.planned_seconds() * OVERTIME_FACTOR) + OVERTIME;
    let context = Context {
        experiment,
        deployment,
        workspace: Workspace::create()?,
    };
    tokio::select! {
        report = measure(context) => report,
        error = exceeds_memory() => Err(error),
        () = tokio::time::sleep(limit) => Err(ScaleError::TooLong(limit.as_secs())),
        _ = interrupt.recv() => Err(ScaleError::Interrupted),
        _ = terminate.recv() => Err(ScaleError::Interrupted),
    }
}

async fn measure(context: Context) -> Result<Report, ScaleError> {
    let started = Instant::now();
    let mut report = Report {
        experiment: context.experiment.clone(),
        commit: commit(),
        machine: Machine::current()?,
        seconds: 0.0,
        calls: Vec::new(),
        growth: Vec::new(),
        control: Vec::new(),
    };
    if let Some(section) = &context.experiment.calls {
        for size in section.sizes() {
            let mut repeats = Vec::new();
            for repeat in 0..context.experiment.repeats {
                tracing::info!(?size, repeat, "measuring calls");
                repeats.push(calls::measure(&context, section, size, repeat).await?);
            }
            report.calls.push(Point::of_calls(size, repeats));
        }
    }
    if let Some(section) = &context.experiment.control {
        for size in section.sizes() {
            let mut repeats = Vec::new();
            for repeat in 0..context.experiment.repeats {
                tracing::info!(?size, repeat, "measuring control");
                repeats.push(control::measure(&context, section, size, repeat).await?);
            }
            report.control.push(Point::of_control(size, repeats));
        }
    }
    report.fit();
    report.seconds = started.elapsed().as_secs_f64();
    Ok(report)
}

/// Returns once this process and those that it started use more memory than a run may.
async fn exceeds_memory() -> ScaleError {
    let allowed_mb = match machine::allowed_memory_mb() {
        Ok(allowed_mb) => allowed_mb,
        Err(error) => return error,
    };
    loop {
        tokio::time::sleep(MEMORY_PAUSE).await;
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
    let own = std::process::id();
    let Ok(processes) = all_processes() else {
        return 0.0;
    };
    let ours = processes.flatten().filter(|process| {
        process.pid() as u32 == own || process.stat().is_ok_and(|stat| stat.ppid as u32 == own)
    });
    // A process that has just ended uses nothing.
    ours.filter_map(|process| Usage::of(process.pid() as u32).ok())
        .map(|usage| usage.resident_mb)
        .sum()
}

/// The commit that is checked out, as git names it.
fn commit() -> Option<String> {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty", "--abbrev=12"])
        .output()
        .ok()?;
    let name = String::from_utf8(output.stdout).ok()?;
    Some(name.trim().to_string()).filter(|name| output.status.success() && !name.is_empty())
}
