//! Formats the report of a run.
use crate::discovery_mode::DiscoveryMode;
use crate::plan::PlannedFault;
use crate::rules::{Rule, Violation};
use crate::run::RunResult;
use std::collections::BTreeMap;
use std::fmt;

/// The report of a run. It ends with a line break.
pub struct Report<'a> {
    /// The seed of the run.
    pub seed: u64,
    /// How balancers learned of the endpoint list.
    pub mode: DiscoveryMode,
    /// The result of the run.
    pub result: &'a RunResult,
    /// Maximum number of violations of one rule that are shown.
    pub max_shown: usize,
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.result.faults.iter().map(format_fault).collect();
        writeln!(
            formatter,
            "seed {}, {:?}: {}",
            self.seed,
            self.mode,
            faults.join(", ")
        )?;
        writeln!(formatter, "  requests: {:?}", self.result.outcomes)?;
        let counts = count_by_rule(&self.result.violations);
        writeln!(formatter, "  violations: {counts:?}")?;
        let mut shown: BTreeMap<Rule, usize> = BTreeMap::new();
        for violation in &self.result.violations {
            let count = shown.entry(violation.rule).or_default();
            *count += 1;
            if *count <= self.max_shown {
                writeln!(formatter, "    {violation}")?;
            }
        }
        Ok(())
    }
}

/// Formats a fault with its start and end, in seconds since the start of the run.
fn format_fault(planned: &PlannedFault) -> String {
    format!(
        "{} {:.1}-{:.1}",
        planned.fault,
        planned.start_offset.as_secs_f64(),
        (planned.start_offset + planned.duration).as_secs_f64()
    )
}

fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_default() += 1;
    }
    counts
}
