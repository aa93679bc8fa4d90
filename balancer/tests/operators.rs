//! The operators' door, and what staff do through it.
mod common;

use common::*;
use std::io::Write;
use std::thread;

fn figure(node: &BalancerProcess, name: &str) -> u64 {
    let text = node.call_admin(b"METRICS\n");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {text}"))
        .parse()
        .expect("a count")
}

#[test]
fn calls_are_answered_with_yes_or_no() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let node = BalancerProcess::with_admin(&[upstream.address]);
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
        assert_eq!(node.call_admin(call.as_bytes()), wanted, "{call:?}");
    }
    assert!(node.call_admin(b"status\n").starts_with("NO unknown call"));
    for bytes in [&b"STATUS \xff\n"[..], &[b'x'; 600]] {
        assert!(node.call_admin(bytes).starts_with("NO a call is one line"));
    }
    let mut half = node.admin_connection();
    half.get_mut().write_all(b"SUSPEND s-0").expect("writes");
    half.get_mut()
        .shutdown(std::net::Shutdown::Write)
        .expect("a socket");
    assert!(
        read_all(half).starts_with("NO a call is one line"),
        "half a line may be half an id"
    );
    node.wait_for_metric("node_pool_ejected 0");
}

fn read_all(mut from: std::io::BufReader<std::net::TcpStream>) -> String {
    let mut text = String::new();
    std::io::Read::read_to_string(&mut from, &mut text).expect("an answer");
    text
}

/// Callers that stay without a call, by the dozen, shut out none that has one.
#[test]
fn silent_callers_do_not_hold_the_door() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let node = BalancerProcess::with_admin(&[upstream.address]);
    let silent: Vec<_> = (0..60).map(|_| node.admin_connection()).collect();
    assert_eq!(node.call_admin(b"STATUS\n"), "YES serving\n");
    // It keeps only so many of them.
    node.wait_for_descriptors(|n| n < 45, "silent callers fill its descriptors");
    drop(silent);
}

#[test]
fn without_an_address_there_is_no_door_and_a_bad_one_ends_the_program_with_one_line() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    assert_eq!(
        BalancerProcess::with_upstreams(&[upstream.address]).admin_address,
        None
    );
    let config = balancer_config(refusing_address(), 1024, "null");
    for config in [
        with_admin_endpoint(&config).replace("\"ops\":\"127.0.0.1:0\"", "\"ops\":\"door\""),
        {
            with_admin_endpoint(&config)
                .replace("\"ops\":\"127.0.0.1:0\"", "\"ops\":\"192.0.2.1:9\"")
        },
    ] {
        let output = balancer_command(&config).output().expect("runs");
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
    let upstream = StubUpstream::start(|_| ok_response(""));
    let discovery = StubDiscovery::start();
    let config = balancer_config(
        discovery.address,
        1024,
        &endpoint_list(1, true, &[(0, upstream.address, "active")]),
    );
    let mut command = balancer_command(&config);
    command.env("NODE_OPS", "127.0.0.1:0");
    let node = BalancerProcess::run(command, discovery);
    assert_eq!(node.call_admin(b"STATUS\n"), "YES serving\n");
}

