//! Upgrades: a new process of a balancer takes over from the old one while clients send requests.
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// Sends requests until `stop` is set, and reconnects when the balancer closes the connection. Panics if a request fails.
/// Returns the number of requests.
fn send_requests(address: SocketAddr, client_id: usize, stop: Arc<AtomicBool>) -> usize {
    let mut client = Client::connect(address);
    let mut requests = 0;
    while !stop.load(Ordering::SeqCst) {
        let response = client.call(&get_request(&format!("{client_id}-{requests}"), "15000m"));
        assert_eq!(response.status(), 200);
        requests += 1;
        if response.header("connection") == Some("close") {
            client = Client::connect(address);
        }
    }
    requests
}

/// No client's connection is idle for long: otherwise the old process could close it while a request is in transit.
#[test]
fn upgrade_fails_no_request() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("upgrade");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|client_id| {
            let (address, stop) = (old.address, stop.clone());
            thread::spawn(move || send_requests(address, client_id, stop))
        })
        .collect();
    for _ in 0..3 {
        let new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream.address]);
        assert_eq!(new.call_admin(b"STATUS\n"), "YES serving\n");
        old.terminate();
        assert!(old.wait_for_exit().success(), "{:?}", old.log_lines());
        old = new;
    }
    // The last process serves too.
    assert_eq!(
        old.client().call(&get_request("last", "9000m")).status(),
        200
    );
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        assert!(client.join().expect("no request fails") > 0);
    }
}

/// Overrides apply to both processes, whether set before the upgrade, at the old process or at the new one.
#[test]
fn overrides_hold_for_both_processes_and_after_old_process_ends() {
    let suspended = StubUpstream::start(|_| ok_response("suspended"));
    let used = StubUpstream::start(|_| ok_response("used"));
    let upstreams = [suspended.address, used.address, used.address];
    let folder = state_folder("orders");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &upstreams);
    assert_eq!(old.call_admin(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    let new = BalancerProcess::in_state_folder(&folder, Some(&old), &upstreams);
    let old_admin = old.admin_address.expect("an admin address");
    let new_admin = new.admin_address.expect("an admin address");
    assert!(
        new.call_admin(b"METRICS\n")
            .contains("node_pool_ejected 1\n"),
        "the new process ignores an override from before its start"
    );
    assert_eq!(new.call_admin(b"SUSPEND s-1\n"), "YES s-1 is left out\n");
    wait_for_metric(old_admin, "node_pool_ejected 2");
    assert_eq!(old.call_admin(b"RESTORE s-1\n"), "YES s-1 is in use\n");
    wait_for_metric(new_admin, "node_pool_ejected 1");
    assert_eq!(old.call_admin(b"PAUSE\n"), "YES paused\n");
    let started_at = Instant::now();
    while new.call_admin(b"STATUS\n") == "YES serving\n" {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the new process does not apply the pause"
        );
    }
    old.terminate();
    assert!(old.wait_for_exit().success());
    let ready = || {
        new.client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status()
    };
    assert_eq!(ready(), 503);
    assert_eq!(new.call_admin(b"RESUME\n"), "YES serving\n");
    assert_eq!(ready(), 200);
    let mut client = new.client();
    for id in 0..50 {
        assert_eq!(
            client.call(&get_request(&id.to_string(), "9000m")).body,
            b"used"
        );
    }
    assert_eq!(suspended.further_request_count(), 0);
}

/// Guards against a failed readiness check on a kept connection that makes the front avoid the new process.
#[test]
fn old_process_stays_ready_during_an_upgrade() {
    let (release, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("held once");
            Reply::RespondAfterSignal(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => ok_response(""),
    });
    let folder = state_folder("ready");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let requests = format!(
        "{}GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        get_request("held", "9000m")
    );
    let mut client = old.client_that_sent(&requests);
    upstream.next_request();
    let _new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream.address]);
    old.terminate();
    old.wait_for_log("shutdown requested");
    release.send(()).expect("the upstream waits");
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert_eq!(
        client
            .read_response()
            .expect("a response to the readiness check")
            .status(),
        200
    );
    assert!(old.wait_for_exit().success());
}

/// Guards against a process that exits at the planned end of its shutdown and so truncates a response that it still
/// relays: only SIGKILL may truncate one.
#[test]
fn relayed_response_delays_exit() {
    const LARGE: usize = 1 << 20;
    let (release, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |_| {
        let held = held.lock().expect("no panic").take().expect("held once");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        Reply::RespondInTwoParts(text, held, "x".repeat(LARGE))
    });
    let folder = state_folder("relayed-response");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let mut client = old.client_that_sent(&get_request("r1", "9000m"));
    upstream.next_request();
    old.wait_for_metric("node_tries 1");
    old.terminate();
    // The balancer logs this line once only relayed responses remain.
    old.wait_for_log("1 responses are still being relayed");
    release.send(()).expect("the upstream waits");
    assert_eq!(
        client.read_response().expect("a response").body.len(),
        LARGE
    );
    assert!(old.wait_for_exit().success());
}

