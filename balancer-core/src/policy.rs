//! The decision logic of the balancer.
//!
//! A request is admitted if its tenant is within its limit, or if neither the learned capacity nor the soft limit
//! of requests in flight is reached. At the hard limit of requests in flight, none is admitted. Each attempt goes
//! to the less busy of two random endpoints that may receive it. The other modules handle special cases: slow
//! start, outliers, overload, stale connections, retries and a stale endpoint list.
mod admission;
mod attempt;
mod attempt_timeout;
mod attempts;
mod capacity;
mod endpoint_polling;
mod endpoints;
mod latency;
mod pending_request;
mod random;
mod requests;
mod retry_budget;
mod tenant_limits;

pub use tenant_limits::tenant_limits;

use crate::action::Action;
use crate::endpoint::{EndpointCounts, EndpointEvent, UpstreamId};
use crate::event::Event;
use crate::request::RequestId;
use crate::settings::{Settings, SettingsError};
use crate::time::Millis;
use admission::Admission;
use attempts::AttemptEnd;
use capacity::ADMISSION_CYCLE;
use endpoint_polling::{CallFailure, EndpointPolling};
use endpoints::Endpoints;
use pending_request::PendingRequest;
use random::Random;
use retry_budget::RetryBudget;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Token of the timer that ends an admission cycle.
const ADMISSION_CYCLE_TIMER: u32 = 0;
/// Token of the timer that starts the next poll after a failed one.
const POLL_TIMER: u32 = 1;
/// Smallest length of the first cycle, as a fraction of a complete one. The length is random, so that replicas
/// that start together do not end their cycles at the same time.
const MIN_FIRST_CYCLE_FRACTION: f64 = 0.5;

/// The decision logic of one balancer.
pub struct Balancer {
    settings: Arc<Settings>,
    random: Random,
    admission: Admission,
    endpoints: Endpoints,
    pending: BTreeMap<RequestId, PendingRequest>,
    retry_budget: RetryBudget,
    polling: EndpointPolling,
    /// Whether the first event was handled.
    is_started: bool,
    /// Whether the last log line said that capacity is reduced.
    is_logged_as_degraded: bool,
}

