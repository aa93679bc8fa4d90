//! Signals that the balancer's parent process blocks or ignores, as a supervisor or `nohup` may.
// A failed `expect` in a helper fails its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;

use common::*;
use nix::sys::signal::{SigSet, Signal};
use std::process::Command;
use std::thread;

/// Returns the command that `command_for` makes of a configuration with an admin endpoint, that configuration, and its
/// discovery.
fn prepare_balancer(command_for: impl Fn(&str) -> Command) -> (Command, String, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let config = with_admin_endpoint(&balancer_config(discovery.address, 1024, "null"));
    (command_for(&config), config, discovery)
}

/// A balancer whose parent has blocked all signals that it handles, and its configuration.
fn start_with_signals_blocked() -> (BalancerProcess, String) {
    let (command, config, discovery) = prepare_balancer(balancer_command);
    // A process inherits the signal mask of the thread that starts it.
    let starter = thread::spawn(move || {
        let handled = [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGINT];
        let blocked: SigSet = handled.into_iter().collect();
        blocked.thread_block().expect("blocks the signals");
        BalancerProcess::run(command, discovery)
    });
    (starter.join().expect("starts"), config)
}

/// A balancer whose parent ignores all signals that it handles, and its configuration.
fn start_with_signals_ignored() -> (BalancerProcess, String) {
    let (command, config, discovery) = prepare_balancer(balancer_command_ignoring_signals);
    (BalancerProcess::run(command, discovery), config)
}

fn assert_reloads_and_ends_at_sigterm((mut balancer, config): (BalancerProcess, String)) {
    balancer.reload(&config);
    balancer.wait_for_metric("node_config_applied 1");
    balancer.reload(&config);
    balancer.wait_for_metric("node_config_applied 2");
    balancer.terminate();
    assert_eq!(balancer.wait_for_exit_in_time().code(), Some(0));
}

fn assert_ends_at_sigint((mut balancer, _config): (BalancerProcess, String)) {
    balancer.interrupt();
    assert_eq!(balancer.wait_for_exit_in_time().code(), Some(0));
}

/// Guards against a process that never receives signals because its parent has blocked them.
#[test]
fn reloads_and_ends_at_sigterm_if_its_parent_blocked_the_signals() {
    assert_reloads_and_ends_at_sigterm(start_with_signals_blocked());
}

/// Guards against a process that never receives SIGINT because its parent has blocked it.
#[test]
fn ends_at_sigint_if_its_parent_blocked_the_signals() {
    assert_ends_at_sigint(start_with_signals_blocked());
}

/// Guards against a process that never receives signals because its parent ignores them: the kernel discards an ignored
/// signal before it can be read.
#[test]
fn reloads_and_ends_at_sigterm_if_its_parent_ignored_the_signals() {
    assert_reloads_and_ends_at_sigterm(start_with_signals_ignored());
}

/// Guards against a process that never receives SIGINT because its parent ignores it, as a shell does for background
/// jobs.
#[test]
fn ends_at_sigint_if_its_parent_ignored_the_signals() {
    assert_ends_at_sigint(start_with_signals_ignored());
}