#[test]
fn old_process_serves_on_if_new_process_fails_to_start() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("fails");
    let old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let used_address = old.admin_address.expect("an admin address");
    let config = with_admin_endpoint(&balancer_config(refusing_address(), 1024, "null")).replace(
        "127.0.0.1:0\",\"listen",
        &format!("{used_address}\",\"listen"),
    );
    let output = balancer_command(&config)
        .env("TMPDIR", &folder)
        .output()
        .expect("runs");
    let log = String::from_utf8(output.stderr).expect("text");
    assert!(
        !output.status.success() && log.starts_with("balancer: ops: "),
        "{log}"
    );
    let mut client = old.client();
    for id in ["1", "2"] {
        assert_eq!(
            client.call(&get_request(id, "9000m")).header("connection"),
            None
        );
    }
    assert_eq!(old.call_admin(b"STATUS\n"), "YES serving\n");
}

#[test]
fn starts_without_overrides_that_cannot_be_read() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("unreadable-overrides");
    std::fs::write(
        folder.join("herondock-orders.json"),
        "{\"version\":1,\"susp",
    )
    .expect("writes");
    let balancer = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    assert_eq!(
        balancer.client().call(&get_request("1", "9000m")).status(),
        200
    );
    assert_eq!(
        balancer.call_admin(b"SUSPEND s-0\n"),
        "YES s-0 is left out\n"
    );
}

/// A new process that cannot write to the state folder when it starts to serve registers once it can.
#[test]
fn new_process_registers_once_folder_can_be_written_again() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("folder-returns");
    let old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let aside = folder.with_extension("aside");
    std::fs::rename(&folder, &aside).expect("renames");
    let new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream.address]);
    assert_eq!(new.call_admin(b"STATUS\n"), "YES serving\n");
    std::fs::rename(&aside, &folder).expect("renames");
    let started_at = std::time::Instant::now();
    let overrides =
        || std::fs::read_to_string(folder.join("herondock-orders.json")).unwrap_or_default();
    while !overrides().contains("\"processes\":2") {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{}", overrides());
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

/// The overrides file as written by the version before overrides were renamed, after the commands `SUSPEND s-1`,
/// `RESTORE s-1`, `SUSPEND s-0`, `PAUSE`. Processes of both versions share the file during an upgrade.
const OVERRIDES_OF_PREVIOUS_VERSION: &str =
    "{\"version\":1,\"revision\":5,\"processes\":1,\"paused\":true,\
    \"suspended\":[\"s-0\"],\"restored\":{\"s-1\":1796291300171.371}}";

#[test]
fn honours_overrides_stored_by_previous_version_and_keeps_their_format() {
    let suspended = StubUpstream::start(|_| ok_response("suspended"));
    let used = StubUpstream::start(|_| ok_response("used"));
    let folder = state_folder("previous");
    let file = folder.join("herondock-orders.json");
    std::fs::write(&file, OVERRIDES_OF_PREVIOUS_VERSION).expect("writes");
    let balancer =
        BalancerProcess::in_state_folder(&folder, None, &[suspended.address, used.address]);
    assert_eq!(
        balancer.call_admin(b"STATUS\n"),
        "YES serving, paused: clients are sent away\n"
    );
    balancer.wait_for_metric("node_pool_ejected 1");
    assert_eq!(balancer.call_admin(b"RESUME\n"), "YES serving\n");
    let mut client = balancer.client();
    for id in 0..50 {
        assert_eq!(
            client.call(&get_request(&id.to_string(), "9000m")).body,
            b"used"
        );
    }
    assert_eq!(suspended.further_request_count(), 0);
    // The format is unchanged, so the previous version can read the file. Only two changes were made: the process
    // registered, and RESUME ended the pause. Each raised the revision by one.
    assert_eq!(
        std::fs::read_to_string(&file).expect("reads"),
        OVERRIDES_OF_PREVIOUS_VERSION
            .replace("\"revision\":5", "\"revision\":7")
            .replace("\"processes\":1", "\"processes\":2")
            .replace("\"paused\":true", "\"paused\":false")
    );
    assert_eq!(balancer.call_admin(b"RESTORE s-0\n"), "YES s-0 is in use\n");
    balancer.wait_for_metric("node_pool_ejected 0");
}
