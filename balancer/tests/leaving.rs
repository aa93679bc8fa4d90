//! Clients that leave while their request waits: each test is one way of waiting, played with every way of leaving, and
//! each of these also with bytes behind the request that nobody has read, which hide the end from a reader.
mod common;
use common::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Every way of leaving, without and with bytes behind the request.
fn ways() -> impl Iterator<Item = (Leaving, String)> {
    LEAVINGS
        .into_iter()
        .flat_map(|how| ["".to_string(), get("behind", "60000m")].map(|behind| (how, behind)))
}

/// Who has only half-closed is answered that it has failed, and nothing after that.
fn is_told(client: Option<Client>, status: u16, what: &str) {
    if let Some(mut client) = client {
        assert_eq!(client.answer().map(|a| a.status()), Some(status), "{what}");
        assert!(
            client.answer().is_none(),
            "{what}: what is behind it is not taken"
        );
    }
}

/// A balancer with a door and one upstream that does not come up yet, though dialling it has not been given up either.
fn dialling(cancel: bool) -> (Node, Unreachable) {
    let full = Unreachable::start();
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, full.addr, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":80000,\"idle_close\"")
    .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let node = Node::run(command(&door(&config)), discovery);
    // Its connection to discovery is up: one descriptor more would be taken for one that dials.
    node.discovery.called();
    (node, full)
}

#[test]
fn nothing_is_written_for_a_client_that_left_while_dialling() {
    for cancel in [true, false] {
        for (how, behind) in ways() {
            let what = format!("{how:?}, {} bytes behind, cancel {cancel}", behind.len());
            let (node, full) = dialling(cancel);
            let client = node.client_that_sent(&format!("{}{behind}", pay("gone", "60000m")));
            node.comes_to("node_active 1");
            let client = client.leave(how);
            node.comes_to("node_active 0");
            is_told(client, 502, &what);
            // Where nothing is called off it gets through now, and has nothing to say.
            if !cancel {
                assert!(read(&mut full.reach()).is_none(), "{what}");
            }
            node.comes_to("node_tries 0");
        }
    }
}

#[test]
fn nothing_is_written_for_a_large_request_whose_client_left_while_dialling() {
    for how in LEAVINGS {
        let (node, full) = dialling(false);
        // More than is taken whole, and no more than the system holds: behind that an end cannot arrive.
        let body = "x".repeat(70_000);
        let head = pay("gone", "60000m").replace(
            "Content-Length: 4\r\n\r\nbody",
            "Content-Length: 70000\r\n\r\n",
        );
        let without = node.descriptors();
        let client = node.client_that_sent(&format!("{head}{body}"));
        // The caller's socket and the one that dials.
        node.holds(|n| n >= without + 2, "it does not dial");
        let client = client.leave(how);
        if client.is_none() {
            node.holds(|n| n <= without + 1, "it does not see that the client left");
        }
        is_told(client, 502, &format!("{how:?}"));
        assert!(read(&mut full.reach()).is_none(), "{how:?}");
    }
}

#[test]
fn no_retry_follows_for_a_client_that_left_between_attempts() {
    for (how, behind) in ways() {
        let what = format!("{how:?}, {} bytes behind", behind.len());
        let (go, held) = channel();
        let held = Mutex::new(Some(held));
        let declined =
            "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
        let upstream = Upstream::start(move |_| match held.lock().expect("no panic").take() {
            Some(word) => Then::Hold(word, declined.into()),
            None => ok("x"),
        });
        let discovery = Discovery::start();
        let config = config(
            discovery.addr,
            1024,
            &listing(1, true, &[(0, upstream.addr, "active")]),
        )
        .replace("\"cancel\":true", "\"cancel\":false");
        let node = Node::run(command(&door(&config)), discovery);
        let client = node.client_that_sent(&format!("{}{behind}", pay("gone", "60000m")));
        assert_eq!(upstream.request().header("req-id"), Some("gone"), "{what}");
        let client = client.leave(how);
        node.comes_to("node_active 0");
        go.send(()).expect("the upstream waits");
        is_told(client, 502, &what);
        assert_eq!(
            node.client().call(&get("next", "15000m")).status(),
            200,
            "{what}"
        );
        assert_eq!(upstream.request().header("req-id"), Some("next"), "{what}");
        assert_eq!(upstream.further(), 0, "{what}");
    }
}