impl Balancer {
    /// Creates a balancer without endpoints. `seed` determines its random choices.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field of `settings`.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let settings = Arc::new(settings);
        let admission = Admission::new(&settings, now);
        let mut endpoints = Endpoints::new(Arc::clone(&settings));
        endpoints.resize_subset(admission.capacity().admitted_mean());
        Ok(Balancer {
            settings,
            random: Random::new(seed),
            admission,
            endpoints,
            pending: BTreeMap::new(),
            retry_budget: RetryBudget::new(),
            polling: EndpointPolling::default(),
            is_started: false,
            is_logged_as_degraded: false,
        })
    }

    /// Whether an operator suspended an upstream.
    pub fn is_suspended(&self, id: UpstreamId) -> bool {
        self.endpoints.is_suspended(id)
    }

    /// Numbers of listed endpoints and of those that requests avoid at `now`.
    pub fn endpoint_counts(&self, now: Millis) -> EndpointCounts {
        self.endpoints.counts(now)
    }

    /// Handles one event and appends the resulting actions. `now` must not decrease from call to
    /// call; a value that is not finite counts as zero.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !self.is_started {
            self.is_started = true;
            self.start(now, actions);
        }
        self.dispatch(now, event, actions);
    }

    fn dispatch(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(update) => self.handle_endpoints(now, update, actions),
            Event::Request(request) => self.handle_request(now, request, actions),
            Event::RequestBodyComplete { request, deadline } => {
                self.handle_body_complete(now, request, deadline);
            }
            Event::BodyDiscarded(request) => self.handle_body_discarded(request),
            Event::ResponseStarted { request, attempt } => {
                self.handle_response_started(now, request, attempt);
            }
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                duration,
                request_completed,
            } => {
                let end = AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    duration,
                    request_completed,
                };
                self.handle_attempt_ended(now, end, actions);
            }
            Event::ClientDisconnected(request) => {
                self.handle_client_disconnected(request, actions);
            }
            Event::Suspend(upstream) => self.handle_suspend(now, upstream),
            Event::Restore {
                upstream,
                restored_at,
            } => self.handle_restore(now, upstream, restored_at),
            Event::Timer(token) => self.handle_timer(now, token, actions),
        }
    }

    /// Sets the first timer, and polls the endpoint list if it is not pushed.
    fn start(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let fraction =
            MIN_FIRST_CYCLE_FRACTION + (1.0 - MIN_FIRST_CYCLE_FRACTION) * self.random.fraction();
        actions.push(Action::SetTimer {
            after: ADMISSION_CYCLE * fraction,
            token: ADMISSION_CYCLE_TIMER,
        });
        if self.settings.poll_endpoints {
            self.poll(now, actions);
        }
    }

    fn handle_endpoints(&mut self, now: Millis, update: EndpointEvent, actions: &mut Vec<Action>) {
        match update {
            EndpointEvent::Snapshot(_) | EndpointEvent::Delta(_) => {
                self.confirm_endpoints(now);
                self.apply_endpoints(now, update);
            }
            EndpointEvent::CachedSnapshot(_) => self.apply_endpoints(now, update),
            EndpointEvent::Unchanged => self.confirm_endpoints(now),
            EndpointEvent::DiscoveryFailed => {
                self.poll_after_failure(now, CallFailure::NoValidResponse, actions);
            }
            EndpointEvent::DiscoveryRejected => {
                self.poll_after_failure(now, CallFailure::Rejected, actions);
            }
            EndpointEvent::DiscoveryMigrated => self.polling.record_migration(now),
        }
    }

    fn confirm_endpoints(&mut self, now: Millis) {
        self.polling.record_response(now);
        self.endpoints.confirm();
    }

    fn apply_endpoints(&mut self, now: Millis, update: EndpointEvent) {
        self.endpoints.apply(update, now, &mut self.random);
        self.record_load(now);
    }

    fn poll(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.polling.record_call(now);
        actions.push(Action::PollEndpoints);
    }

    fn poll_after_failure(&mut self, now: Millis, failure: CallFailure, actions: &mut Vec<Action>) {
        if !self.settings.poll_endpoints {
            return;
        }
        let backoff = self.polling.record_failure(
            failure,
            self.endpoints.has_accepting_endpoint(),
            now,
            &self.settings,
            &mut self.random,
        );
        actions.push(Action::SetTimer {
            after: backoff,
            token: POLL_TIMER,
        });
    }

    fn handle_suspend(&mut self, now: Millis, upstream: UpstreamId) {
        self.endpoints.suspend(upstream);
        self.record_load(now);
    }

    fn handle_restore(&mut self, now: Millis, upstream: UpstreamId, restored_at: Millis) {
        self.endpoints
            .restore(upstream, restored_at, now, &mut self.random);
        self.record_load(now);
    }

    fn handle_timer(&mut self, now: Millis, token: u32, actions: &mut Vec<Action>) {
        match token {
            ADMISSION_CYCLE_TIMER => self.end_cycle(now, actions),
            POLL_TIMER => self.poll(now, actions),
            _ => {}
        }
    }

    fn record_load(&mut self, now: Millis) {
        self.admission
            .record_load(self.endpoints.admission_load(now));
    }

    /// Ends an admission cycle: recomputes capacity, limits and the subset of endpoints.
    fn end_cycle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.record_overdue_requests(now);
        self.admission
            .record_latency(self.endpoints.latency().mean());
        self.record_load(now);
        self.admission.end_cycle(now);
        self.log_capacity_change(actions);
        let requests_per_cycle = self.admission.capacity().admitted_mean();
        self.endpoints.resize_subset(requests_per_cycle);
        actions.push(Action::SetTimer {
            after: ADMISSION_CYCLE,
            token: ADMISSION_CYCLE_TIMER,
        });
    }

    fn log_capacity_change(&mut self, actions: &mut Vec<Action>) {
        let is_degraded = self.admission.capacity().is_degraded();
        if is_degraded == self.is_logged_as_degraded {
            return;
        }
        self.is_logged_as_degraded = is_degraded;
        let state = if is_degraded {
            "are late or fail: capacity is reduced"
        } else {
            "are on time again"
        };
        let tier = self.settings.tier;
        actions.push(Action::Log(format!("responses of tier {tier} {state}")));
    }
}
