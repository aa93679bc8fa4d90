//! The state of one endpoint.
use super::health::EndpointHealth;
use super::idle_connections::IdleConnections;
use super::in_flight::InFlight;
use super::slow_start::SendTokens;
use crate::endpoint::Endpoint;
use crate::policy::attempt::Attempt;
use crate::policy::random::Random;
use crate::request::AttemptOutcome;
use crate::time::Millis;

/// Weight of the newest response in an endpoint's relative latency.
const RELATIVE_LATENCY_GAIN: f64 = 0.2;
/// A failed attempt counts as at least this multiple of the expected latency.
const FAILURE_LATENCY_MULTIPLE: f64 = 2.0;
/// Time constant with which relative latency returns to one while an endpoint is not used, so that one that was
/// slow is used again.
const RELATIVE_LATENCY_RETENTION: Millis = 5000.0;
/// Smallest expected latency that responses are compared with.
const MIN_EXPECTED_LATENCY: Millis = 1.0;

/// What this replica knows of one endpoint.
pub(super) struct EndpointState {
    pub(super) endpoint: Endpoint,
    /// When it started, on this replica's clock; zero: long ago.
    started_at: Millis,
    pub(super) in_flight: InFlight,
    connections: IdleConnections,
    pub(super) health: EndpointHealth,
    pub(super) send_tokens: SendTokens,
    last_used_at: Millis,
    /// Smoothed latency as a multiple of the expected latency.
    relative_latency: f64,
    /// Whether it rejected a request while the endpoint list was stale: it may be draining.
    pub(super) may_be_draining: bool,
}

impl EndpointState {
    pub(super) fn new(
        endpoint: Endpoint,
        started_at: Millis,
        now: Millis,
        random: &mut Random,
    ) -> Self {
        EndpointState {
            endpoint,
            started_at,
            in_flight: InFlight::new(now),
            connections: IdleConnections::new(now),
            health: EndpointHealth::default(),
            // A random initial count, so that many replicas do not send their first request at once.
            send_tokens: SendTokens::new(random.fraction(), now),
            last_used_at: 0.0,
            relative_latency: 1.0,
            may_be_draining: false,
        }
    }

    /// Resets the state after the process restarted under the same id: slow start begins, and only the record
    /// of requests in flight is kept.
    pub(super) fn reset_after_restart(
        &mut self,
        endpoint: Endpoint,
        started_at: Millis,
        now: Millis,
        random: &mut Random,
    ) {
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.record_response(now);
        *self = EndpointState::new(endpoint, started_at, now, random);
        self.in_flight = in_flight;
    }

    /// Resets the state after a restart at an unknown time that the endpoint list does not report yet.
    pub(super) fn reset_after_unreported_restart(&mut self, now: Millis, random: &mut Random) {
        self.reset_after_restart(self.endpoint.clone(), self.started_at, now, random);
    }

    pub(super) fn started_at(&self) -> Millis {
        self.started_at
    }

    pub(super) fn last_used_at(&self) -> Millis {
        self.last_used_at
    }

    pub(super) fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// The relative latency, approaching one while the endpoint is not used.
    pub(super) fn faded_relative_latency(&self, now: Millis) -> f64 {
        let fade = (-(now - self.last_used_at) / RELATIVE_LATENCY_RETENTION).exp();
        1.0 + (self.relative_latency - 1.0) * fade
    }

    /// Idle bucket of the connection that the next request gets; zero for a new connection.
    pub(super) fn idle_bucket(&self, idle_close: Millis, now: Millis) -> usize {
        self.connections
            .idle_bucket(self.in_flight.count(), idle_close, now)
    }

    pub(super) fn record_send(&mut self, attempt: &Attempt, now: Millis) {
        self.connections
            .record_send(attempt.idle_bucket, self.in_flight.count(), now);
        self.in_flight.add(attempt.class, attempt.is_awaited, now);
        self.last_used_at = now;
        self.send_tokens.take();
    }

    pub(super) fn record_end(&mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Millis) {
        self.connections
            .record_end(outcome, self.in_flight.count(), now);
        self.in_flight.remove(attempt.class);
        self.last_used_at = now;
    }

    pub(super) fn record_latency(&mut self, duration: Millis, expected: Millis, failed: bool) {
        let latency = if failed {
            duration.max(FAILURE_LATENCY_MULTIPLE * expected)
        } else {
            duration
        };
        let relative = latency / expected.max(MIN_EXPECTED_LATENCY);
        self.relative_latency += RELATIVE_LATENCY_GAIN * (relative - self.relative_latency);
    }
}
