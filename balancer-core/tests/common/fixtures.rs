//! Endpoints, classes, tenants and settings for tests.
use super::harness::Response;
use balancer_core::{
    AttemptOutcome, Availability, Class, Endpoint, EndpointCounts, Idempotency, Settings, Tenant,
    UpstreamId,
};

/// A ready endpoint of zone 0 in one of three groups.
pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: UpstreamId(id),
        zone: 0,
        kind: 0,
        group: (id % 3) as u16,
        availability: Availability::Ready,
        started_at: 0.0,
    }
}

pub fn endpoints(count: u64) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

pub fn draining(id: u64) -> Endpoint {
    Endpoint {
        availability: Availability::Draining,
        ..endpoint(id)
    }
}

pub fn counts(listed: usize, avoided: usize) -> EndpointCounts {
    EndpointCounts { listed, avoided }
}

/// A class with an objective of 500 ms and a deadline of 2 s, whose late responses have no value.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        objective: 500.0,
        deadline: 2000.0,
        idempotency,
        ..Class::default()
    }
}

/// The same class, but late responses have half of their value, so that requests last until their deadline.
pub fn class_that_values_late_responses(idempotency: Idempotency) -> Class {
    Class {
        late_weight: 0.5,
        ..class(idempotency)
    }
}

/// Tenants with these weights; the quota of each is `quota_per_second` times its weight.
pub fn tenants(weights: &[f64], quota_per_second: f64) -> Vec<Tenant> {
    weights
        .iter()
        .map(|&weight| Tenant {
            weight,
            quota_per_second: quota_per_second * weight,
        })
        .collect()
}

/// One idempotent class, and tenants that divide a quota of 60 requests per second by these weights.
pub fn settings_for_tenants(weights: &[f64]) -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        tenants: tenants(weights, 60.0),
        ..Settings::default()
    }
}

/// One class whose late responses have value, and one tenant with a quota of 60 requests per second.
pub fn settings_that_value_late_responses(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class_that_values_late_responses(idempotency)],
        ..settings_for_tenants(&[1.0])
    }
}

/// One class whose late responses have value, and no tenants.
pub fn tenantless_settings_that_value_late_responses(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class_that_values_late_responses(idempotency)],
        ..Settings::default()
    }
}

pub const SLOW_START_OVERLOAD_FACTOR: f64 = 4.0;
pub const SLOW_START_DURATION: f64 = 20_000.0;
pub const SLOW_START_INITIAL_FRACTION: f64 = 0.15;

/// Settings of one of several replicas that share a quota, with slow start.
pub fn slow_start_settings(
    replica_index: u32,
    replica_count: u32,
    quota_per_second: f64,
) -> Settings {
    Settings {
        replica_index,
        replica_count,
        slow_start_initial_fraction: SLOW_START_INITIAL_FRACTION,
        slow_start_duration: SLOW_START_DURATION,
        slow_start_overload_factor: SLOW_START_OVERLOAD_FACTOR,
        tenants: tenants(&[1.0], quota_per_second),
        ..Settings::default()
    }
}

/// Upstreams whose responses succeed after `duration`.
pub fn success_after(duration: f64) -> impl Fn(UpstreamId) -> Option<Response> {
    move |_| Some(Response::success(duration))
}

/// Upstreams that do not respond.
pub fn no_response(_: UpstreamId) -> Option<Response> {
    None
}

/// Upstreams that end each attempt with `outcome` after `duration`.
pub fn outcome_after(
    outcome: AttemptOutcome,
    duration: f64,
) -> impl Fn(UpstreamId) -> Option<Response> {
    move |_| Some(Response { outcome, duration })
}
