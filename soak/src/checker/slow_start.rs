//! Checks that upstreams in slow start get no more requests than they can serve.
use super::Checker;
use crate::ids::UpstreamId;
use crate::limits::SlowStartLimits;
use crate::rules::{Rule, Violation};
use std::collections::HashMap;
use tokio::time::Instant;

/// More requests within one overload window than slow start allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overload {
    /// When the last of these requests started.
    pub(super) at: Instant,
    /// Requests in the window.
    pub(super) requests: usize,
    /// Requests that the window allows.
    pub(super) allowed: f64,
}

impl Checker<'_> {
    /// Checks the slow start after each start of an upstream.
    pub(super) fn check_slow_starts(&self) -> Vec<Violation> {
        let attempt_times = self.attempt_times_by_upstream();
        let mut violations = Vec::new();
        for (upstream, starts) in self.observations.upstream_restarts() {
            let Some(times) = attempt_times.get(&upstream) else {
                continue;
            };
            for &start in starts {
                let Some(overload) = find_overload(times, start, &self.limits.slow_start) else {
                    continue;
                };
                let details = format!(
                    "upstream {upstream}: {} requests within an overload window that allows {:.1} in slow start",
                    overload.requests, overload.allowed
                );
                violations.push(self.violation(Rule::SlowStartExceeded, overload.at, details));
            }
        }
        violations
    }

    /// The start times of all completely received attempts at each upstream, sorted.
    fn attempt_times_by_upstream(&self) -> HashMap<UpstreamId, Vec<Instant>> {
        let mut times: HashMap<UpstreamId, Vec<Instant>> = HashMap::new();
        for (_, request) in self.observations.requests() {
            for attempt in &request.attempts {
                if attempt.received_at.is_some() {
                    times
                        .entry(attempt.upstream)
                        .or_default()
                        .push(attempt.started_at);
                }
            }
        }
        for times in times.values_mut() {
            times.sort_unstable();
        }
        times
    }
}

/// Finds the first window in which an upstream that started at `start` got too many requests. `times` is sorted.
pub(super) fn find_overload(
    times: &[Instant],
    start: Instant,
    limits: &SlowStartLimits,
) -> Option<Overload> {
    let mut first_in_window = 0;
    for (index, &at) in times.iter().enumerate() {
        let Some(age) = at.checked_duration_since(start) else {
            continue;
        };
        if age > limits.duration {
            return None;
        }
        while times[first_in_window] + limits.overload_window < at || times[first_in_window] < start
        {
            first_in_window += 1;
        }
        let requests = index + 1 - first_in_window;
        let allowed = limits.allowed_requests(age);
        if requests as f64 > allowed {
            return Some(Overload {
                at,
                requests,
                allowed,
            });
        }
    }
    None
}
