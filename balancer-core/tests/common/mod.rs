//! Shared parts of the tests: a harness that drives one balancer, and fixtures. All times are in milliseconds.
// A panic in a helper function fails the test that calls it, as an assertion does, so `expect` is allowed.
#![allow(clippy::expect_used)]
#![allow(dead_code, unused_imports)] // each test file uses only some of it
mod checker;
mod fixtures;
mod harness;

pub use fixtures::{
    class, class_that_values_late_responses, counts, draining, endpoint, endpoints, no_response,
    outcome_after, settings_for_tenants, settings_that_value_late_responses, slow_start_settings,
    success_after, tenantless_settings_that_value_late_responses, tenants, SLOW_START_DURATION,
    SLOW_START_INITIAL_FRACTION, SLOW_START_OVERLOAD_FACTOR,
};
pub use harness::{AttemptRecord, RequestRecord, Response, SentSummary, TestHarness};
