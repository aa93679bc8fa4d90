//! The results of a run: JSON with every repeat, and a table with the spread of each metric.
//!
//! The names of the fields in the JSON stay, so that reports of different versions can be compared.
mod growth;
mod measurement;
mod metrics;
mod point;
mod table;

use crate::experiment::{CallsSize, ControlSize, Experiment};
use crate::machine::Machine;
pub use growth::Growth;
pub use measurement::{
    BalancerUsage, CallsMeasurement, ControlMeasurement, GroupTimes, LoadMeasurement, Outcomes,
};
pub use point::Point;
use serde::Serialize;

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment as it was run.
    pub experiment: Experiment,
    /// The commit of the repository, with `-dirty` where files differ from it; none outside of a repository.
    pub commit: Option<String>,
    /// Where it ran.
    pub machine: Machine,
    /// Wall-clock time of the whole run, in seconds.
    pub seconds: f64,
    /// Measurements of calls.
    pub calls: Vec<Point<CallsSize, CallsMeasurement>>,
    /// How attempts grow with depth, where enough depths were measured.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub growth: Vec<Growth>,
    /// Measurements of control.
    pub control: Vec<Point<ControlSize, ControlMeasurement>>,
}

impl Report {
    /// Fits the growth of attempts to the measurements of calls.
    pub fn fit_growth(&mut self) {
        self.growth = growth::fit_all(&self.calls);
    }

    /// A table of all points with the spread of their metrics.
    pub fn table(&self) -> String {
        table::render(&self.calls, &self.growth, &self.control)
    }
}
