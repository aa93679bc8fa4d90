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
    let (mut client, mut calls) = (Client::to(to), 0);
    while !stop.load(Ordering::SeqCst) {
        let answer = client.call(&get(&format!("{name}-{calls}"), "15000m"));
        assert_eq!(answer.status(), 200);
        calls += 1;
        if answer.header("connection") == Some("close") {
            client = Client::to(to);
        }
    }
    calls
}

/// No caller's connection rests for long, so that none is closed while a request is on its way.
#[test]
fn an_upgrade_turns_no_request_back() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("upgrade");
    let mut old = Node::in_folder(&folder, None, &[upstream.addr]);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|name| {
            let (to, stop) = (old.addr, stop.clone());
            thread::spawn(move || calls(to, name, stop))
        })
        .collect();
    for _ in 0..3 {
        let new = Node::in_folder(&folder, Some(&old), &[upstream.addr]);
        assert_eq!(new.asks(b"STATUS\n"), "YES serving\n");
        old.terminate();
        assert!(old.wait().success(), "{:?}", old.log());
        old = new;
    }
    // The last one serves, too.
    assert_eq!(old.client().call(&get("last", "9000m")).status(), 200);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        assert!(caller.join().expect("none is turned back") > 0);
    }
}

/// Orders given before, at the old door and at the new one, hold for both.
#[test]
fn orders_hold_for_both_processes_and_after_the_old_one() {
    let (out, used) = (
        Upstream::start(|_| ok("out")),
        Upstream::start(|_| ok("used")),
    );
    let upstreams = [out.addr, used.addr, used.addr];
    let folder = folder("orders");
    let mut old = Node::in_folder(&folder, None, &upstreams);
    assert_eq!(old.asks(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    let new = Node::in_folder(&folder, Some(&old), &upstreams);
    let (old_door, new_door) = (old.ops.expect("a door"), new.ops.expect("a door"));
    assert!(
        new.asks(b"METRICS\n").contains("node_pool_ejected 1\n"),
        "given before it was started"
    );
    assert_eq!(new.asks(b"SUSPEND s-1\n"), "YES s-1 is left out\n");
    comes_to(old_door, "node_pool_ejected 2");
    assert_eq!(old.asks(b"RESTORE s-1\n"), "YES s-1 is in use\n");
    comes_to(new_door, "node_pool_ejected 1");
    assert_eq!(old.asks(b"PAUSE\n"), "YES paused\n");
    let started = Instant::now();
    while new.asks(b"STATUS\n") == "YES serving\n" {
        assert!(started.elapsed() < PATIENCE, "the pause is not heard of");
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
    assert_eq!(out.further(), 0);
}

/// The front's question on a kept connection must not send it away from the new process.
#[test]
fn the_old_process_stays_ready_while_it_hands_over() {
    let (word, held) = std::sync::mpsc::channel();
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
    word.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(
        client.answer().expect("an answer to the front").status(),
        200
    );
    assert!(old.wait().success());
}

/// The program would cut an answer off itself if it ended by its time; that is left to whoever kills it.
#[test]
fn an_answer_that_is_passed_on_outlasts_the_time_to_end() {
    const LARGE: usize = 1 << 20;
    let (word, held) = std::sync::mpsc::channel();
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
    // At the time at which all else has ended.
    old.logs("1 answers are still being passed on");
    word.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body.len(), LARGE);
    assert!(old.wait().success());
}

#[test]
fn a_new_process_that_fails_to_start_leaves_the_old_one_serving() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("fails");
    let old = Node::in_folder(&folder, None, &[upstream.addr]);
    let taken = old.ops.expect("a door");
    let config = door(&config(refusing(), 1024, "null"))
        .replace("127.0.0.1:0\",\"listen", &format!("{taken}\",\"listen"));
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
fn orders_that_cannot_be_read_are_told_of_and_passed_over() {
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

/// A new process that cannot write to the folder as it begins to serve is known to the old one once it can.
#[test]
fn a_new_process_is_known_once_the_folder_can_be_written_again() {
    let upstream = Upstream::start(|_| ok(""));
    let folder = folder("heals");
    let old = Node::in_folder(&folder, None, &[upstream.addr]);
    let aside = folder.with_extension("aside");
    std::fs::rename(&folder, &aside).expect("renames");
    let new = Node::in_folder(&folder, Some(&old), &[upstream.addr]);
    assert_eq!(new.asks(b"STATUS\n"), "YES serving\n");
    std::fs::rename(&aside, &folder).expect("renames");
    let started = std::time::Instant::now();
    let orders =
        || std::fs::read_to_string(folder.join("herondock-orders.json")).unwrap_or_default();
    while !orders().contains("\"processes\":2") {
        assert!(started.elapsed() < PATIENCE, "{}", orders());
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}
