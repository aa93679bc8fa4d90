//! The operators' door, and what staff do through it.
mod common;

use common::*;
use std::io::Write;
use std::thread;

fn figure(node: &Node, name: &str) -> u64 {
    let text = node.asks(b"METRICS\n");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {text}"))
        .parse()
        .expect("a count")
}

#[test]
fn calls_are_answered_with_yes_or_no() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::with_door(&[upstream.addr]);
    for (call, wanted) in [
        ("STATUS\n", "YES serving\n"),
        ("STATUS\r\n", "YES serving\n"),
        ("STATUS now\n", "NO STATUS takes nothing\n"),
        ("METRICS now\n", "NO METRICS takes nothing\n"),
        ("SUSPEND s-0\n", "YES s-0 is left out\n"),
        ("SUSPEND s-0\n", "YES s-0 is left out\n"),
        ("RESTORE s-0\n", "YES s-0 is in use\n"),
        ("RESTORE s-0\n", "YES s-0 is in use\n"),
        ("SUSPEND s-9\n", "NO no upstream \"s-9\" is known\n"),
        ("RESTORE s-9\n", "NO no upstream \"s-9\" is known\n"),
        ("SUSPEND\n", "NO SUSPEND takes the id of one upstream\n"),
        (
            "RESTORE s-0 s-0\n",
            "NO RESTORE takes the id of one upstream\n",
        ),
        ("\n", "NO the line is empty\n"),
    ] {
        assert_eq!(node.asks(call.as_bytes()), wanted, "{call:?}");
    }
    assert!(node.asks(b"status\n").starts_with("NO unknown call"));
    for bytes in [&b"STATUS \xff\n"[..], &[b'x'; 600]] {
        assert!(node.asks(bytes).starts_with("NO a call is one line"));
    }
    let mut half = node.caller();
    half.get_mut().write_all(b"SUSPEND s-0").expect("writes");
    half.get_mut()
        .shutdown(std::net::Shutdown::Write)
        .expect("a socket");
    assert!(
        read_all(half).starts_with("NO a call is one line"),
        "half a line may be half an id"
    );
    node.comes_to("node_pool_ejected 0");
}

fn read_all(mut from: std::io::BufReader<std::net::TcpStream>) -> String {
    let mut text = String::new();
    std::io::Read::read_to_string(&mut from, &mut text).expect("an answer");
    text
}

/// Callers that stay without a call, by the dozen, shut out none that has one.
#[test]
fn silent_callers_do_not_hold_the_door() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::with_door(&[upstream.addr]);
    let silent: Vec<_> = (0..60).map(|_| node.caller()).collect();
    assert_eq!(node.asks(b"STATUS\n"), "YES serving\n");
    // It keeps only so many of them.
    node.holds(|n| n < 45, "silent callers fill its descriptors");
    drop(silent);
}

#[test]
fn without_an_address_there_is_no_door_and_a_bad_one_ends_the_program_with_one_line() {
    let upstream = Upstream::start(|_| ok(""));
    assert_eq!(Node::with(&[upstream.addr]).ops, None);
    let config = config(refusing(), 1024, "null");
    for config in [
        door(&config).replace("\"ops\":\"127.0.0.1:0\"", "\"ops\":\"door\""),
        { door(&config).replace("\"ops\":\"127.0.0.1:0\"", "\"ops\":\"192.0.2.1:9\"") },
    ] {
        let output = command(&config).output().expect("runs");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success());
        assert!(
            log.starts_with("balancer: ops: ") && log.lines().count() == 1,
            "{log}"
        );
    }
}

#[test]
fn the_environment_names_the_door_too() {
    let upstream = Upstream::start(|_| ok(""));
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    let mut command = command(&config);
    command.env("NODE_OPS", "127.0.0.1:0");
    let node = Node::run(command, discovery);
    assert_eq!(node.asks(b"STATUS\n"), "YES serving\n");
}

