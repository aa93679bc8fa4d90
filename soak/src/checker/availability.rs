//! Checks that balancers send nothing to upstreams that drain, were removed or are suspended.
use super::Checker;
use crate::limits::SCHEDULING_SLACK;
use crate::observations::{Attempt, Request, UnavailabilityCause, UnavailablePeriod, UpstreamUse};
use crate::rules::{Rule, Violation};

impl Checker<'_> {
    /// Checks that no attempt goes to an upstream that is unavailable, whatever the cause.
    pub(super) fn check_unavailable_upstreams(
        &self,
        id: &str,
        request: &Request,
    ) -> Vec<Violation> {
        let mut violations = Vec::new();
        for attempt in &request.attempts {
            for cause in UnavailabilityCause::ALL {
                violations.extend(self.check_unavailable_upstream(id, request, attempt, cause));
            }
        }
        violations
    }

    fn check_unavailable_upstream(
        &self,
        id: &str,
        request: &Request,
        attempt: &Attempt,
        cause: UnavailabilityCause,
    ) -> Option<Violation> {
        let upstream_use = UpstreamUse {
            balancer: request.properties.balancer,
            upstream: attempt.upstream,
            cause,
        };
        let period = self
            .observations
            .unavailable_periods(upstream_use)
            .iter()
            .find(|period| self.starts_after_grace_in(attempt, period))?;
        let details = format!(
            "{id}: balancer {} used upstream {} {:?} after the balancer was considered notified that the upstream is unavailable ({cause:?}: {:?} at {:.3} s)",
            upstream_use.balancer,
            upstream_use.upstream,
            attempt.started_at - period.start,
            period.source,
            self.seconds(period.start)
        );
        Some(self.violation(Rule::UnavailableUpstream, attempt.started_at, details))
    }

    /// Whether an attempt starts after the grace period at the start of an unavailable period, and before its end.
    fn starts_after_grace_in(&self, attempt: &Attempt, period: &UnavailablePeriod) -> bool {
        let grace = self.limits.drain_grace + SCHEDULING_SLACK;
        attempt.started_at > period.start + grace
            && period.end.is_none_or(|end| attempt.started_at < end)
    }
}
