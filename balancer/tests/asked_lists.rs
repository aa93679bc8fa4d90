//! Lists that must be asked for, from discovery that works in turn for many: each test stands for one way in which a
//! fleet could keep itself from being served.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long a call waits in the queue of a crowded discovery: it fails calls that have waited for 2 s.
const QUEUED: Duration = Duration::from_millis(1900);

fn answer(stream: &mut BufReader<TcpStream>, status: &str, body: &str) {
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .get_mut()
        .write_all(text.as_bytes())
        .expect("it is open");
}

/// A balancer gave each call up after 1.2 s once one had failed, and called anew. Where all did so while discovery needed
/// 1.4 s and more for each, it worked for calls that nobody waited for, and news of drains never came.
#[test]
fn a_call_that_waits_its_turn_at_discovery_is_not_given_up() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    let agent = TcpListener::bind("127.0.0.1:0").expect("binds");
    let known = endpoint_list(1, true, &[(0, old.address, "active")]);
    let config = balancer_config(agent.local_addr().expect("an address"), 1024, &known);
    let node = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
    let call = || {
        let mut stream = BufReader::new(agent.accept().expect("a call").0);
        let call = read_message(&mut stream).expect("a call");
        assert!(call.start_line.contains("since=1&"), "{}", call.start_line);
        stream
    };
    answer(&mut call(), "503 Service Unavailable", "");
    let mut queued = call();
    std::thread::sleep(QUEUED);
    answer(
        &mut queued,
        "200 OK",
        &endpoint_list(
            2,
            false,
            &[(0, old.address, "left"), (1, new.address, "active")],
        ),
    );
    let next = read_message(&mut queued).expect("the watch goes on");
    assert!(next.start_line.contains("since=2&"), "{}", next.start_line);
    assert_eq!(node.client().call(&get_request("r1", "5000m")).body, b"new");
}

/// A fleet that is moved to a new address together called it anew after 0.1 s where it refused, and kept its queue full.
#[test]
fn a_new_address_that_refuses_is_given_time() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let node = BalancerProcess::start(1024, &known);
    node.discovery.next_call_path();
    let agent = TcpListener::bind("127.0.0.1:0").expect("binds");
    node.reload(&balancer_config(
        agent.local_addr().expect("an address"),
        1024,
        "null",
    ));
    let call = || {
        let mut stream = BufReader::new(agent.accept().expect("a call").0);
        let call = read_message(&mut stream).expect("a call");
        assert!(
            call.start_line.starts_with("GET /api/targets "),
            "{}",
            call.start_line
        );
        stream
    };
    answer(&mut call(), "503 Service Unavailable", "");
    let refused = Instant::now();
    let mut again = call();
    assert!(
        refused.elapsed() >= Duration::from_millis(350),
        "{:?}",
        refused.elapsed()
    );
    assert!(
        refused.elapsed() < Duration::from_millis(2500),
        "{:?}",
        refused.elapsed()
    );
    answer(
        &mut again,
        "200 OK",
        &endpoint_list(1, true, &[(0, upstream.address, "active")]),
    );
    let next = read_message(&mut again).expect("the watch goes on");
    assert!(next.start_line.contains("since=1&"), "{}", next.start_line);
}
