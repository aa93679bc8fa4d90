//! Upgrades: a new process of a balancer takes over from the old one while clients send requests.
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// Sends requests until `stop` is set, on one connection for as long as it lasts. Fails if a request fails. Returns the
/// number of requests.
fn send_requests(to: SocketAddr, name: usize, stop: Arc<AtomicBool>) -> usize {
    let mut client = Client::to(to);
    let mut requests = 0;
    while !stop.load(Ordering::SeqCst) {
        let answer = client.call(&get(&format!("{name}-{requests}"), "15000m"));
        assert_eq!(answer.status(), 200);
        requests += 1;
        if answer.header("connection") == Some("close") {
            client = Client::to(to);
        }
    }
    requests
}

/// No client's connection is idle for long, so that none is closed while a request is in transit.
#[test]
fn upgrade_fails_no_request() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("upgrade");
    let mut old = Node::in_folder(&folder, None, &[upstream.addr]);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|name| {
            let (to, stop) = (old.addr, stop.clone());
            thread::spawn(move || send_requests(to, name, stop))
        })
        .collect();
    for _ in 0..3 {
        let new = Node::in_folder(&folder, Some(&old), &[upstream.addr]);
        assert_eq!(new.asks(b"STATUS\n"), "YES serving\n");
        old.terminate();
        assert!(old.wait().success(), "{:?}", old.log());
        old = new;
    }
    // The last process serves too.
    assert_eq!(old.client().call(&get("last", "9000m")).status(), 200);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        assert!(client.join().expect("no request fails") > 0);
    }
}

/// Overrides hold for both processes, whether they were set before the upgrade, at the old process or at the new one.
#[test]
fn overrides_hold_for_both_processes_and_after_old_process_ends() {
    let suspended = Upstream::start(|_| ok("suspended"));
    let used = Upstream::start(|_| ok("used"));
    let upstreams = [suspended.addr, used.addr, used.addr];
    let folder = folder("orders");
    let mut old = Node::in_folder(&folder, None, &upstreams);
    assert_eq!(old.asks(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    let new = Node::in_folder(&folder, Some(&old), &upstreams);
    let old_admin = old.ops.expect("an admin address");
    let new_admin = new.ops.expect("an admin address");
    assert!(
        new.asks(b"METRICS\n").contains("node_pool_ejected 1\n"),
        "an override from before its start holds"
    );
    assert_eq!(new.asks(b"SUSPEND s-1\n"), "YES s-1 is left out\n");
    comes_to(old_admin, "node_pool_ejected 2");
    assert_eq!(old.asks(b"RESTORE s-1\n"), "YES s-1 is in use\n");
    comes_to(new_admin, "node_pool_ejected 1");
    assert_eq!(old.asks(b"PAUSE\n"), "YES paused\n");
    let started = Instant::now();
    while new.asks(b"STATUS\n") == "YES serving\n" {
        assert!(
            started.elapsed() < PATIENCE,
            "the pause does not reach the new process"
        );
    }
    old.terminate();
    assert!(old.wait().success());
    let ready = || {
        new.client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status()
    };
    assert_eq!(ready(), 503);
    assert_eq!(new.asks(b"RESUME\n"), "YES serving\n");
    assert_eq!(ready(), 200);
    let mut client = new.client();
    for id in 0..50 {
        assert_eq!(client.call(&get(&id.to_string(), "9000m")).body, b"used");
    }
    assert_eq!(suspended.further(), 0);
}

/// A readiness check on a kept connection must not make the front avoid the new process.
#[test]
fn old_process_stays_ready_during_handoff() {
    let (release, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = Upstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("one is held");
            Then::Hold(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => ok(""),
    });
    let folder = folder("ready");
    let mut old = Node::in_folder(&folder, None, &[upstream.addr]);
    let both = format!(
        "{}GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        get("held", "9000m")
    );
    let mut client = old.client_that_sent(&both);
    upstream.request();
    let _new = Node::in_folder(&folder, Some(&old), &[upstream.addr]);
    old.terminate();
    old.logs("told to end");
    release.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(
        client
            .answer()
            .expect("a response to the readiness check")
            .status(),
        200
    );
    assert!(old.wait().success());
}

/// If the process exited by its schedule, it would cut the response off itself. It leaves that to SIGKILL.
#[test]
fn relayed_response_delays_exit() {
    const LARGE: usize = 1 << 20;
    let (release, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = Upstream::start(move |_| {
        let held = held.lock().expect("no panic").take().expect("one is held");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        Then::Begin(text, held, "x".repeat(LARGE))
    });
    let folder = folder("outlasts");
    let mut old = Node::in_folder(&folder, None, &[upstream.addr]);
    let mut client = old.client_that_sent(&get("r1", "9000m"));
    upstream.request();
    old.comes_to("node_tries 1");
    old.terminate();
    // Everything else has ended by then.
    old.logs("1 answers are still being passed on");
    release.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body.len(), LARGE);
    assert!(old.wait().success());
}

#[test]
fn old_process_serves_on_if_new_process_fails_to_start() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("fails");
    let old = Node::in_folder(&folder, None, &[upstream.addr]);
    let used_address = old.ops.expect("an admin address");
    let config = door(&config(refusing(), 1024, "null")).replace(
        "127.0.0.1:0\",\"listen",
        &format!("{used_address}\",\"listen"),
    );
    let output = command(&config)
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
        assert_eq!(client.call(&get(id, "9000m")).header("connection"), None);
    }
    assert_eq!(old.asks(b"STATUS\n"), "YES serving\n");
}

