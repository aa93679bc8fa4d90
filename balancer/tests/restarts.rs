//! A balancer that starts again, whatever it finds: it is ready within 10 s.
mod common;
use common::*;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// More upstreams than any fleet has had, all at one address.
const MANY: usize = 1024;
const READY_WITHIN: Duration = Duration::from_secs(10);

fn many(addr: SocketAddr) -> Vec<(usize, SocketAddr, &'static str)> {
    (0..MANY).map(|n| (n, addr, "active")).collect()
}

/// Waits until it says that it is ready, which it has to in time.
fn is_ready(node: &BalancerProcess, since: Instant) {
    while node.client().call("GET /-/ready HTTP/1.1\r\n\r\n").status() != 200 {
        assert!(since.elapsed() < READY_WITHIN, "not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(since.elapsed() < READY_WITHIN, "{:?}", since.elapsed());
}

fn pushed(config: String, pushed: bool) -> String {
    if pushed {
        config.replace("on_request", "pushed")
    } else {
        config
    }
}

#[test]
fn with_a_large_known_list_it_serves_while_discovery_is_down_or_silent() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let silent = TcpListener::bind("127.0.0.1:0").expect("binds");
    for discovery in [refusing_address(), silent.local_addr().expect("an address")] {
        for push in [true, false] {
            let config = balancer_config(
                discovery,
                1024,
                &endpoint_list(1, true, &many(upstream.address)),
            );
            let started = Instant::now();
            let node = BalancerProcess::run(
                balancer_command(&pushed(config, push)),
                StubDiscovery::start(),
            );
            is_ready(&node, started);
            assert_eq!(
                node.client().call(&get_request("r1", "5000m")).status(),
                200
            );
        }
    }
}

#[test]
fn a_known_list_that_cannot_be_read_is_passed_over_on_one_line() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    for push in [true, false] {
        let discovery = StubDiscovery::start();
        let known = endpoint_list(1, true, &[(0, refusing_address(), "odd")]);
        let config = balancer_config(discovery.address, 1024, &known);
        let started = Instant::now();
        let node = BalancerProcess::run(balancer_command(&pushed(config, push)), discovery);
        assert_eq!(node.discovery.next_call_path(), "/api/targets");
        node.discovery
            .respond(&endpoint_list(3, true, &[(1, upstream.address, "active")]));
        is_ready(&node, started);
        assert_eq!(
            node.client().call(&get_request("r1", "5000m")).status(),
            200
        );
        // It is named before the door opens, and nothing else is said of it.
        assert!(
            !node.log_lines().iter().any(|line| line.contains("known")),
            "{:?}",
            node.log_lines()
        );
    }
}

#[test]
fn a_known_list_that_is_stale_is_brought_up_to_date() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let node = BalancerProcess::start(
        1024,
        &endpoint_list(1, true, &[(0, refusing_address(), "active")]),
    );
    let started = Instant::now();
    assert!(node
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=1&"));
    let news = [
        (0, refusing_address(), "left"),
        (1, upstream.address, "active"),
    ];
    node.discovery.respond(&endpoint_list(9, false, &news));
    assert!(node
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=9&"));
    is_ready(&node, started);
    assert_eq!(
        node.client().call(&get_request("r1", "5000m")).status(),
        200
    );
}

/// Lists of hundreds come pushed and asked for, also indented.
#[test]
fn a_list_of_over_a_thousand_upstreams_is_taken_and_changed() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    for push in [true, false] {
        let discovery = StubDiscovery::start();
        let config = balancer_config(discovery.address, 1024, "null");
        let started = Instant::now();
        let node = BalancerProcess::run(balancer_command(&pushed(config, push)), discovery);
        node.discovery.next_call_path();
        node.discovery.respond(
            &endpoint_list(1, true, &many(old.address)).replace(',', ",\n                    "),
        );
        is_ready(&node, started);
        let mut client = node.client();
        for i in 0..50 {
            assert_eq!(
                client.call(&get_request(&format!("r{i}"), "5000m")).body,
                b"old"
            );
        }
        assert!(node.discovery.next_call_path().contains("since=1&"));
        // All move.
        let moved: Vec<_> = (0..MANY).map(|n| (n, new.address, "active")).collect();
        node.discovery.respond(&endpoint_list(2, false, &moved));
        assert!(node.discovery.next_call_path().contains("since=2&"));
        for i in 50..100 {
            assert_eq!(
                client.call(&get_request(&format!("r{i}"), "5000m")).body,
                b"new"
            );
        }
        assert!(node.resident_kb() < 32 << 10, "{} KiB", node.resident_kb());
    }
}

/// Callers that say nothing take every place they can while discovery is down: staff, upstreams and the news at
/// discovery's return still find theirs.
#[test]
fn idle_callers_that_fill_the_descriptors_keep_no_news_out() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    for push in [true, false] {
        let down = refusing_address();
        let config = balancer_config(
            down,
            64,
            &endpoint_list(1, true, &[(0, old.address, "active")]),
        );
        let node = BalancerProcess::run(
            balancer_command(&pushed(with_admin_endpoint(&config), push)),
            StubDiscovery::start(),
        );
        let _idle: Vec<Client> = (0..200).map(|_| node.client()).collect();
        assert_eq!(
            node.client().call(&get_request("r1", "15000m")).body,
            b"old"
        );
        assert!(node.call_admin(b"STATUS\n").starts_with("YES"));
        let agent = TcpListener::bind(down).expect("its port is still free");
        let returned = Instant::now();
        let mut call = std::io::BufReader::new(agent.accept().expect("a call").0);
        assert!(read_message(&mut call)
            .expect("a call")
            .start_line
            .contains("since=1&"));
        let news = endpoint_list(2, true, &[(1, new.address, "active")]);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{news}",
            news.len()
        );
        std::io::Write::write_all(call.get_mut(), answer.as_bytes()).expect("writes");
        assert!(read_message(&mut call)
            .expect("the watch goes on")
            .start_line
            .contains("since=2&"));
        assert!(
            returned.elapsed() < Duration::from_secs(6),
            "{:?}",
            returned.elapsed()
        );
        assert_eq!(
            node.client().call(&get_request("r2", "15000m")).body,
            b"new"
        );
    }
}

/// What the system fails for a moment at the start, here an address that is still taken, is no reason not to start.
#[test]
fn an_address_that_is_taken_for_a_moment_is_waited_for() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let taken = TcpListener::bind("127.0.0.1:0").expect("binds");
    let listen = format!("\"listen\":\"{}\"", taken.local_addr().expect("an address"));
    let discovery = StubDiscovery::start();
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let config = balancer_config(discovery.address, 1024, &known)
        .replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let since = Instant::now();
    let frees = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(800));
        drop(taken);
    });
    let node = BalancerProcess::run(balancer_command(&config), discovery);
    is_ready(&node, since);
    frees.join().expect("no panic");
}
