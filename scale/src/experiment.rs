//! The format of experiment files. Unknown keys are errors.
//!
//! An experiment measures calls, control, or both. Where a key takes a list, each combination of the listed values is a
//! point, and each point is measured `repeats` times.
mod validation;

use crate::error::ScaleError;
use crate::toml_file::read_toml;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One experiment, as its file states it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the report's file, without `.json`.
    pub name: String,
    /// What the experiment is to show.
    pub purpose: String,
    /// Number of measurements of each point.
    pub repeats: u32,
    /// How long each measurement runs before its evaluated time begins, in seconds.
    pub warmup_seconds: f64,
    /// Length of the evaluated time of each measurement, in seconds.
    pub measure_seconds: f64,
    /// Seed of all random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Calls through real balancers.
    pub calls: Option<Calls>,
    /// Balancers that follow discovery and carry no calls.
    pub control: Option<Control>,
    /// Faults to inject. Not implemented: a non-empty list is rejected.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// A chain of services that call each other, each through its own balancer, and clients that call the first one.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Length of the chain of services. A list.
    pub depth: Vec<u32>,
    /// Calls per second from all clients. A list.
    pub calls_per_second: Vec<f64>,
    /// Percentage of calls that the last service fails. A list.
    pub leaf_failing_percent: Vec<f64>,
    /// Instances of each service.
    pub instances: u32,
    /// Calls that run at an instance at once.
    pub cores: u32,
    /// Calls that wait at an instance; one more is rejected.
    pub queue: u32,
    /// Mean time that a core is busy with a call, in milliseconds; the distribution is exponential.
    #[serde(rename = "answer_ms")]
    pub mean_service_time_ms: f64,
    /// Percentage of idempotent calls (GET); the others must not run twice (POST).
    pub get_percent: f64,
    /// Percentage of the clients' calls on a new connection; the others reuse an idle one.
    pub new_connection_percent: f64,
    /// Size of the bodies of POST calls, in bytes.
    pub body_bytes: u32,
    /// Minimum size of response bodies, in bytes.
    #[serde(rename = "answer_bytes")]
    pub response_bytes: u32,
    /// Maximum number of attempts that a balancer makes for one call.
    #[serde(rename = "attempts_cap")]
    pub max_attempts: u32,
    /// How long a client waits for its response, in milliseconds.
    pub deadline_ms: u32,
    /// Whether the same load is also sent directly to the first service, to separate the time that balancers add.
    #[serde(rename = "straight")]
    pub direct: bool,
    /// How balancers receive the endpoint list.
    #[serde(rename = "membership")]
    pub discovery_mode: DiscoveryMode,
}

/// Balancers that follow discovery and carry no calls.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Number of endpoints in discovery's list. A list.
    pub endpoints: Vec<u32>,
    /// Changes of endpoint states per minute, at a constant rate. A list.
    pub changes_per_minute: Vec<f64>,
    /// Balancers that are processes of the deployed program.
    #[serde(default)]
    pub real_balancers: u32,
    /// Balancers without sockets to clients and upstreams.
    #[serde(default)]
    pub hollow_balancers: u32,
    /// Processes that run the hollow balancers.
    #[serde(default)]
    pub hollow_processes: u32,
    /// Changes that discovery remembers; a watch from before them is answered with a snapshot.
    pub history: u32,
    /// How balancers receive the endpoint list.
    #[serde(rename = "membership")]
    pub discovery_mode: DiscoveryMode,
}

/// How balancers receive the endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Discovery pushes the list to an agent on the balancer's machine.
    Pushed,
    /// The balancer polls discovery itself.
    OnRequest,
}

/// A fault to inject during a measurement. Not implemented.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// All of a zone stops responding.
    ZoneLost {
        /// The zone.
        zone: u32,
        /// Time from the start of the measurement until the fault, in seconds.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        for_seconds: f64,
    },
    /// A region is cut off from all others.
    RegionCutOff {
        /// The region.
        region: u32,
        /// Time from the start of the measurement until the fault, in seconds.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        for_seconds: f64,
    },
    /// Many balancers are restarted at once.
    MassRestart {
        /// Percentage of all balancers.
        percent: f64,
        /// Time from the start of the measurement until the fault, in seconds.
        at_seconds: f64,
    },
}

/// The sizes of one measurement of calls.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct CallsSize {
    /// Length of the chain of services.
    pub depth: u32,
    /// Calls per second from all clients.
    pub calls_per_second: f64,
    /// Percentage of calls that the last service fails.
    pub leaf_failing_percent: f64,
}

/// The sizes of one measurement of control.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct ControlSize {
    /// Number of endpoints.
    pub endpoints: u32,
    /// Changes of endpoint states per minute.
    pub changes_per_minute: f64,
}

fn default_seed() -> u64 {
    1
}

impl Experiment {
    /// Reads and validates an experiment file.
    pub fn read(path: &Path) -> Result<Experiment, ScaleError> {
        let experiment: Experiment = read_toml(path)?;
        experiment.validate()?;
        Ok(experiment)
    }

    /// Time of all measurements together, in seconds, without starting and stopping processes.
    pub fn planned_seconds(&self) -> f64 {
        let loads = self.calls.as_ref().map_or(0, Calls::loads);
        let control_points = self
            .control
            .as_ref()
            .map_or(0, |control| control.sizes().count());
        let measurements = (loads + control_points) as f64 * f64::from(self.repeats);
        measurements * (self.warmup_seconds + self.measure_seconds)
    }
}

impl Calls {
    /// Every combination of sizes.
    pub fn sizes(&self) -> impl Iterator<Item = CallsSize> + '_ {
        self.depth.iter().flat_map(move |&depth| {
            self.leaf_failing_percent
                .iter()
                .flat_map(move |&leaf_failing_percent| {
                    self.calls_per_second
                        .iter()
                        .map(move |&calls_per_second| CallsSize {
                            depth,
                            calls_per_second,
                            leaf_failing_percent,
                        })
                })
        })
    }

    /// Loads in one repeat of all points: one through the balancers for each point, and a direct one for each point if
    /// `direct` is set.
    fn loads(&self) -> usize {
        let loads_per_point = if self.direct { 2 } else { 1 };
        self.sizes().count() * loads_per_point
    }

    /// Balancer processes for a chain of this depth: one before the first service, and one beside each instance that
    /// calls the next service.
    pub fn balancers(&self, depth: u32) -> u32 {
        1 + depth.saturating_sub(1) * self.instances
    }
}

impl Control {
    /// Real and hollow balancers together.
    pub fn balancers(&self) -> u32 {
        self.real_balancers + self.hollow_balancers
    }

    /// Every combination of sizes.
    pub fn sizes(&self) -> impl Iterator<Item = ControlSize> + '_ {
        self.endpoints.iter().flat_map(move |&endpoints| {
            self.changes_per_minute
                .iter()
                .map(move |&changes_per_minute| ControlSize {
                    endpoints,
                    changes_per_minute,
                })
        })
    }
}
