//! Checks that an experiment can be run at all: nothing is started for one that cannot.
use super::{Calls, Control, Experiment};
use crate::error::ScaleError;
use crate::machine;

/// Longest run, by the times that the file states.
const MAX_RUN_SECONDS: f64 = 1200.0;
const MAX_REPEATS: u32 = 100;
/// Most processes of balancers at a time.
const MAX_PROCESSES: u32 = 200;
/// Memory that a balancer's process is reckoned with, and further for each endpoint it knows.
const PROCESS_MB: f64 = 16.0;
const ENDPOINT_MB: f64 = 0.001;
/// And a balancer that shares its process with others.
const HOLLOW_MB: f64 = 0.2;
const MAX_HOLLOW: u32 = 10_000;
const MAX_DEPTH: u32 = 25;
const MAX_INSTANCES: u32 = 100;
const MAX_ENDPOINTS: u32 = 10_000;
const MAX_CALLS_PER_SECOND: f64 = 20_000.0;
const MAX_CHANGES_PER_MINUTE: f64 = 60_000.0;
/// Bodies are small enough for every balancer to hold them whole.
const MAX_BODY_BYTES: u32 = 64 << 10;
const MAX_DEADLINE_MS: u32 = 60_000;
const MAX_ATTEMPTS: u32 = 100;
const MAX_SERVICE_SIZE: u32 = 10_000;

impl Experiment {
    pub(super) fn validate(&self) -> Result<(), ScaleError> {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let named = !self.name.is_empty() && self.name.chars().all(plain);
        require(named, "name", "must be letters, digits, - and _")?;
        within(
            "repeats",
            f64::from(self.repeats),
            1.0,
            f64::from(MAX_REPEATS),
        )?;
        within("warmup_seconds", self.warmup_seconds, 0.0, MAX_RUN_SECONDS)?;
        within(
            "measure_seconds",
            self.measure_seconds,
            0.5,
            MAX_RUN_SECONDS,
        )?;
        require(
            self.faults.is_empty(),
            "faults",
            "zones lost, cuts and mass restarts are not implemented yet",
        )?;
        let measured = self.calls.is_some() || self.control.is_some();
        require(
            measured,
            "calls",
            "an experiment needs a section [calls] or [control]",
        )?;
        if let Some(calls) = &self.calls {
            calls.validate()?;
        }
        if let Some(control) = &self.control {
            control.validate()?;
        }
        within(
            "measure_seconds",
            self.planned_seconds(),
            0.0,
            MAX_RUN_SECONDS,
        )
        .map_err(|_| {
            impossible(
                "measure_seconds",
                format!("all points together may take {MAX_RUN_SECONDS} s at most"),
            )
        })
    }
}

impl Calls {
    fn validate(&self) -> Result<(), ScaleError> {
        all_within(
            "calls.depth",
            self.depth.iter().copied().map(f64::from),
            1.0,
            f64::from(MAX_DEPTH),
        )?;
        let rates = self.calls_per_second.iter().copied();
        all_within("calls.calls_per_second", rates, 1.0, MAX_CALLS_PER_SECOND)?;
        all_within(
            "calls.leaf_failing_percent",
            self.leaf_failing_percent.iter().copied(),
            0.0,
            100.0,
        )?;
        within(
            "calls.instances",
            f64::from(self.instances),
            1.0,
            f64::from(MAX_INSTANCES),
        )?;
        within(
            "calls.cores",
            f64::from(self.cores),
            1.0,
            f64::from(MAX_SERVICE_SIZE),
        )?;
        within(
            "calls.queue",
            f64::from(self.queue),
            0.0,
            f64::from(MAX_SERVICE_SIZE),
        )?;
        within("calls.answer_ms", self.answer_ms, 0.0, 10_000.0)?;
        within("calls.get_percent", self.get_percent, 0.0, 100.0)?;
        within(
            "calls.new_connection_percent",
            self.new_connection_percent,
            0.0,
            100.0,
        )?;
        within(
            "calls.body_bytes",
            f64::from(self.body_bytes),
            0.0,
            f64::from(MAX_BODY_BYTES),
        )?;
        within(
            "calls.answer_bytes",
            f64::from(self.answer_bytes),
            0.0,
            f64::from(MAX_BODY_BYTES),
        )?;
        within(
            "calls.attempts_cap",
            f64::from(self.attempts_cap),
            1.0,
            f64::from(MAX_ATTEMPTS),
        )?;
        within(
            "calls.deadline_ms",
            f64::from(self.deadline_ms),
            1.0,
            f64::from(MAX_DEADLINE_MS),
        )?;
        let depth = self.depth.iter().copied().max().unwrap_or(1);
        processes_fit("calls.instances", self.balancers(depth), self.instances)
    }
}