#[test]
fn figures_tell_how_requests_ended_and_what_is_under_way() {
    let (word, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("one is held");
            Reply::RespondAfterSignal(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        Some("bad") => empty_response("500 Internal Server Error"),
        _ => ok_response(""),
    });
    let node = BalancerProcess::with_admin(&[upstream.address]);
    let start = node.call_admin(b"METRICS\n");
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
    assert_eq!(client.call(&get_request("1", "9000m")).status(), 200);
    assert_eq!(client.call(&payment_request("bad", "9000m")).status(), 502);
    node.wait_for_metric("node_active 0");
    node.wait_for_metric("node_tries 2");
    let mut waits = node.client_that_sent(&get_request("held", "9000m"));
    node.wait_for_metric("node_tries 3");
    assert_eq!(figure(&node, "node_active"), 1);
    word.send(()).expect("the upstream waits");
    assert_eq!(waits.read_response().expect("an answer").status(), 200);
    node.wait_for_metric("node_active 0");
    assert_eq!(node.call_admin(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    assert_eq!(
        client.call(&get_request("2", "9000m")).status(),
        503,
        "nothing else is left"
    );
    node.wait_for_metric("node_shed{kind=\"read\"} 1");
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
    let out = StubUpstream::start(|_| ok_response("out"));
    let other = StubUpstream::start(|_| ok_response("other"));
    let node = BalancerProcess::with_admin(&[out.address, other.address]);
    let mut client = node.client();
    let mut id = 0;
    let mut served = |until: &str, most: usize| -> usize {
        let mut calls = 0;
        loop {
            (id, calls) = (id + 1, calls + 1);
            let body = client.call(&get_request(&id.to_string(), "9000m")).body;
            if body == until.as_bytes() || calls >= most {
                return calls;
            }
        }
    };
    assert!(served("out", 1000) < 1000, "it is in use before");
    assert_eq!(node.call_admin(b"SUSPEND s-0\n"), "YES s-0 is left out\n");
    out.wait_for_closed_connection();
    assert_eq!(served("out", 50), 50);
    let both = [(0, out.address, "active"), (1, other.address, "active")];
    node.discovery.respond(&endpoint_list(2, true, &both[1..]));
    node.discovery.respond(&endpoint_list(3, true, &both));
    // Only once the answer before is taken it asks for what follows.
    while !node.discovery.next_call_path().contains("since=3") {}
    assert_eq!(served("out", 50), 50, "gone and back");
    assert_eq!(node.call_admin(b"RESTORE s-0\n"), "YES s-0 is in use\n");
    assert!(served("out", 100_000) < 100_000, "it is in use again");
}

/// Sent away: the front is told, answers close their connections, and those at rest are closed; who still comes
/// is served. Afterwards all is as before.
#[test]
fn a_pause_sends_clients_away_and_a_resume_ends_it() {
    let (word, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("one is held");
            Reply::RespondAfterSignal(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => ok_response(""),
    });
    let node = BalancerProcess::with_admin(&[upstream.address]);
    let ready = || {
        node.client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status()
    };
    assert_eq!(ready(), 200);
    let (mut rests, mut used) = (node.client(), node.client());
    assert_eq!(used.call(&get_request("1", "9000m")).status(), 200);
    let mut waits = node.client_that_sent(&get_request("held", "9000m"));
    upstream.next_request();
    upstream.next_request();
    for _ in 0..2 {
        assert_eq!(node.call_admin(b"PAUSE\n"), "YES paused\n");
    }
    assert_eq!(
        node.call_admin(b"STATUS\n"),
        "YES serving, paused: clients are sent away\n"
    );
    assert_ne!(ready(), 200);
    assert!(used.read_response().is_none(), "connections at rest close");
    let mut late = node.client();
    let answer = late.call(&get_request("2", "9000m"));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(late.read_response().is_none());
    word.send(()).expect("the upstream waits");
    let answer = waits.read_response().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(
        rests.read_response().is_none(),
        "and those that ask for nothing"
    );
    for _ in 0..2 {
        assert_eq!(node.call_admin(b"RESUME\n"), "YES serving\n");
    }
    assert_eq!(ready(), 200);
    let mut kept = node.client();
    for id in ["3", "4"] {
        assert_eq!(
            kept.call(&get_request(id, "9000m")).header("connection"),
            None
        );
    }
}

/// A caller that came for a request and has not begun to write it is not turned away with those that rest.
#[test]
fn a_pause_leaves_newcomers_time_to_ask() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let node = BalancerProcess::with_admin(&[upstream.address]);
    let (mut newcomer, mut used) = (node.client(), node.client());
    assert_eq!(used.call(&get_request("1", "9000m")).status(), 200);
    assert_eq!(node.call_admin(b"PAUSE\n"), "YES paused\n");
    // It has rested for less than the other has been there.
    assert!(used.read_response().is_none());
    assert_eq!(newcomer.call(&get_request("2", "9000m")).status(), 200);
}

/// However many calls come at once, each has its answer.
#[test]
fn calls_at_once_are_all_answered() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let node = BalancerProcess::with_admin(&[upstream.address]);
    let door = node.admin_address.expect("a door");
    thread::scope(|scope| {
        for call in ["SUSPEND s-0\n", "RESTORE s-0\n", "METRICS\n", "STATUS\n"].repeat(2) {
            scope.spawn(move || {
                for _ in 0..20 {
                    let answer = call_admin(door, call.as_bytes());
                    assert!(
                        answer.starts_with("YES") || answer.ends_with("END\n"),
                        "{answer}"
                    );
                }
            });
        }
    });
}
