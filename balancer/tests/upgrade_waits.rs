//! A process that waits for its endpoint list still reacts to other events: it accepts clients soon after the old process
//! stops doing so, and exits at SIGTERM. Its discovery is silent in all tests.
// A failed `expect` in a helper fails its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;

use common::*;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Longest time for a start without another process, and for the exit of a process that does not serve yet.
const START_OR_EXIT_LIMIT: Duration = Duration::from_secs(4);
/// Longest time in which neither process accepts clients.
const REFUSAL_LIMIT: Duration = Duration::from_millis(2500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The command of a balancer that stores its state in this folder, listens at `client_address` and whose discovery is
/// `silent`.
fn command_in(
    folder: &Path,
    silent: &StubDiscovery,
    upstream: SocketAddr,
    client_address: &str,
) -> Command {
    let known = active_endpoints(&[upstream]);
    let config = with_admin_endpoint(&balancer_config(silent.address, 1024, &known)).replacen(
        "\"listen\":\"127.0.0.1:0\"",
        &format!("\"listen\":\"{client_address}\""),
        1,
    );
    let mut command = balancer_command(&config);
    command.env("TMPDIR", folder);
    command
}

/// Starts a new process while the old one shuts down, and asserts that clients are refused only briefly.
fn assert_clients_are_accepted_soon(old: &BalancerProcess, folder: &Path, upstream: SocketAddr) {
    let silent = StubDiscovery::start();
    let command = command_in(folder, &silent, upstream, &old.address.to_string());
    let new = thread::spawn(move || BalancerProcess::run(command, silent));
    let mut refused_since = None;
    while !new.is_finished() {
        if old.try_client().is_none() {
            refused_since.get_or_insert_with(Instant::now);
        }
        sleep(POLL_INTERVAL);
    }
    let _new = new.join().expect("serves");
    let refused = refused_since.map_or(Duration::ZERO, |at| at.elapsed());
    assert!(
        refused < REFUSAL_LIMIT,
        "clients were refused for {refused:?}"
    );
}

/// A balancer that does not serve yet; killed when dropped.
struct StartingBalancer(Child);

impl StartingBalancer {
    fn terminate(&self) {
        let kill = format!("kill -TERM {}", self.0.id());
        let sent = Command::new("sh").args(["-c", &kill]).status();
        assert!(sent.expect("runs sh").success());
    }

    fn wait_for_exit(&mut self) {
        let start = Instant::now();
        while self.0.try_wait().expect("its status").is_none() {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "the starting balancer does not exit"
            );
            sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for StartingBalancer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against mistaking a missing state folder for a sign of another process that serves.
#[test]
fn process_without_an_old_one_is_ready_soon_if_its_state_folder_is_missing() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let missing = state_folder("missing").join("no-such-folder");
    let silent = StubDiscovery::start();
    let command = command_in(&missing, &silent, upstream.address, "127.0.0.1:0");
    let started_at = Instant::now();
    let _lone = BalancerProcess::run(command, silent);
    let elapsed = started_at.elapsed();
    assert!(elapsed < START_OR_EXIT_LIMIT, "ready after {elapsed:?}");
}

/// Guards against a new process that keeps waiting for its list while the old one drains and waits for a response.
#[test]
fn clients_are_accepted_while_the_old_process_drains() {
    let unresponsive = StubUpstream::start(|_| Reply::NeverRespond);
    let folder = state_folder("drains");
    let old = BalancerProcess::in_state_folder(&folder, None, &[unresponsive.address]);
    let _client = old.client_that_sent(&get_request("slow", "15000m"));
    unresponsive.next_request();
    old.terminate();
    assert_clients_are_accepted_soon(&old, &folder, unresponsive.address);
}

/// Guards against a new process that keeps waiting for its list while the old one relays a response to a client that
/// does not read.
#[test]
fn clients_are_accepted_while_the_old_process_relays() {
    let large = ok_text(&"x".repeat(32 << 20));
    let upstream = StubUpstream::start(move |_| Reply::Respond(large.clone()));
    let folder = state_folder("relays");
    let old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let _client = old.client_that_sent(&get_request("large", "15000m"));
    sleep(Duration::from_millis(500));
    old.terminate();
    assert_clients_are_accepted_soon(&old, &folder, upstream.address);
}

/// Guards against a new process that handles signals only once it serves, or that exits before it serves and stays
/// registered.
#[test]
fn new_process_that_waits_for_its_list_exits_at_sigterm() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("waits");
    let old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let stored = folder.join("herondock-orders.json");
    let before = fs::read_to_string(&stored).expect("the stored overrides");
    let silent = StubDiscovery::start();
    let client_address = old.address.to_string();
    let mut command = command_in(&folder, &silent, upstream.address, &client_address);
    let mut new = StartingBalancer(command.spawn().expect("starts"));
    silent.next_call_path();
    sleep(Duration::from_millis(300));
    let terminated_at = Instant::now();
    new.terminate();
    new.wait_for_exit();
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < START_OR_EXIT_LIMIT, "exits after {elapsed:?}");
    let after = fs::read_to_string(&stored).expect("the stored overrides");
    assert_eq!(
        after, before,
        "the stored overrides changed: the exited process is registered"
    );
    assert_eq!(old.call_admin(b"STATUS\n"), "YES serving\n");
}