#[test]
fn starts_without_overrides_that_cannot_be_read() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("torn");
    std::fs::write(
        folder.join("herondock-orders.json"),
        "{\"version\":1,\"susp",
    )
    .expect("writes");
    let node = Node::in_folder(&folder, None, &[upstream.addr]);
    assert_eq!(node.client().call(&get("1", "9000m")).status(), 200);
    assert_eq!(node.asks(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
}

/// A new process that cannot write to the folder when it starts to serve registers once it can.
#[test]
fn new_process_registers_once_folder_can_be_written_again() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("heals");
    let old = Node::in_folder(&folder, None, &[upstream.addr]);
    let aside = folder.with_extension("aside");
    std::fs::rename(&folder, &aside).expect("renames");
    let new = Node::in_folder(&folder, Some(&old), &[upstream.addr]);
    assert_eq!(new.asks(b"STATUS\n"), "YES serving\n");
    std::fs::rename(&aside, &folder).expect("renames");
    let started = std::time::Instant::now();
    let overrides =
        || std::fs::read_to_string(folder.join("herondock-orders.json")).unwrap_or_default();
    while !overrides().contains("\"processes\":2") {
        assert!(started.elapsed() < PATIENCE, "{}", overrides());
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

/// The file as the version before the rename of the overrides wrote it after these commands: `SUSPEND s-1`,
/// `RESTORE s-1`, `SUSPEND s-0`, `PAUSE`. Processes of both versions share it during an upgrade.
const OVERRIDES_OF_PREVIOUS_VERSION: &str =
    "{\"version\":1,\"revision\":5,\"processes\":1,\"paused\":true,\
    \"suspended\":[\"s-0\"],\"restored\":{\"s-1\":1796291300171.371}}";

#[test]
fn honours_overrides_stored_by_previous_version_and_keeps_their_format() {
    let suspended = Upstream::start(|_| ok("suspended"));
    let used = Upstream::start(|_| ok("used"));
    let folder = folder("previous");
    let file = folder.join("herondock-orders.json");
    std::fs::write(&file, OVERRIDES_OF_PREVIOUS_VERSION).expect("writes");
    let node = Node::in_folder(&folder, None, &[suspended.addr, used.addr]);
    assert_eq!(
        node.asks(b"STATUS\n"),
        "YES serving, paused: clients are sent away\n"
    );
    node.comes_to("node_pool_ejected 1");
    assert_eq!(node.asks(b"RESUME\n"), "YES serving\n");
    let mut client = node.client();
    for id in 0..50 {
        assert_eq!(client.call(&get(&id.to_string(), "9000m")).body, b"used");
    }
    assert_eq!(suspended.further(), 0);
    // The previous version reads what this one wrote: the process has registered, and the pause is over.
    assert_eq!(
        std::fs::read_to_string(&file).expect("reads"),
        OVERRIDES_OF_PREVIOUS_VERSION
            .replace("\"revision\":5", "\"revision\":7")
            .replace("\"processes\":1", "\"processes\":2")
            .replace("\"paused\":true", "\"paused\":false")
    );
    assert_eq!(node.asks(b"RESTORE s-0\n"), "YES s-0 is in use\n");
    node.comes_to("node_pool_ejected 0");
}
