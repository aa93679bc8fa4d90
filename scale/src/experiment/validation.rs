//! Validation of experiments. Nothing is started for an invalid one.
use super::{Calls, Control, Experiment};
use crate::error::ScaleError;
use crate::machine;

/// Longest planned run, as computed from the times in the file.
const MAX_RUN_SECONDS: f64 = 1200.0;
const MAX_REPEATS: u32 = 100;
/// Maximum number of balancer processes at a time.
const MAX_PROCESSES: u32 = 200;
/// Estimated memory of a balancer process, without its endpoints, in MiB.
const PROCESS_MB: f64 = 16.0;
/// Estimated memory of a balancer for each endpoint in its list, in MiB.
const ENDPOINT_MB: f64 = 0.001;
/// Estimated memory of a hollow balancer, without its endpoints, in MiB.
const HOLLOW_BALANCER_MB: f64 = 0.2;
const MAX_HOLLOW_BALANCERS: u32 = 10_000;
const MAX_DEPTH: u32 = 25;
const MAX_INSTANCES: u32 = 100;
const MAX_ENDPOINTS: u32 = 10_000;
const MAX_CALLS_PER_SECOND: f64 = 20_000.0;
const MAX_CHANGES_PER_MINUTE: f64 = 60_000.0;
/// Every balancer can buffer bodies of this size completely.
const MAX_BODY_BYTES: u32 = 64 << 10;
const MAX_DEADLINE_MS: u32 = 60_000;
const MAX_ATTEMPTS: u32 = 100;
const MAX_CORES_OR_QUEUE: u32 = 10_000;
const MAX_MEAN_SERVICE_TIME_MS: f64 = 10_000.0;
const MAX_HISTORY: f64 = 1e6;
const MIN_MEASURE_SECONDS: f64 = 0.5;

impl Experiment {
    pub(super) fn validate(&self) -> Result<(), ScaleError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let has_valid_name = !self.name.is_empty() && self.name.chars().all(is_allowed);
        require(
            has_valid_name,
            "name",
            "must consist of ASCII letters, digits, - and _",
        )?;
        AllowedRange::new(1, MAX_REPEATS).check("repeats", self.repeats)?;
        AllowedRange::new(0.0, MAX_RUN_SECONDS).check("warmup_seconds", self.warmup_seconds)?;
        AllowedRange::new(MIN_MEASURE_SECONDS, MAX_RUN_SECONDS)
            .check("measure_seconds", self.measure_seconds)?;
        require(
            self.faults.is_empty(),
            "faults",
            "fault injection is not implemented",
        )?;
        require(
            self.calls.is_some() || self.control.is_some(),
            "calls",
            "an experiment needs a section [calls] or [control]",
        )?;
        if let Some(calls) = &self.calls {
            calls.validate()?;
        }
        if let Some(control) = &self.control {
            control.validate()?;
        }
        self.validate_duration()
    }

    fn validate_duration(&self) -> Result<(), ScaleError> {
        if (0.0..=MAX_RUN_SECONDS).contains(&self.planned_seconds()) {
            return Ok(());
        }
        let requirement = format!("all measurements together may take at most {MAX_RUN_SECONDS} s");
        Err(invalid("measure_seconds", requirement))
    }
}

impl Calls {
    fn validate(&self) -> Result<(), ScaleError> {
        AllowedRange::new(1, MAX_DEPTH).check_all("calls.depth", &self.depth)?;
        AllowedRange::new(1.0, MAX_CALLS_PER_SECOND)
            .check_all("calls.calls_per_second", &self.calls_per_second)?;
        PERCENT.check_all("calls.leaf_failing_percent", &self.leaf_failing_percent)?;
        self.validate_instances()?;
        PERCENT.check("calls.get_percent", self.get_percent)?;
        PERCENT.check("calls.new_connection_percent", self.new_connection_percent)?;
        let body = AllowedRange::new(0, MAX_BODY_BYTES);
        body.check("calls.body_bytes", self.body_bytes)?;
        body.check("calls.answer_bytes", self.response_bytes)?;
        AllowedRange::new(1, MAX_ATTEMPTS).check("calls.attempts_cap", self.max_attempts)?;
        AllowedRange::new(1, MAX_DEADLINE_MS).check("calls.deadline_ms", self.deadline_ms)?;
        let max_depth = self.depth.iter().copied().max().unwrap_or(1);
        require_processes_fit("calls.instances", self.balancers(max_depth), self.instances)
    }