impl Control {
    fn validate(&self) -> Result<(), ScaleError> {
        let endpoints = self.endpoints.iter().copied().map(f64::from);
        all_within(
            "control.endpoints",
            endpoints,
            1.0,
            f64::from(MAX_ENDPOINTS),
        )?;
        let rates = self.changes_per_minute.iter().copied();
        all_within(
            "control.changes_per_minute",
            rates,
            0.0,
            MAX_CHANGES_PER_MINUTE,
        )?;
        within("control.history", f64::from(self.history), 1.0, 1e6)?;
        within(
            "control.real_balancers",
            f64::from(self.real_balancers),
            0.0,
            f64::from(MAX_PROCESSES),
        )?;
        within(
            "control.hollow_balancers",
            f64::from(self.hollow_balancers),
            0.0,
            f64::from(MAX_HOLLOW),
        )?;
        require(
            self.balancers() > 0,
            "control.real_balancers",
            "at least one balancer is needed",
        )?;
        let processes = f64::from(self.hollow_processes);
        let least = if self.hollow_balancers > 0 { 1.0 } else { 0.0 };
        within(
            "control.hollow_processes",
            processes,
            least,
            f64::from(self.hollow_balancers),
        )?;
        let endpoints = self.endpoints.iter().copied().max().unwrap_or(0);
        processes_fit(
            "control.real_balancers",
            self.real_balancers + self.hollow_processes,
            endpoints,
        )?;
        let needed_mb =
            f64::from(self.hollow_balancers) * (HOLLOW_MB + ENDPOINT_MB * f64::from(endpoints));
        memory_fits("control.hollow_balancers", needed_mb)
    }
}

/// Whether so many processes that know so many endpoints each stay within a run's limits.
fn processes_fit(key: &'static str, processes: u32, endpoints: u32) -> Result<(), ScaleError> {
    let must = || format!("needs {processes} processes and {MAX_PROCESSES} may run");
    if processes > MAX_PROCESSES {
        return Err(impossible(key, must()));
    }
    memory_fits(
        key,
        f64::from(processes) * (PROCESS_MB + ENDPOINT_MB * f64::from(endpoints)),
    )
}

fn memory_fits(key: &'static str, needed_mb: f64) -> Result<(), ScaleError> {
    let allowed_mb = machine::allowed_memory_mb()?;
    if needed_mb > allowed_mb {
        let must = format!(
            "needs {needed_mb:.0} MB and {allowed_mb:.0} MB, half of the memory, may be used"
        );
        return Err(impossible(key, must));
    }
    Ok(())
}

fn all_within(
    key: &'static str,
    values: impl ExactSizeIterator<Item = f64>,
    least: f64,
    most: f64,
) -> Result<(), ScaleError> {
    require(values.len() > 0, key, "must list at least one value")?;
    for value in values {
        within(key, value, least, most)?;
    }
    Ok(())
}

fn within(key: &'static str, value: f64, least: f64, most: f64) -> Result<(), ScaleError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(impossible(
        key,
        format!("is {value} and must be from {least} to {most}"),
    ))
}

fn require(holds: bool, key: &'static str, must: &str) -> Result<(), ScaleError> {
    if holds {
        return Ok(());
    }
    Err(impossible(key, must.to_string()))
}

fn impossible(key: &'static str, must: String) -> ScaleError {
    ScaleError::Impossible { key, must }
}
