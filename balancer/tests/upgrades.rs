//! Two processes of one balancer: the new one takes over while callers go on calling.
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// Calls until told to stop, on one connection for as long as it lasts, and counts. What is turned back fails it.
fn calls(to: SocketAddr, name: usize, stop: Arc<AtomicBool>) -> usize {
    let (mut client, mut calls) = (Client::connect(to), 0);
    while !stop.load(Ordering::SeqCst) {
        let answer = client.call(&get_request(&format!("{name}-{calls}"), "15000m"));
        assert_eq!(answer.status(), 200);
        calls += 1;
        if answer.header("connection") == Some("close") {
            client = Client::connect(to);
        }
    }
    calls
}

/// No caller's connection rests for long, so that none is closed while a request is on its way.
#[test]
fn an_upgrade_turns_no_request_back() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("upgrade");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|name| {
            let (to, stop) = (old.address, stop.clone());
            thread::spawn(move || calls(to, name, stop))
        })
        .collect();
    for _ in 0..3 {
        let new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream.address]);
        assert_eq!(new.call_admin(b"STATUS\n"), "YES serving\n");
        old.terminate();
        assert!(old.wait_for_exit().success(), "{:?}", old.log_lines());
        old = new;
    }
    // The last one serves, too.
    assert_eq!(
        old.client().call(&get_request("last", "9000m")).status(),
        200
    );
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        assert!(caller.join().expect("none is turned back") > 0);
    }
}

/// Orders given before, at the old door and at the new one, hold for both.
#[test]
fn orders_hold_for_both_processes_and_after_the_old_one() {
    let (out, used) = (
        StubUpstream::start(|_| ok_response("out")),
        StubUpstream::start(|_| ok_response("used")),
    );
    let upstreams = [out.address, used.address, used.address];
    let folder = state_folder("orders");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &upstreams);
    assert_eq!(old.call_admin(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    let new = BalancerProcess::in_state_folder(&folder, Some(&old), &upstreams);
    let (old_door, new_door) = (
        old.admin_address.expect("a door"),
        new.admin_address.expect("a door"),
    );
    assert!(
        new.call_admin(b"METRICS\n")
            .contains("node_pool_ejected 1\n"),
        "given before it was started"
    );
    assert_eq!(new.call_admin(b"SUSPEND s-1\n"), "YES s-1 is left out\n");
    wait_for_metric(old_door, "node_pool_ejected 2");
    assert_eq!(old.call_admin(b"RESTORE s-1\n"), "YES s-1 is in use\n");
    wait_for_metric(new_door, "node_pool_ejected 1");
    assert_eq!(old.call_admin(b"PAUSE\n"), "YES paused\n");
    let started = Instant::now();
    while new.call_admin(b"STATUS\n") == "YES serving\n" {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the pause is not heard of"
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
    assert_eq!(out.further_request_count(), 0);
}

/// The front's question on a kept connection must not send it away from the new process.
#[test]
fn the_old_process_stays_ready_while_it_hands_over() {
    let (word, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("one is held");
            Reply::RespondAfterSignal(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => ok_response(""),
    });
    let folder = state_folder("ready");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let both = format!(
        "{}GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        get_request("held", "9000m")
    );
    let mut client = old.client_that_sent(&both);
    upstream.next_request();
    let _new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream.address]);
    old.terminate();
    old.wait_for_log("told to end");
    word.send(()).expect("the upstream waits");
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    assert_eq!(
        client
            .read_response()
            .expect("an answer to the front")
            .status(),
        200
    );
    assert!(old.wait_for_exit().success());
}

/// The program would cut an answer off itself if it ended by its time; that is left to whoever kills it.
#[test]
fn an_answer_that_is_passed_on_outlasts_the_time_to_end() {
    const LARGE: usize = 1 << 20;
    let (word, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |_| {
        let held = held.lock().expect("no panic").take().expect("one is held");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        Reply::RespondInTwoParts(text, held, "x".repeat(LARGE))
    });
    let folder = state_folder("outlasts");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let mut client = old.client_that_sent(&get_request("r1", "9000m"));
    upstream.next_request();
    old.wait_for_metric("node_tries 1");
    old.terminate();
    // At the time at which all else has ended.
    old.wait_for_log("1 answers are still being passed on");
    word.send(()).expect("the upstream waits");
    assert_eq!(client.read_response().expect("an answer").body.len(), LARGE);
    assert!(old.wait_for_exit().success());
}

#[test]
fn a_new_process_that_fails_to_start_leaves_the_old_one_serving() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("fails");
    let old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let taken = old.admin_address.expect("a door");
    let config = with_admin_endpoint(&balancer_config(refusing_address(), 1024, "null"))
        .replace("127.0.0.1:0\",\"listen", &format!("{taken}\",\"listen"));
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
fn orders_that_cannot_be_read_are_told_of_and_passed_over() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("torn");
    std::fs::write(
        folder.join("herondock-orders.json"),
        "{\"version\":1,\"susp",
    )
    .expect("writes");
    let node = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    assert_eq!(node.client().call(&get_request("1", "9000m")).status(), 200);
    assert_eq!(node.call_admin(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
}

/// A new process that cannot write to the folder as it begins to serve is known to the old one once it can.
#[test]
fn a_new_process_is_known_once_the_folder_can_be_written_again() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let folder = state_folder("heals");
    let old = BalancerProcess::in_state_folder(&folder, None, &[upstream.address]);
    let aside = folder.with_extension("aside");
    std::fs::rename(&folder, &aside).expect("renames");
    let new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream.address]);
    assert_eq!(new.call_admin(b"STATUS\n"), "YES serving\n");
    std::fs::rename(&aside, &folder).expect("renames");
    let started = std::time::Instant::now();
    let orders =
        || std::fs::read_to_string(folder.join("herondock-orders.json")).unwrap_or_default();
    while !orders().contains("\"processes\":2") {
        assert!(started.elapsed() < TEST_TIMEOUT, "{}", orders());
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}
