//! Polled endpoint lists from a discovery service with one queue for a fleet of balancers. Each test covers one way in
//! which the fleet could overload that queue.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long a call waits in the queue of an overloaded discovery service, which fails calls that have waited for 2 s.
const QUEUE_TIME: Duration = Duration::from_millis(1900);

fn respond(stream: &mut BufReader<TcpStream>, status: &str, body: &str) {
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .get_mut()
        .write_all(text.as_bytes())
        .expect("the connection is open");
}

/// Guards against balancers that abandon a call after 1.2 s while discovery needs at least 1.4 s for each: discovery
/// would process only abandoned calls, and balancers would never learn of draining upstreams. The call here waits for
/// [`QUEUE_TIME`].
#[test]
fn does_not_abandon_call_that_waits_in_discovery_queue() {
    let old = StubUpstream::start(|_| ok_response("old"));
    let new = StubUpstream::start(|_| ok_response("new"));
    let discovery = TcpListener::bind("127.0.0.1:0").expect("binds");
    let known = endpoint_list(1, true, &[(0, old.address, "active")]);
    let config = balancer_config(discovery.local_addr().expect("an address"), 1024, &known);
    let balancer = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
    let accept_call = || {
        let mut stream = BufReader::new(discovery.accept().expect("a call to discovery").0);
        let call = read_message(&mut stream).expect("a call to discovery");
        assert!(call.start_line.contains("since=1&"), "{}", call.start_line);
        stream
    };
    respond(&mut accept_call(), "503 Service Unavailable", "");
    let mut queued = accept_call();
    std::thread::sleep(QUEUE_TIME);
    respond(
        &mut queued,
        "200 OK",
        &endpoint_list(
            2,
            false,
            &[(0, old.address, "left"), (1, new.address, "active")],
        ),
    );
    let next = read_message(&mut queued).expect("the watch continues");
    assert!(next.start_line.contains("since=2&"), "{}", next.start_line);
    assert_eq!(
        balancer.client().call(&get_request("r1", "5000m")).body,
        b"new"
    );
}

/// Guards against balancers that retry 0.1 s after each rejection: when a whole fleet is moved to a new discovery
/// address at once, its calls would keep the queue at that address full.
#[test]
fn backs_off_from_new_address_that_rejects_calls() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let balancer = BalancerProcess::start(1024, &known);
    balancer.discovery.next_call_path();
    let discovery = TcpListener::bind("127.0.0.1:0").expect("binds");
    balancer.reload(&balancer_config(
        discovery.local_addr().expect("an address"),
        1024,
        "null",
    ));
    let accept_call = || {
        let mut stream = BufReader::new(discovery.accept().expect("a call to discovery").0);
        let call = read_message(&mut stream).expect("a call to discovery");
        assert!(
            call.start_line.starts_with("GET /api/targets "),
            "{}",
            call.start_line
        );
        stream
    };
    respond(&mut accept_call(), "503 Service Unavailable", "");
    let rejected_at = Instant::now();
    let mut retry = accept_call();
    assert!(
        rejected_at.elapsed() >= Duration::from_millis(350),
        "the balancer called again only {:?} after the rejection",
        rejected_at.elapsed()
    );
    assert!(
        rejected_at.elapsed() < Duration::from_millis(2500),
        "the balancer called again as late as {:?} after the rejection",
        rejected_at.elapsed()
    );
    respond(
        &mut retry,
        "200 OK",
        &endpoint_list(1, true, &[(0, upstream.address, "active")]),
    );
    let next = read_message(&mut retry).expect("the watch continues");
    assert!(next.start_line.contains("since=1&"), "{}", next.start_line);
}
