//! The balancer survives failures of the system calls on its own descriptors, at any moment of its life.
//!
//! A preloaded library makes the calls fail. Each test plays all rows of [`rows::ROWS`] at one moment, and expects that
//! the balancer becomes ready, answers every request, follows its signals, violates no invariant and exits with code 0
//! in time. A play is one run of a balancer from start to exit. `FAILING_CALLS_PLAYS` sets the number of plays of each
//! row, and `FAILING_CALLS_AT_ONCE` how many plays run at a time.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;

#[path = "failing_calls/failure.rs"]
mod failure;
#[path = "failing_calls/fault_control.rs"]
mod fault_control;
#[path = "failing_calls/load.rs"]
mod load;
#[path = "failing_calls/plays.rs"]
mod plays;
#[path = "failing_calls/preloaded_balancer.rs"]
mod preloaded_balancer;
#[path = "failing_calls/rows.rs"]
mod rows;
#[path = "failing_calls/runner.rs"]
mod runner;
#[path = "failing_calls/shared_services.rs"]
mod shared_services;

use plays::Moment;
use runner::assert_all_rows_survive;

/// Guards against a process that does not start because the first attempt to create a descriptor fails.
#[test]
fn starts_and_serves_while_own_calls_fail() {
    assert_all_rows_survive(Moment::Start);
}

/// Guards against a panic when SIGTERM ends an idle process and interrupts the read that reports the signal.
#[test]
fn idle_process_exits_at_sigterm_while_own_calls_fail() {
    assert_all_rows_survive(Moment::Idle);
}

/// Guards against connections that are closed without a response because the event loop fails to register them.
#[test]
fn answers_every_request_until_exit_while_own_calls_fail() {
    assert_all_rows_survive(Moment::Load);
}

/// Guards against a reload that panics or is lost because the calls that report the signal to the event loop are
/// interrupted.
#[test]
fn follows_each_reload_under_load_while_own_calls_fail() {
    assert_all_rows_survive(Moment::Reloads);
}

/// Guards against an upgrade that loses requests because the old or the new process fails.
#[test]
fn hands_off_under_load_while_own_calls_fail() {
    assert_all_rows_survive(Moment::Handoff);
}
