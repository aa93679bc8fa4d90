//! A harness that drives one balancer, simulates its clients and upstreams, and checks every action.
use super::fixtures::endpoints;
use balancer_core::{
    Action, AttemptOutcome, Availability, Balancer, Endpoint, EndpointEvent, Event, Request,
    RequestId, Settings, UpstreamId,
};
use std::collections::{BTreeMap, BTreeSet};

/// How an upstream ends an attempt.
#[derive(Clone, Copy)]
pub struct Response {
    pub outcome: AttemptOutcome,
    pub duration: f64,
}

impl Response {
    pub fn success(duration: f64) -> Self {
        Response {
            outcome: AttemptOutcome::Success,
            duration,
        }
    }
}

/// An attempt that the balancer sent.
#[derive(Clone)]
pub struct AttemptRecord {
    pub upstream: UpstreamId,
    pub sent_at: f64,
    pub times_out_at: f64,
    /// How it ended; `None` while in flight.
    pub outcome: Option<AttemptOutcome>,
}

/// A request, and what has happened to it so far.
pub struct RequestRecord {
    pub class: usize,
    pub deadline: f64,
    pub attempts: Vec<AttemptRecord>,
    /// Whether the client has its final response or has left.
    pub is_completed: bool,
}

impl RequestRecord {
    pub fn was_sent(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub fn succeeded(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == Some(AttemptOutcome::Success))
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none())
    }

    /// Number of the first attempt in flight.
    pub fn first_attempt_in_flight(&self) -> Option<usize> {
        self.attempts
            .iter()
            .position(|attempt| attempt.outcome.is_none())
    }

    /// Number of the attempt in flight that times out first.
    fn next_attempt_to_time_out(&self) -> Option<usize> {
        (0..self.attempts.len())
            .filter(|&number| self.attempts[number].outcome.is_none())
            .min_by(|&a, &b| {
                let a = self.attempts[a].times_out_at;
                let b = self.attempts[b].times_out_at;
                a.total_cmp(&b)
            })
    }
}

/// Requests and attempts sent since a given time.
pub struct SentSummary {
    /// Requests with at least one attempt.
    pub requests: usize,
    /// Attempts by upstream.
    pub by_upstream: BTreeMap<UpstreamId, usize>,
}

impl SentSummary {
    pub fn attempts(&self) -> usize {
        self.by_upstream.values().sum()
    }

    pub fn attempts_to(&self, upstream: u64) -> usize {
        let upstream = UpstreamId(upstream);
        self.by_upstream.get(&upstream).copied().unwrap_or(0)
    }

    /// Attempts to the upstreams whose id satisfies a condition.
    pub fn attempts_where(&self, condition: impl Fn(u64) -> bool) -> usize {
        self.by_upstream
            .iter()
            .filter(|(upstream, _)| condition(upstream.0))
            .map(|(_, attempts)| attempts)
            .sum()
    }

    /// Attempts to the upstream that received the most.
    pub fn attempts_to_busiest_upstream(&self) -> usize {
        self.by_upstream.values().max().copied().unwrap_or(0)
    }
}

/// A response on its way.
struct ScheduledResponse {
    at: f64,
    request: u32,
    attempt: usize,
    outcome: AttemptOutcome,
}

/// The next event while the clock advances.
#[derive(Clone, Copy)]
enum NextEvent {
    Timeout { request: RequestId, attempt: usize },
    Timer(u32),
}

/// Drives a balancer and checks each action against the rules, without knowledge of how it decides.
pub struct TestHarness {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: f64,
    /// All endpoints that were ever listed; those that left the list are `Gone`.
    pub known_endpoints: BTreeMap<UpstreamId, Endpoint>,
    pub suspended: BTreeSet<UpstreamId>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// When timers expire, and their tokens.
    pub timers: Vec<(f64, u32)>,
    /// All actions so far.
    pub actions: Vec<Action>,
    scheduled_responses: Vec<ScheduledResponse>,
}

