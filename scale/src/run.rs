//! Measures all points of an experiment, one after the other, within the limits of a run.
mod calls;
mod chain;
mod context;
mod control;
mod control_balancers;
mod load_summary;
mod memory_limit;

use crate::balancer::Deployment;
use crate::error::ScaleError;
use crate::experiment::{Calls, Control, Experiment};
use crate::machine::Machine;
use crate::report::{Point, Report};
use context::Context;
use std::process::Command;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};

/// A run may take this many times the planned time of its measurements, plus [`TIME_LIMIT_ALLOWANCE`].
const TIME_LIMIT_FACTOR: f64 = 2.0;
const TIME_LIMIT_ALLOWANCE: Duration = Duration::from_secs(120);

/// Runs an experiment. When it returns, and also after a signal or an error, every process that it started has ended.
pub async fn run(experiment: Experiment, deployment: Deployment) -> Result<Report, ScaleError> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let limit = Duration::from_secs_f64(experiment.planned_seconds() * TIME_LIMIT_FACTOR)
        + TIME_LIMIT_ALLOWANCE;
    let context = Context::new(experiment, deployment)?;
    tokio::select! {
        report = measure(context) => report,
        error = memory_limit::wait_until_exceeded() => Err(error),
        () = tokio::time::sleep(limit) => Err(ScaleError::TimeLimit(limit.as_secs())),
        _ = interrupt.recv() => Err(ScaleError::Interrupted),
        _ = terminate.recv() => Err(ScaleError::Interrupted),
    }
}

async fn measure(context: Context) -> Result<Report, ScaleError> {
    let started_at = Instant::now();
    let mut report = Report {
        experiment: context.experiment().clone(),
        commit: checked_out_commit(),
        machine: Machine::current()?,
        seconds: 0.0,
        calls: Vec::new(),
        growth: Vec::new(),
        control: Vec::new(),
    };
    if let Some(section) = &context.experiment().calls {
        measure_calls(&context, section, &mut report).await?;
    }
    if let Some(section) = &context.experiment().control {
        measure_control(&context, section, &mut report).await?;
    }
    report.fit_growth();
    report.seconds = started_at.elapsed().as_secs_f64();
    Ok(report)
}

async fn measure_calls(
    context: &Context,
    section: &Calls,
    report: &mut Report,
) -> Result<(), ScaleError> {
    for size in section.sizes() {
        let mut repeats = Vec::new();
        for repeat in 0..context.experiment().repeats {
            tracing::info!(?size, repeat, "measuring calls");
            repeats.push(calls::measure(context, section, size, repeat).await?);
        }
        report.calls.push(Point::of_calls(size, repeats));
    }
    Ok(())
}

async fn measure_control(
    context: &Context,
    section: &Control,
    report: &mut Report,
) -> Result<(), ScaleError> {
    for size in section.sizes() {
        let mut repeats = Vec::new();
        for repeat in 0..context.experiment().repeats {
            tracing::info!(?size, repeat, "measuring control");
            repeats.push(control::measure(context, section, size, repeat).await?);
        }
        report.control.push(Point::of_control(size, repeats));
    }
    Ok(())
}

/// The name of the checked-out commit, from git.
fn checked_out_commit() -> Option<String> {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty", "--abbrev=12"])
        .output()
        .ok()?;
    if !output.status.success() {
        return None;
    }
    let name = String::from_utf8(output.stdout).ok()?;
    let name = name.trim();
    (!name.is_empty()).then(|| name.to_string())
}
