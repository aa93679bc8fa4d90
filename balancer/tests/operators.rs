//! The admin server and the commands of operators.
// A failed `expect` in a helper fails its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;

use common::*;
use std::io::Write;
use std::thread;

/// The value of a metric.
fn metric_value(balancer: &BalancerProcess, name: &str) -> u64 {
    let text = balancer.call_admin(b"METRICS\n");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {text}"))
        .parse()
        .expect("a count")
}

#[test]
fn answers_commands_with_yes_or_no() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    for (command, expected) in [
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
        assert_eq!(
            balancer.call_admin(command.as_bytes()),
            expected,
            "{command:?}"
        );
    }
    assert!(balancer
        .call_admin(b"status\n")
        .starts_with("NO unknown call"));
    for bytes in [&b"STATUS \xff\n"[..], &[b'x'; 600]] {
        assert!(balancer
            .call_admin(bytes)
            .starts_with("NO a call is one line"));
    }
    let mut incomplete = balancer.admin_connection();
    incomplete
        .get_mut()
        .write_all(b"SUSPEND s-0")
        .expect("writes");
    incomplete
        .get_mut()
        .shutdown(std::net::Shutdown::Write)
        .expect("a socket");
    assert!(
        read_all(incomplete).starts_with("NO a call is one line"),
        "a line without a line end was not rejected, although its id may be incomplete"
    );
    balancer.wait_for_metric("node_pool_ejected 0");
}

fn read_all(mut from: std::io::BufReader<std::net::TcpStream>) -> String {
    let mut text = String::new();
    std::io::Read::read_to_string(&mut from, &mut text).expect("a response");
    text
}

/// Guards against connections that send nothing and block commands.
#[test]
fn silent_connections_do_not_block_admin_server() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    let silent: Vec<_> = (0..60).map(|_| balancer.admin_connection()).collect();
    assert_eq!(balancer.call_admin(b"STATUS\n"), "YES serving\n");
    // The server keeps only a limited number of them open.
    balancer.wait_for_descriptors(|n| n < 45, "too many silent connections stay open");
    drop(silent);
}

#[test]
fn runs_no_admin_server_without_address_and_exits_with_one_line_for_bad_address() {
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
fn reads_admin_address_from_environment() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let discovery = StubDiscovery::start();
    let config = balancer_config(
        discovery.address,
        1024,
        &endpoint_list(1, true, &[(0, upstream.address, "active")]),
    );
    let mut command = balancer_command(&config);
    command.env("NODE_OPS", "127.0.0.1:0");
    let balancer = BalancerProcess::run(command, discovery);
    assert_eq!(balancer.call_admin(b"STATUS\n"), "YES serving\n");
}

#[test]
fn metrics_count_ended_and_active_requests() {
    let (release, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("held once");
            Reply::RespondAfterSignal(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        Some("bad") => empty_response("500 Internal Server Error"),
        _ => ok_response(""),
    });
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    let start = balancer.call_admin(b"METRICS\n");
    assert!(start.ends_with("END\n"), "{start}");
    for class in ["read", "order", "pay"] {
        for outcome in ["ok", "shed", "errors"] {
            assert!(
                start.contains(&format!("node_{outcome}{{kind=\"{class}\"}} 0\n")),
                "{start}"
            );
        }
    }
    let mut client = balancer.client();
    assert_eq!(client.call(&get_request("1", "9000m")).status(), 200);
    assert_eq!(client.call(&payment_request("bad", "9000m")).status(), 502);
    balancer.wait_for_metric("node_active 0");
    balancer.wait_for_metric("node_tries 2");
    let mut waiting = balancer.client_that_sent(&get_request("held", "9000m"));
    balancer.wait_for_metric("node_tries 3");
    assert_eq!(metric_value(&balancer, "node_active"), 1);
    release.send(()).expect("the upstream waits");
    assert_eq!(waiting.read_response().expect("a response").status(), 200);
    balancer.wait_for_metric("node_active 0");
    assert_eq!(
        balancer.call_admin(b"SUSPEND s-0\n"),
        "YES s-0 is left out\n"
    );
    assert_eq!(
        client.call(&get_request("2", "9000m")).status(),
        503,
        "the only listed upstream is suspended"
    );
    balancer.wait_for_metric("node_shed{kind=\"read\"} 1");
    for (name, expected) in [
        ("node_ok{kind=\"read\"}", 2),
        ("node_errors{kind=\"pay\"}", 1),
        ("node_shed{kind=\"pay\"}", 0),
        ("node_tries", 3),
        ("node_pool_size", 1),
        ("node_pool_ejected", 1),
        ("node_config_applied", 0),
    ] {
        assert_eq!(metric_value(&balancer, name), expected, "{name}");
    }
}

/// Guards against a balancer that opens a connection for each request without the metrics showing it.
#[test]
fn metrics_count_the_connections_opened_to_upstreams_and_those_open_now() {
    let upstream = StubUpstream::start(|request| match request.header("req-id") {
        Some("bad") => Reply::Respond("noise\r\n\r\n".into()),
        _ => ok_response(""),
    });
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    assert_eq!(
        metric_value(&balancer, "node_upstream_connections_opened"),
        0
    );
    let mut client = balancer.client();
    for id in ["1", "2"] {
        assert_eq!(client.call(&get_request(id, "9000m")).status(), 200);
    }
    balancer.wait_for_metric("node_upstream_connections_opened 1");
    balancer.wait_for_metric("node_upstream_connections_open 1");
    assert_eq!(client.call(&payment_request("bad", "9000m")).status(), 502);
    balancer.wait_for_metric("node_upstream_connections_open 0");
    assert_eq!(
        metric_value(&balancer, "node_upstream_connections_opened"),
        1
    );
}