impl TestHarness {
    /// A harness that starts with these endpoints as its cached list.
    pub fn new(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Self {
        let balancer =
            Balancer::new(settings.clone(), seed, 0.0).expect("settings should be valid");
        let mut harness = TestHarness {
            balancer,
            settings,
            now: 0.0,
            known_endpoints: BTreeMap::new(),
            suspended: BTreeSet::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            actions: Vec::new(),
            scheduled_responses: Vec::new(),
        };
        harness.update_endpoints(EndpointEvent::CachedSnapshot(endpoints));
        harness
    }

    /// A harness with `count` ready endpoints and a fixed seed.
    pub fn with_endpoints(settings: Settings, count: u64) -> Self {
        TestHarness::new(settings, 4, endpoints(count))
    }

    pub fn update_endpoints(&mut self, update: EndpointEvent) {
        let is_complete = matches!(
            update,
            EndpointEvent::Snapshot(_) | EndpointEvent::CachedSnapshot(_)
        );
        if is_complete {
            for endpoint in self.known_endpoints.values_mut() {
                endpoint.availability = Availability::Gone;
            }
        }
        if let EndpointEvent::Snapshot(endpoints)
        | EndpointEvent::CachedSnapshot(endpoints)
        | EndpointEvent::Delta(endpoints) = &update
        {
            for endpoint in endpoints {
                self.known_endpoints.insert(endpoint.id, endpoint.clone());
            }
        }
        self.handle(Event::Endpoints(update));
    }

    pub fn suspend(&mut self, id: u64) {
        self.suspended.insert(UpstreamId(id));
        self.handle(Event::Suspend(UpstreamId(id)));
    }

    pub fn restore(&mut self, id: u64) {
        self.suspended.remove(&UpstreamId(id));
        self.handle(Event::Restore {
            upstream: UpstreamId(id),
            restored_at: self.now,
        });
    }

    pub fn request(&self, id: u32) -> &RequestRecord {
        &self.requests[&RequestId(id)]
    }

    /// The id after that of the newest request.
    pub fn next_request_id(&self) -> u32 {
        self.requests.last_key_value().map_or(0, |(id, _)| id.0 + 1)
    }

    pub fn send_request(&mut self, id: u32, class: usize, tenant: usize) -> Vec<Action> {
        let deadline = self.now + self.settings.classes[class].deadline;
        let id = RequestId(id);
        let record = RequestRecord {
            class,
            deadline,
            attempts: Vec::new(),
            is_completed: false,
        };
        self.requests.insert(id, record);
        self.handle(Event::Request(Request {
            id,
            class,
            tenant,
            deadline,
        }))
    }

    pub fn end_attempt(&mut self, id: u32, attempt: usize, outcome: AttemptOutcome) -> Vec<Action> {
        let id = RequestId(id);
        let record = self
            .requests
            .get_mut(&id)
            .expect("request should be in the records");
        record.attempts[attempt].outcome = Some(outcome);
        record.is_completed |= outcome == AttemptOutcome::Success;
        let duration = self.now - record.attempts[attempt].sent_at;
        let request_completed = record.is_completed;
        self.handle(Event::AttemptEnded {
            request: id,
            attempt: attempt as u32,
            outcome,
            duration,
            request_completed,
        })
    }

    pub fn disconnect(&mut self, id: u32) -> Vec<Action> {
        let id = RequestId(id);
        self.requests
            .get_mut(&id)
            .expect("request should be in the records")
            .is_completed = true;
        self.handle(Event::ClientDisconnected(id))
    }

    /// Sends `requests_per_s` requests per second in total for `duration`, each for the next of `tenants` in turn.
    /// `upstream` decides how each attempt ends and after how long; `None`: it gets no response.
    pub fn run_traffic(
        &mut self,
        duration: f64,
        requests_per_s: f64,
        tenants: &[usize],
        upstream: &dyn Fn(UpstreamId) -> Option<Response>,
    ) {
        let until = self.now + duration;
        while self.now < until {
            let id = self.next_request_id();
            self.send_request(id, 0, tenants[id as usize % tenants.len()]);
            self.schedule_response(id, upstream);
            let next = self.now + 1000.0 / requests_per_s;
            while let Some(response) = self.pop_response_due(next) {
                self.advance((response.at - self.now).max(0.0));
                let record = self.request(response.request);
                if record.attempts[response.attempt].outcome.is_none() {
                    self.end_attempt(response.request, response.attempt, response.outcome);
                    self.schedule_response(response.request, upstream);
                }
            }
            self.advance(next - self.now);
        }
    }

    /// Removes and returns the first response that is due by `until`.
    fn pop_response_due(&mut self, until: f64) -> Option<ScheduledResponse> {
        let scheduled = &self.scheduled_responses;
        let position = (0..scheduled.len())
            .filter(|&i| scheduled[i].at <= until)
            .min_by(|&a, &b| scheduled[a].at.total_cmp(&scheduled[b].at))?;
        Some(self.scheduled_responses.swap_remove(position))
    }

    /// Schedules the response to the newest attempt of a request.
    fn schedule_response(&mut self, id: u32, upstream: &dyn Fn(UpstreamId) -> Option<Response>) {
        let record = self.request(id);
        let Some(newest) = record.attempts.last() else {
            return;
        };
        if newest.outcome.is_some() {
            return;
        }
        let attempt = record.attempts.len() - 1;
        if let Some(response) = upstream(newest.upstream) {
            self.scheduled_responses.push(ScheduledResponse {
                at: self.now + response.duration,
                request: id,
                attempt,
                outcome: response.outcome,
            });
        }
    }

    /// Requests and attempts sent since `from`.
    pub fn sent_since(&self, from: f64) -> SentSummary {
        let mut summary = SentSummary {
            requests: 0,
            by_upstream: BTreeMap::new(),
        };
        for record in self.requests.values() {
            let mut was_sent = false;
            for attempt in &record.attempts {
                if attempt.sent_at >= from {
                    was_sent = true;
                    *summary.by_upstream.entry(attempt.upstream).or_insert(0) += 1;
                }
            }
            summary.requests += usize::from(was_sent);
        }
        summary
    }

    pub fn count_actions(&self, condition: impl Fn(&Action) -> bool) -> usize {
        self.actions
            .iter()
            .filter(|&action| condition(action))
            .count()
    }

    /// Advances the clock; timers that are due expire, and attempts time out.
    pub fn advance(&mut self, duration: f64) {
        let until = self.now + duration;
        while let Some((at, event)) = self.next_event().filter(|(at, _)| *at <= until) {
            self.now = at;
            match event {
                NextEvent::Timeout { request, attempt } => self.time_out(request, attempt),
                NextEvent::Timer(token) => {
                    let position = self
                        .timers
                        .iter()
                        .position(|timer| *timer == (at, token))
                        .expect("timer should be in the list");
                    self.timers.remove(position);
                    self.handle(Event::Timer(token));
                }
            }
        }
        self.now = until;
    }

    fn next_event(&self) -> Option<(f64, NextEvent)> {
        let timeouts = self.requests.iter().filter_map(|(&request, record)| {
            let attempt = record.next_attempt_to_time_out()?;
            let at = record.attempts[attempt].times_out_at.max(self.now);
            Some((at, NextEvent::Timeout { request, attempt }))
        });
        let timers = self
            .timers
            .iter()
            .map(|&(at, token)| (at, NextEvent::Timer(token)));
        timeouts
            .chain(timers)
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    fn time_out(&mut self, request: RequestId, attempt: usize) {
        self.end_attempt(request.0, attempt, AttemptOutcome::Timeout);
        let record = &self.requests[&request];
        assert!(
            self.now < record.deadline || record.is_completed || record.has_attempt_in_flight(),
            "{request:?} has no final response by its deadline"
        );
    }

    /// Passes an event to the balancer and checks its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check_action(action);
        }
        for (id, record) in &self.requests {
            assert!(
                record.is_completed || record.has_attempt_in_flight(),
                "{id:?} has neither a final response nor an attempt in flight"
            );
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }
}
