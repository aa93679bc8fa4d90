//! What the stand-ins observed in a run: requests, their attempts, and the state of balancers and upstreams over time.
mod period;
mod request;
mod surplus;

pub use period::{NoticeSource, Period, UnavailabilityCause, UnavailablePeriod, UpstreamUse};
pub use request::{Attempt, AttemptOutcome, ClientOutcome, Request, RequestProperties};

use crate::ids::{BalancerId, UpstreamId};
use crate::rules::{Rule, Violation};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use surplus::SurplusResponses;
use tokio::time::Instant;

/// Number of requests by how they ended.
pub type OutcomeCounts = BTreeMap<String, usize>;

/// Everything observed in a run.
#[derive(Debug)]
pub struct Observations {
    started_at: Instant,
    requests: HashMap<String, Request>,
    unavailable: HashMap<UpstreamUse, Vec<UnavailablePeriod>>,
    downtime: HashMap<BalancerId, Vec<Period>>,
    descriptor_exhaustion: HashMap<BalancerId, Vec<Period>>,
    upstream_restarts: HashMap<UpstreamId, Vec<Instant>>,
    surplus: SurplusResponses,
    violations: Vec<Violation>,
}

impl Observations {
    /// Creates the empty record of a run that starts now.
    pub fn new() -> Observations {
        Observations {
            started_at: Instant::now(),
            requests: HashMap::new(),
            unavailable: HashMap::new(),
            downtime: HashMap::new(),
            descriptor_exhaustion: HashMap::new(),
            upstream_restarts: HashMap::new(),
            surplus: SurplusResponses::default(),
            violations: Vec::new(),
        }
    }