/// Connections to a suspended upstream close, although the endpoint list reports it as active. Later lists do not restore
/// it.
#[test]
fn suspended_upstream_receives_nothing_until_it_is_restored() {
    let suspended = StubUpstream::start(|_| ok_response("suspended"));
    let other = StubUpstream::start(|_| ok_response("other"));
    let balancer = BalancerProcess::with_admin(&[suspended.address, other.address]);
    let mut client = balancer.client();
    let mut id = 0;
    // Sends requests until `upstream` serves one or `limit` are sent, and returns their number.
    let mut requests_until = |upstream: &str, limit: usize| -> usize {
        let mut requests = 0;
        loop {
            id += 1;
            requests += 1;
            let body = client.call(&get_request(&id.to_string(), "9000m")).body;
            if body == upstream.as_bytes() || requests >= limit {
                return requests;
            }
        }
    };
    assert!(
        requests_until("suspended", 1000) < 1000,
        "the upstream was not used within 1000 requests before its suspension"
    );
    assert_eq!(
        balancer.call_admin(b"SUSPEND s-0\n"),
        "YES s-0 is left out\n"
    );
    suspended.wait_for_closed_connection();
    assert_eq!(requests_until("suspended", 50), 50);
    let both = [
        (0, suspended.address, "active"),
        (1, other.address, "active"),
    ];
    balancer
        .discovery
        .respond(&endpoint_list(2, true, &both[1..]));
    balancer.discovery.respond(&endpoint_list(3, true, &both));
    // The balancer asks for changes since version 3 once it has applied that version.
    while !balancer.discovery.next_call_path().contains("since=3") {}
    assert_eq!(
        requests_until("suspended", 50),
        50,
        "the suspended upstream was used again after a list without it and then a list with it"
    );
    assert_eq!(balancer.call_admin(b"RESTORE s-0\n"), "YES s-0 is in use\n");
    assert!(
        requests_until("suspended", 100_000) < 100_000,
        "the upstream was not used within 100000 requests after RESTORE"
    );
}

/// While paused, the balancer fails readiness checks, closes idle connections, and closes each other connection after a
/// response. It still serves new connections. After RESUME it keeps connections open and is ready.
#[test]
fn pause_sends_clients_away_until_resume() {
    let (release, held) = std::sync::mpsc::channel();
    let held = std::sync::Mutex::new(Some(held));
    let upstream = StubUpstream::start(move |request| match request.header("req-id") {
        Some("held") => {
            let held = held.lock().expect("no panic").take().expect("held once");
            Reply::RespondAfterSignal(held, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => ok_response(""),
    });
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    let ready = || {
        balancer
            .client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status()
    };
    assert_eq!(ready(), 200);
    let mut unused = balancer.client();
    let mut used = balancer.client();
    assert_eq!(used.call(&get_request("1", "9000m")).status(), 200);
    let mut waiting = balancer.client_that_sent(&get_request("held", "9000m"));
    upstream.next_request();
    upstream.next_request();
    for _ in 0..2 {
        assert_eq!(balancer.call_admin(b"PAUSE\n"), "YES paused\n");
    }
    assert_eq!(
        balancer.call_admin(b"STATUS\n"),
        "YES serving, paused: clients are sent away\n"
    );
    assert_ne!(ready(), 200);
    assert!(used.read_response().is_none(), "idle connections close");
    let mut late = balancer.client();
    let response = late.call(&get_request("2", "9000m"));
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(late.read_response().is_none());
    release.send(()).expect("the upstream waits");
    let response = waiting.read_response().expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(
        unused.read_response().is_none(),
        "connections without a request close"
    );
    for _ in 0..2 {
        assert_eq!(balancer.call_admin(b"RESUME\n"), "YES serving\n");
    }
    assert_eq!(ready(), 200);
    let mut kept = balancer.client();
    for id in ["3", "4"] {
        assert_eq!(
            kept.call(&get_request(id, "9000m")).header("connection"),
            None
        );
    }
}

/// A client that has connected but not yet sent its request is not disconnected with the idle ones.
#[test]
fn pause_leaves_new_connections_time_for_a_request() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    let mut new = balancer.client();
    let mut used = balancer.client();
    assert_eq!(used.call(&get_request("1", "9000m")).status(), 200);
    assert_eq!(balancer.call_admin(b"PAUSE\n"), "YES paused\n");
    // `used` is closed although it has been idle for less time than `new` has been open.
    assert!(used.read_response().is_none());
    assert_eq!(new.call(&get_request("2", "9000m")).status(), 200);
}

#[test]
fn answers_all_concurrent_commands() {
    let upstream = StubUpstream::start(|_| ok_response(""));
    let balancer = BalancerProcess::with_admin(&[upstream.address]);
    let address = balancer.admin_address.expect("an admin address");
    thread::scope(|scope| {
        for command in ["SUSPEND s-0\n", "RESTORE s-0\n", "METRICS\n", "STATUS\n"].repeat(2) {
            scope.spawn(move || {
                for _ in 0..20 {
                    let response = call_admin(address, command.as_bytes());
                    assert!(
                        response.starts_with("YES") || response.ends_with("END\n"),
                        "{response}"
                    );
                }
            });
        }
    });
}