    fn validate_instances(&self) -> Result<(), ScaleError> {
        AllowedRange::new(1, MAX_INSTANCES).check("calls.instances", self.instances)?;
        AllowedRange::new(1, MAX_CORES_OR_QUEUE).check("calls.cores", self.cores)?;
        AllowedRange::new(0, MAX_CORES_OR_QUEUE).check("calls.queue", self.queue)?;
        AllowedRange::new(0.0, MAX_MEAN_SERVICE_TIME_MS)
            .check("calls.answer_ms", self.mean_service_time_ms)
    }
}

impl Control {
    fn validate(&self) -> Result<(), ScaleError> {
        AllowedRange::new(1, MAX_ENDPOINTS).check_all("control.endpoints", &self.endpoints)?;
        AllowedRange::new(0.0, MAX_CHANGES_PER_MINUTE)
            .check_all("control.changes_per_minute", &self.changes_per_minute)?;
        AllowedRange::new(1.0, MAX_HISTORY).check("control.history", self.history)?;
        self.validate_balancers()?;
        self.validate_memory()
    }

    fn validate_balancers(&self) -> Result<(), ScaleError> {
        AllowedRange::new(0, MAX_PROCESSES).check("control.real_balancers", self.real_balancers)?;
        AllowedRange::new(0, MAX_HOLLOW_BALANCERS)
            .check("control.hollow_balancers", self.hollow_balancers)?;
        require(
            self.balancers() > 0,
            "control.real_balancers",
            "at least one real or hollow balancer is needed",
        )?;
        let min_processes = u32::from(self.hollow_balancers > 0);
        AllowedRange::new(min_processes, self.hollow_balancers)
            .check("control.hollow_processes", self.hollow_processes)
    }

    fn validate_memory(&self) -> Result<(), ScaleError> {
        let endpoints = self.endpoints.iter().copied().max().unwrap_or(0);
        require_processes_fit(
            "control.real_balancers",
            self.real_balancers + self.hollow_processes,
            endpoints,
        )?;
        let hollow_mb = HOLLOW_BALANCER_MB + ENDPOINT_MB * f64::from(endpoints);
        let needed_mb = f64::from(self.hollow_balancers) * hollow_mb;
        require_memory_fits("control.hollow_balancers", needed_mb)
    }
}

/// The values that a key may have, with both ends.
struct AllowedRange {
    min: f64,
    max: f64,
}

const PERCENT: AllowedRange = AllowedRange {
    min: 0.0,
    max: 100.0,
};

impl AllowedRange {
    fn new(min: impl Into<f64>, max: impl Into<f64>) -> AllowedRange {
        AllowedRange {
            min: min.into(),
            max: max.into(),
        }
    }

    fn check(&self, key: &'static str, value: impl Into<f64>) -> Result<(), ScaleError> {
        let value = value.into();
        if (self.min..=self.max).contains(&value) {
            return Ok(());
        }
        let requirement = format!("is {value} and must be from {} to {}", self.min, self.max);
        Err(invalid(key, requirement))
    }

    /// Checks each value of a list that must not be empty.
    fn check_all<T: Copy + Into<f64>>(
        &self,
        key: &'static str,
        values: &[T],
    ) -> Result<(), ScaleError> {
        require(!values.is_empty(), key, "must list at least one value")?;
        for &value in values {
            self.check(key, value)?;
        }
        Ok(())
    }
}

/// Checks that this number of processes, each with this number of endpoints, stays within a run's limits.
fn require_processes_fit(
    key: &'static str,
    processes: u32,
    endpoints: u32,
) -> Result<(), ScaleError> {
    if processes > MAX_PROCESSES {
        let requirement = format!("needs {processes} processes; at most {MAX_PROCESSES} may run");
        return Err(invalid(key, requirement));
    }
    let process_mb = PROCESS_MB + ENDPOINT_MB * f64::from(endpoints);
    require_memory_fits(key, f64::from(processes) * process_mb)
}

fn require_memory_fits(key: &'static str, needed_mb: f64) -> Result<(), ScaleError> {
    let allowed_mb = machine::allowed_memory_mb()?;
    if needed_mb <= allowed_mb {
        return Ok(());
    }
    let requirement = format!(
        "needs an estimated {needed_mb:.0} MiB; the limit is {allowed_mb:.0} MiB, half of the machine's memory"
    );
    Err(invalid(key, requirement))
}

fn require(holds: bool, key: &'static str, requirement: &str) -> Result<(), ScaleError> {
    if holds {
        return Ok(());
    }
    Err(invalid(key, requirement.to_string()))
}

fn invalid(key: &'static str, requirement: String) -> ScaleError {
    ScaleError::InvalidValue { key, requirement }
}