#[test]
fn what_is_out_is_called_off_for_a_client_that_left() {
    for (how, behind) in ways() {
        let what = format!("{how:?}, {} bytes behind", behind.len());
        let upstream = Upstream::start(|m| {
            if m.header("req-id") == Some("next") {
                ok("x")
            } else {
                Then::Wait
            }
        });
        let node = Node::with(&[upstream.addr]);
        let client = node.client_that_sent(&format!("{}{behind}", pay("gone", "60000m")));
        upstream.request();
        let client = client.leave(how);
        upstream.closed();
        is_told(client, 502, &what);
        assert_eq!(
            node.client().call(&get("next", "15000m")).status(),
            200,
            "{what}"
        );
        assert_eq!(upstream.request().header("req-id"), Some("next"), "{what}");
    }
}

/// An attempt that begins over 0.1 s after its client left breaks a rule. Who left behind bytes that nobody read was
/// looked for every 0.1 s, counted from when these came.
#[test]
fn a_client_that_leaves_behind_unread_bytes_is_seen_at_once() {
    let upstream = Upstream::start(|_| Then::Wait);
    let node = Node::with(&[upstream.addr]);
    for how in LEAVINGS {
        // The best of some, as a busy machine may be late; each was late by what is left of 0.1 s.
        let rounds = (0..5).map(|round| {
            let client = node.client_that_sent(&pay(&format!("{how:?}{round}"), "60000m"));
            upstream.request();
            let mut client = client;
            client.send(&get("behind", "60000m"));
            std::thread::sleep(Duration::from_millis(10));
            let left = Instant::now();
            let kept = client.leave(how);
            upstream.closed();
            drop(kept);
            left.elapsed()
        });
        let best = rounds.min().expect("some rounds");
        assert!(best < Duration::from_millis(50), "{how:?}: {best:?}");
    }
}

/// What lies unread while its connection is waited on is read once it is its turn.
#[test]
fn a_request_that_came_behind_a_waiting_one_is_served_after_it() {
    let (go, held) = channel();
    let held = Mutex::new(Some(held));
    let upstream = Upstream::start(move |_| match held.lock().expect("no panic").take() {
        Some(word) => Then::Hold(
            word,
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst".into(),
        ),
        None => ok("second"),
    });
    let node = Node::with(&[upstream.addr]);
    let mut client = node.client_that_sent(&get("r1", "15000m"));
    upstream.request();
    // More than is read at once, so that some of it lies in the system.
    let many: String = (2..400).map(|i| get(&format!("r{i}"), "15000m")).collect();
    client.send(&many);
    std::thread::sleep(Duration::from_millis(20));
    go.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").body, b"first");
    for i in 2..400 {
        assert_eq!(
            client.answer().map(|a| a.body),
            Some(b"second".to_vec()),
            "request {i}"
        );
    }
}

/// Callers that wait for a place have written their requests: one that left meanwhile is not sent on.
#[test]
fn a_request_whose_client_left_before_there_was_a_place_is_not_sent_on() {
    for (how, behind) in ways() {
        let what = format!("{how:?}, {} bytes behind", behind.len());
        let (go, held) = channel();
        let held = Mutex::new(Some(held));
        let served = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
        let upstream = Upstream::start(move |m| match held.lock().expect("no panic").take() {
            Some(word) => Then::Hold(word, served.into()),
            None if m.header("req-id") == Some("next") => ok("x"),
            None => Then::Wait,
        });
        let node = Node::start(64, &listing(1, true, &[(0, upstream.addr, "active")]));
        // All places are taken by callers that wait for their answers; the first of them can be given one.
        let mut first = node.client_that_sent(&pay("r0", "15000m"));
        upstream.request();
        let busy = |i| {
            let client = node.client_that_sent(&get(&format!("r{i}"), "15000m"));
            upstream.request();
            client
        };
        let others: Vec<Client> = (1..20).map(busy).collect();
        let client = node
            .client_that_sent(&format!("{}{behind}", pay("gone", "60000m")))
            .leave(how);
        go.send(()).expect("the upstream waits");
        assert_eq!(first.answer().map(|a| a.status()), Some(200), "{what}");
        is_told(client, 503, &what);
        // Who came later is served later.
        assert_eq!(
            node.client().call(&get("next", "15000m")).status(),
            200,
            "{what}"
        );
        assert_eq!(upstream.request().header("req-id"), Some("next"), "{what}");
        drop(others);
    }
}
