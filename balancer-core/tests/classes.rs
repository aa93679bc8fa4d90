//! Classes with different latencies in one tier.
mod common;

use balancer_core::{AttemptOutcome, Class, Idempotency, RequestId, Settings};
use common::{class, endpoints, tenants, RequestRecord, TestHarness};
use std::collections::BTreeMap;

const LIGHT: usize = 0;
const HEAVY: usize = 1;

/// A tier in which a light class with a short objective shares endpoints with a heavy one. Both are idempotent.
fn harness_with_two_classes(quota_per_second: f64) -> TestHarness {
    let class = |objective, deadline| Class {
        objective,
        deadline,
        ..class(Idempotency::Idempotent)
    };
    let settings = Settings {
        classes: vec![class(300.0, 900.0), class(5000.0, 10_000.0)],
        tenants: tenants(&[1.0], quota_per_second),
        max_attempts: 4,
        cancel: true,
        ..Settings::default()
    };
    TestHarness::new(settings, 4, endpoints(12))
}

/// The number of requests of one class, and how many of them succeeded.
#[derive(Debug)]
struct ClassSummary {
    requests: usize,
    succeeded: usize,
}

struct ScheduledResponse {
    at: f64,
    request: u32,
    attempt: usize,
}

/// Schedules responses to attempts as they are sent.
struct ResponseSchedule<F> {
    /// Latency in milliseconds, by the class and by the attempt's number, counted over all requests; `None`: no
    /// response.
    latency: F,
    scheduled: Vec<ScheduledResponse>,
    attempts_by_request: BTreeMap<RequestId, usize>,
    attempts: usize,
}

impl<F: Fn(usize, usize) -> Option<f64>> ResponseSchedule<F> {
    /// Schedules responses to the attempts sent since the last call.
    fn add_new_attempts(&mut self, harness: &TestHarness) {
        for (&id, record) in &harness.requests {
            let known = self.attempts_by_request.entry(id).or_insert(0);
            let new_attempts = *known..record.attempts.len();
            *known = record.attempts.len();
            for attempt in new_attempts {
                self.attempts += 1;
                if let Some(latency) = (self.latency)(record.class, self.attempts) {
                    self.scheduled.push(ScheduledResponse {
                        at: record.attempts[attempt].sent_at + latency,
                        request: id.0,
                        attempt,
                    });
                }
            }
        }
    }

    /// Removes and returns the first response, if it is due by `until`.
    fn pop_due(&mut self, until: f64) -> Option<ScheduledResponse> {
        let first = (0..self.scheduled.len())
            .min_by(|&a, &b| self.scheduled[a].at.total_cmp(&self.scheduled[b].at))?;
        (self.scheduled[first].at <= until).then(|| self.scheduled.swap_remove(first))
    }
}

/// Sends `requests_per_s` requests per second for `duration`, one in fifteen of them heavy. Returns what happened to
/// the light and the heavy ones; requests of the last three seconds do not count, because they need time to succeed.
fn run_mixed_traffic(
    harness: &mut TestHarness,
    duration: f64,
    requests_per_s: f64,
    latency: impl Fn(usize, usize) -> Option<f64>,
) -> [ClassSummary; 2] {
    let mut schedule = ResponseSchedule {
        latency,
        scheduled: Vec::new(),
        attempts_by_request: BTreeMap::new(),
        attempts: 0,
    };
    let until = harness.now + duration;
    let first_id = harness.next_request_id();
    let mut next = harness.now;
    while harness.now < until {
        let id = harness.next_request_id();
        let class = if id.is_multiple_of(15) { HEAVY } else { LIGHT };
        harness.send_request(id, class, 0);
        next += 1000.0 / requests_per_s;
        schedule.add_new_attempts(harness);
        while let Some(response) = schedule.pop_due(next) {
            harness.advance((response.at - harness.now).max(0.0));
            let record = harness.request(response.request);
            if record.attempts[response.attempt].outcome.is_none() {
                harness.end_attempt(response.request, response.attempt, AttemptOutcome::Success);
            }
            schedule.add_new_attempts(harness);
        }
        harness.advance((next - harness.now).max(0.0));
    }
    [LIGHT, HEAVY].map(|class| class_summary(harness, class, first_id, until - 3000.0))
}

/// What happened to the requests of a class from `first_id` on that were sent before `sent_before`.
fn class_summary(
    harness: &TestHarness,
    class: usize,
    first_id: u32,
    sent_before: f64,
) -> ClassSummary {
    let deadline = harness.settings.classes[class].deadline;
    let requests: Vec<&RequestRecord> = harness
        .requests
        .range(RequestId(first_id)..)
        .map(|(_, record)| record)
        .filter(|record| record.class == class && record.deadline - deadline < sent_before)
        .collect();
    ClassSummary {
        requests: requests.len(),
        succeeded: requests.iter().filter(|record| record.succeeded()).count(),
    }
}

/// One response in thirty is lost. Early timeouts, which allow a retry, must leave heavy requests their usual latency.
#[test]
fn heavy_requests_do_not_time_out_at_the_latency_of_light_ones() {
    let mut harness = harness_with_two_classes(100.0);
    let latency = |class, attempt: usize| {
        let latency = if class == HEAVY { 3000.0 } else { 20.0 };
        (!attempt.is_multiple_of(30)).then_some(latency)
    };
    let [light, heavy] = run_mixed_traffic(&mut harness, 20_000.0, 40.0, latency);
    assert!(
        light.succeeded * 10 >= light.requests * 9,
        "too few light requests succeeded: {light:?}"
    );
    assert!(
        heavy.succeeded * 10 >= heavy.requests * 9,
        "too few heavy requests succeeded: {heavy:?}"
    );
}

/// Guards against endpoints that count as overloaded because of heavy requests in flight.
#[test]
fn endpoints_with_heavy_requests_receive_light_ones() {
    let mut harness = harness_with_two_classes(100.0);
    let latency = |class, _| Some(if class == HEAVY { 2500.0 } else { 20.0 });
    let [light, heavy] = run_mixed_traffic(&mut harness, 20_000.0, 60.0, latency);
    assert!(
        light.succeeded * 20 >= light.requests * 19,
        "too few light requests succeeded: {light:?}"
    );
    assert!(
        heavy.succeeded * 20 >= heavy.requests * 19,
        "too few heavy requests succeeded: {heavy:?}"
    );
}
