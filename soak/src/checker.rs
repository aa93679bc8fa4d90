//! Checks the observations of a run against the rules, without regard to how a balancer makes its decisions.
mod attempts;
mod availability;
mod responses;
mod slow_start;

use crate::limits::Limits;
use crate::observations::{Observations, Request};
use crate::rules::{Rule, Violation};
use tokio::time::Instant;

/// Checks the observations of a run against the rules.
pub struct Checker<'a> {
    limits: &'a Limits,
    observations: &'a Observations,
}

impl<'a> Checker<'a> {
    /// Prepares the checks of a run with these limits.
    pub fn new(limits: &'a Limits, observations: &'a Observations) -> Checker<'a> {
        Checker {
            limits,
            observations,
        }
    }

    /// Returns all violations, ordered by time, including those that were recorded during the run.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = self.observations.violations().to_vec();
        for (id, request) in self.observations.requests() {
            violations.extend(self.check_request(id, request));
        }
        violations.extend(self.check_slow_starts());
        violations.sort_by_key(|violation| violation.at);
        violations
    }

    fn check_request(&self, id: &str, request: &Request) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(self.check_response(id, request));
        violations.extend(self.check_attempt_count(id, request));
        violations.extend(self.check_unavailable_upstreams(id, request));
        violations.extend(self.check_attempts_after_disconnect(id, request));
        violations.extend(self.check_forwarded_deadlines(id, request));
        violations.extend(self.check_concurrent_attempts(id, request));
        violations.extend(self.check_duplicate_executions(id, request));
        violations
    }

    fn violation(&self, rule: Rule, at: Instant, details: String) -> Violation {
        Violation {
            rule,
            at: self.observations.offset(at),
            details,
        }
    }

    /// Seconds from the start of the run to an instant.
    fn seconds(&self, at: Instant) -> f64 {
        self.observations.offset(at).as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