    /// Time from the start of the run to an instant; zero for an earlier one.
    pub fn offset(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started_at)
    }

    /// All requests, by id.
    pub fn requests(&self) -> impl Iterator<Item = (&str, &Request)> {
        self.requests
            .iter()
            .map(|(id, request)| (id.as_str(), request))
    }

    /// The periods in which a balancer may not use an upstream, for the cause that the use names.
    pub fn unavailable_periods(&self, upstream_use: UpstreamUse) -> &[UnavailablePeriod] {
        self.unavailable
            .get(&upstream_use)
            .map_or(&[], Vec::as_slice)
    }

    /// Whether a balancer was being killed or did not run at any time in this period.
    pub fn was_down(&self, balancer: BalancerId, period: Period) -> bool {
        overlaps_any(self.downtime.get(&balancer), period)
    }

    /// Whether idle connections used up a balancer's descriptors at any time in this period.
    pub fn had_exhausted_descriptors(&self, balancer: BalancerId, period: Period) -> bool {
        overlaps_any(self.descriptor_exhaustion.get(&balancer), period)
    }

    /// The times of the restarts of each upstream that has restarted.
    pub fn upstream_restarts(&self) -> impl Iterator<Item = (UpstreamId, &[Instant])> {
        self.upstream_restarts
            .iter()
            .map(|(&upstream, starts)| (upstream, starts.as_slice()))
    }

    /// The violations that were detected during the run, ordered by time.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Counts requests by how they ended. Requests without an outcome count as `open`.
    pub fn count_outcomes(&self) -> OutcomeCounts {
        let mut counts = OutcomeCounts::new();
        for request in self.requests.values() {
            let outcome = match request.outcome {
                Some((outcome, _)) => format!("{outcome:?}"),
                None => "open".to_string(),
            };
            *counts.entry(outcome).or_default() += 1;
        }
        counts
    }

    /// Records a violation that was detected during the run.
    pub fn record_violation(&mut self, rule: Rule, details: String) {
        let at = self.started_at.elapsed();
        self.violations.push(Violation { rule, at, details });
    }

    /// Records that a client is about to send a request.
    pub fn record_request(&mut self, id: &str, properties: RequestProperties) {
        let request = Request {
            properties,
            sent_at: Instant::now(),
            outcome: None,
            attempts: Vec::new(),
        };
        self.requests.insert(id.to_string(), request);
    }

    /// Records that a client has written the last byte of a request, or failed to write it.
    pub fn record_request_sent(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.sent_at = Instant::now();
        }
    }

    /// Records how a request ended at its client. Only its first outcome counts.
    pub fn record_outcome(&mut self, id: &str, outcome: ClientOutcome) {
        if let Some(request) = self.requests.get_mut(id) {
            request.outcome.get_or_insert((outcome, Instant::now()));
        }
    }

    /// Records that an attempt has started. Returns its number among the request's attempts, counted from zero; none if
    /// no client has sent the request.
    pub fn record_attempt(
        &mut self,
        request_id: &str,
        upstream: UpstreamId,
        started_at: Instant,
        forwarded_deadline: Option<Duration>,
    ) -> Option<usize> {
        let request = self.requests.get_mut(request_id)?;
        request.attempts.push(Attempt {
            upstream,
            started_at,
            received_at: None,
            forwarded_deadline,
            outcome: None,
        });
        Some(request.attempts.len() - 1)
    }

    /// Records that the last byte of an attempt has arrived.
    pub fn record_attempt_received(&mut self, request_id: &str, number: usize) {
        if let Some(attempt) = self.attempt_mut(request_id, number) {
            attempt.received_at = Some(Instant::now());
        }
    }

    /// Records how an attempt ended. Only its first outcome counts.
    pub fn record_attempt_outcome(
        &mut self,
        request_id: &str,
        number: usize,
        outcome: AttemptOutcome,
    ) {
        if let Some(attempt) = self.attempt_mut(request_id, number) {
            attempt.outcome.get_or_insert((outcome, Instant::now()));
        }
    }

    fn attempt_mut(&mut self, request_id: &str, number: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(request_id)?.attempts.get_mut(number)
    }

    /// Records that a process of a balancer starts.
    pub fn record_process_start(&mut self, balancer: BalancerId) {
        self.surplus.record_process_start(balancer);
    }

    /// Records that an upstream sends the response to a request again, `delay` after the first response.
    pub fn record_surplus_response(
        &mut self,
        request_id: &str,
        upstream: UpstreamId,
        delay: Duration,
    ) {
        self.surplus.record_sent(request_id, upstream, delay);
    }

    /// Records that a request got the response to the request `answered_request_id`. This is a violation unless it
    /// was a surplus response that the balancer could not have detected.
    pub fn record_wrong_response(
        &mut self,
        request_id: &str,
        answered_request_id: &str,
        details: String,
    ) {
        let balancer = self
            .requests
            .get(request_id)
            .map(|request| request.properties.balancer);
        let is_allowed = balancer
            .is_some_and(|balancer| self.surplus.record_passed_on(answered_request_id, balancer));
        if !is_allowed {
            self.record_violation(Rule::WrongResponse, details);
        }
    }

    /// Records that a balancer is considered notified, from `since` on, that it may use an upstream.
    pub fn record_available(&mut self, upstream_use: UpstreamUse, since: Instant) {
        for period in self.unavailable.entry(upstream_use).or_default() {
            period.end.get_or_insert(since);
        }
    }

    /// Records that a balancer is considered notified, from `since` on, that it may not use an upstream.
    pub fn record_unavailable(
        &mut self,
        upstream_use: UpstreamUse,
        since: Instant,
        source: NoticeSource,
    ) {
        let periods = self.unavailable.entry(upstream_use).or_default();
        match periods.iter_mut().find(|period| period.end.is_none()) {
            Some(period) if period.start <= since => {}
            Some(period) => {
                period.start = since;
                period.source = source;
            }
            None => periods.push(UnavailablePeriod {
                start: since,
                source,
                end: None,
            }),
        }
    }

    /// Records that a balancer was being killed or did not run from `since` until now.
    pub fn record_downtime(&mut self, balancer: BalancerId, since: Instant) {
        let periods = self.downtime.entry(balancer).or_default();
        periods.push(Period {
            start: since,
            end: Instant::now(),
        });
    }

    /// Records that idle connections used up a balancer's descriptors from `since` until now.
    pub fn record_descriptor_exhaustion(&mut self, balancer: BalancerId, since: Instant) {
        let periods = self.descriptor_exhaustion.entry(balancer).or_default();
        periods.push(Period {
            start: since,
            end: Instant::now(),
        });
    }

    /// Records that an upstream restarts now and needs a slow start.
    pub fn record_upstream_restart(&mut self, upstream: UpstreamId) {
        let starts = self.upstream_restarts.entry(upstream).or_default();
        starts.push(Instant::now());
    }
}

impl Default for Observations {
    fn default() -> Observations {
        Observations::new()
    }
}

fn overlaps_any(periods: Option<&Vec<Period>>, period: Period) -> bool {
    periods.is_some_and(|periods| periods.iter().any(|other| other.overlaps(&period)))
}