#[test]
fn figures_tell_how_requests_ended_and_what_is_under_way() {
    let (word, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = Upstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("one is held");
            Then::Hold(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        Some("bad") => status("500 Internal Server Error"),
        _ => ok(""),
    });
    let node = Node::with_door(&[upstream.addr]);
    let start = node.asks(b"METRICS\n");
    assert!(start.ends_with("END\n"), "{start}");
    for class in ["read", "order", "pay"] {
        for outcome in ["ok", "shed", "errors"] {
            assert!(
                start.contains(&format!("node_{outcome}{{kind=\"{class}\"}} 0\n")),
                "{start}"
            );
        }
    }
    let mut client = node.client();
    assert_eq!(client.call(&get("1", "9000m")).status(), 200);
    assert_eq!(client.call(&pay("bad", "9000m")).status(), 502);
    node.comes_to("node_active 0");
    node.comes_to("node_tries 2");
    let mut waits = node.client_that_sent(&get("held", "9000m"));
    node.comes_to("node_tries 3");
    assert_eq!(figure(&node, "node_active"), 1);
    word.send(()).expect("the upstream waits");
    assert_eq!(waits.answer().expect("an answer").status(), 200);
    node.comes_to("node_active 0");
    assert_eq!(node.asks(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    assert_eq!(
        client.call(&get("2", "9000m")).status(),
        503,
        "nothing else is left"
    );
    node.comes_to("node_shed{kind=\"read\"} 1");
    for (name, wanted) in [
        ("node_ok{kind=\"read\"}", 2),
        ("node_errors{kind=\"pay\"}", 1),
        ("node_shed{kind=\"pay\"}", 0),
        ("node_tries", 3),
        ("node_pool_size", 1),
        ("node_pool_ejected", 1),
        ("node_config_applied", 0),
    ] {
        assert_eq!(figure(&node, name), wanted, "{name}");
    }
}

/// The list calls it active throughout; kept connections to it close, and later lists do not bring it back.
#[test]
fn a_suspended_upstream_gets_nothing_until_it_is_restored() {
    let out = Upstream::start(|_| ok("out"));
    let other = Upstream::start(|_| ok("other"));
    let node = Node::with_door(&[out.addr, other.addr]);
    let mut client = node.client();
    let mut id = 0;
    let mut served = |until: &str, most: usize| -> usize {
        let mut calls = 0;
        loop {
            (id, calls) = (id + 1, calls + 1);
            let body = client.call(&get(&id.to_string(), "9000m")).body;
            if body == until.as_bytes() || calls >= most {
                return calls;
            }
        }
    };
    assert!(served("out", 1000) < 1000, "it is in use before");
    assert_eq!(node.asks(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    out.closed();
    assert_eq!(served("out", 50), 50);
    let both = [(0, out.addr, "active"), (1, other.addr, "active")];
    node.discovery.answer(&listing(2, true, &both[1..]));
    node.discovery.answer(&listing(3, true, &both));
    // Only once the answer before is taken it asks for what follows.
    while !node.discovery.called().contains("since=3") {}
    assert_eq!(served("out", 50), 50, "gone and back");
    assert_eq!(node.asks(b"RESTORE s-0\n"), "YES s-0 is in use\n");
    assert!(served("out", 100_000) < 100_000, "it is in use again");
}

/// Sent away: the front is told, answers close their connections, and those at rest are closed; who still comes
/// is served. Afterwards all is as before.
#[test]
fn a_pause_sends_clients_away_and_a_resume_ends_it() {
    let (word, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = Upstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("one is held");
            Then::Hold(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => ok(""),
    });
    let node = Node::with_door(&[upstream.addr]);
    let ready = || {
        node.client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status()
    };
    assert_eq!(ready(), 200);
    let (mut rests, mut used) = (node.client(), node.client());
    assert_eq!(used.call(&get("1", "9000m")).status(), 200);
    let mut waits = node.client_that_sent(&get("held", "9000m"));
    upstream.request();
    upstream.request();
    for _ in 0..2 {
        assert_eq!(node.asks(b"PAUSE\n"), "YES paused\n");
    }
    assert_eq!(
        node.asks(b"STATUS\n"),
        "YES serving, paused: clients are sent away\n"
    );
    assert_ne!(ready(), 200);
    assert!(used.answer().is_none(), "connections at rest close");
    let mut late = node.client();
    let answer = late.call(&get("2", "9000m"));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(late.answer().is_none());
    word.send(()).expect("the upstream waits");
    let answer = waits.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(rests.answer().is_none(), "and those that ask for nothing");
    for _ in 0..2 {
        assert_eq!(node.asks(b"RESUME\n"), "YES serving\n");
    }
    assert_eq!(ready(), 200);
    let mut kept = node.client();
    for id in ["3", "4"] {
        assert_eq!(kept.call(&get(id, "9000m")).header("connection"), None);
    }
}

/// A caller that came for a request and has not begun to write it is not turned away with those that rest.
#[test]
fn a_pause_leaves_newcomers_time_to_ask() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::with_door(&[upstream.addr]);
    let (mut newcomer, mut used) = (node.client(), node.client());
    assert_eq!(used.call(&get("1", "9000m")).status(), 200);
    assert_eq!(node.asks(b"PAUSE\n"), "YES paused\n");
    // It has rested for less than the other has been there.
    assert!(used.answer().is_none());
    assert_eq!(newcomer.call(&get("2", "9000m")).status(), 200);
}

/// However many calls come at once, each has its answer.
#[test]
fn calls_at_once_are_all_answered() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::with_door(&[upstream.addr]);
    let door = node.ops.expect("a door");
    thread::scope(|scope| {
        for call in ["SUSPEND s-0\n", "RESTORE s-0\n", "METRICS\n", "STATUS\n"].repeat(2) {
            scope.spawn(move || {
                for _ in 0..20 {
                    let answer = asks(door, call.as_bytes());
                    assert!(
                        answer.starts_with("YES") || answer.ends_with("END\n"),
                        "{answer}"
                    );
                }
            });
        }
    });
}
