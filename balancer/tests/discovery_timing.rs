//! Calls to discovery that fail, stall or are cut off: the next call follows in time.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Guards against a balancer that learns of an update of the endpoint list 22 s late because one
/// watch gets no response.
#[test]
fn calls_discovery_again_when_a_watch_is_silent() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    let silent = TcpListener::bind("127.0.0.1:0").expect("binds");
    let known = endpoint_list(1, true, &[(0, old.address, "active")]);
    let pushed_config = balancer_config(silent.local_addr().expect("an address"), 1024, &known)
        .replace("on_request", "pushed");
    let balancer = BalancerProcess::run(balancer_command(&pushed_config), StubDiscovery::start());
    let (sender, connections) = channel();
    std::thread::spawn(move || silent.incoming().flatten().try_for_each(|s| sender.send(s)));
    let call = || {
        let mut stream = BufReader::new(
            connections
                .recv_timeout(TEST_TIMEOUT)
                .expect("a call in time"),
        );
        let call = read_message(&mut stream).expect("a call to discovery");
        assert!(
            call.start_line.starts_with("GET /api/targets?since=1&"),
            "{}",
            call.start_line
        );
        stream
    };
    let first = call();
    let mut second = call();
    let update = endpoint_list(2, true, &[(1, new.address, "active")]);
    let response = ok_text(&update);
    second
        .get_mut()
        .write_all(response.as_bytes())
        .expect("writes");
    let next = read_message(&mut second).expect("the watch continues");
    assert!(
        next.start_line.starts_with("GET /api/targets?since=2&"),
        "{}",
        next.start_line
    );
    assert_eq!(
        balancer
            .client()
            .call(&payment_request("r1", "15000m"))
            .body,
        b"new"
    );
    drop(first);
}

/// The calls that reach a listener, each on its own connection, which stays open until the test
/// drops it.
fn accept_calls(listener: TcpListener) -> impl Iterator<Item = (BufReader<TcpStream>, Message)> {
    std::iter::from_fn(move || {
        let mut stream = BufReader::new(listener.accept().expect("a call to discovery").0);
        let call = read_message(&mut stream).expect("a call to discovery");
        Some((stream, call))
    })
}

/// An update must be applied within 6 s after discovery can be reached, whatever failed before.
#[test]
fn applies_an_update_within_six_seconds_after_a_silent_call_and_a_malformed_list() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let known = endpoint_list(1, true, &[(0, old.address, "active")]);
    let config = balancer_config(listener.local_addr().expect("an address"), 1024, &known);
    let balancer = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
    let mut calls = accept_calls(listener);
    let (_silent, first) = calls.next().expect("a call to discovery");
    assert!(
        first.start_line.starts_with("GET /api/targets?since=1&"),
        "{}",
        first.start_line
    );
    let called_at = Instant::now();
    let mut respond_to_next_call = |body: &str| {
        let (mut stream, call) = calls.next().expect("a call to discovery");
        assert!(
            call.start_line.starts_with("GET /api/targets?since=1&"),
            "{}",
            call.start_line
        );
        let response = ok_text(body);
        stream
            .get_mut()
            .write_all(response.as_bytes())
            .expect("writes");
        stream
    };
    let malformed = respond_to_next_call("{\"version\":");
    let mut updated = respond_to_next_call(&endpoint_list(2, true, &[(1, new.address, "active")]));
    // The next call shows that the update has been applied.
    read_message(&mut updated).expect("the watch continues");
    assert!(
        called_at.elapsed() < Duration::from_secs(6),
        "the update was applied only after {:?}",
        called_at.elapsed()
    );
    assert_eq!(
        balancer.client().call(&get_request("r1", "5000m")).body,
        b"new"
    );
    drop(malformed);
}

/// The next call must follow within 4 s if an address accepts connections and never responds, while
/// no list is known.
#[test]
fn keeps_calling_an_address_that_never_responds() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let config = balancer_config(listener.local_addr().expect("an address"), 1024, "null");
    let _balancer = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
    let mut calls = accept_calls(listener);
    let _first = calls.next().expect("a call to discovery");
    for _ in 0..3 {
        let called_at = Instant::now();
        let (_silent, call) = calls.next().expect("a call to discovery");
        assert!(
            call.start_line.starts_with("GET /api/targets "),
            "{}",
            call.start_line
        );
        assert!(
            called_at.elapsed() < Duration::from_secs(4),
            "the next call followed only after {:?}",
            called_at.elapsed()
        );
    }
}

/// If a list stalls, is truncated or never ends, the known list stays in use, exactly one log line
/// names the error, and the next call follows within 5 s.
#[test]
fn calls_again_within_five_seconds_of_an_incomplete_list() {
    let (old, new) = (
        StubUpstream::start(|_| ok_response("old")),
        StubUpstream::start(|_| ok_response("new")),
    );
    let update = endpoint_list(2, true, &[(1, new.address, "active")]);
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let incomplete = format!("{}{}", head(update.len()), &update[..update.len() - 2]);
    let endless = format!("{}{}", head(1 << 40), &update[..update.len() - 2]);
    for (text, is_truncated, is_endless) in [
        (&incomplete, false, false),
        (&incomplete, true, false),
        (&endless, false, true),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let known = endpoint_list(1, true, &[(0, old.address, "active")]);
        let config = balancer_config(listener.local_addr().expect("an address"), 1024, &known);
        let balancer = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
        let mut calls = accept_calls(listener);
        let (mut stream, _) = calls.next().expect("a call to discovery");
        let sent_at = Instant::now();
        stream.get_mut().write_all(text.as_bytes()).expect("writes");
        if is_truncated {
            stream
                .get_mut()
                .shutdown(std::net::Shutdown::Both)
                .expect("the connection is open");
        }
        // The balancer closes the connection in the middle of a list that is too long.
        while is_endless && stream.get_mut().write_all(&[b' '; 1 << 16]).is_ok() {}
        let (_next, call) = calls.next().expect("a call to discovery");
        assert!(
            sent_at.elapsed() < Duration::from_secs(5),
            "the next call followed only after {:?}",
            sent_at.elapsed()
        );
        assert!(call.start_line.contains("since=1&"), "{}", call.start_line);
        assert_eq!(
            balancer.client().call(&get_request("r1", "5000m")).body,
            b"old"
        );
        let log = balancer.log_lines();
        assert_eq!(
            log.iter()
                .filter(|line| line.starts_with("discovery: "))
                .count(),
            1,
            "{log:?}"
        );
    }
}

/// Guards against a backoff that delays updates for too long: each call follows the last one within
/// 1.4 s.
#[test]
fn backoff_after_failed_calls_stays_short() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let config = balancer_config(listener.local_addr().expect("an address"), 1024, "null");
    let _balancer = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
    let mut calls = accept_calls(listener);
    drop(calls.next());
    for _ in 0..6 {
        let failed_at = Instant::now();
        drop(calls.next());
        assert!(
            failed_at.elapsed() < Duration::from_millis(1400),
            "the next call followed only after {:?}",
            failed_at.elapsed()
        );
    }
}

/// An update must be applied in time even if its watch breaks: a balancer that reconnects late
/// sends requests to draining upstreams for longer than the drain grace, here 0.3 s.
#[test]
fn reopens_a_broken_watch_within_the_drain_grace() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let config = balancer_config(listener.local_addr().expect("an address"), 1024, "null");
    let pushed_config = config
        .replace("on_request", "pushed")
        .replace("\"drain_grace\":1000", "\"drain_grace\":300");
    let _balancer = BalancerProcess::run(balancer_command(&pushed_config), StubDiscovery::start());
    let mut first_call_at = None;
    for _ in 0..7 {
        let mut stream = BufReader::new(listener.accept().expect("a call to discovery").0);
        read_message(&mut stream).expect("a call to discovery");
        first_call_at.get_or_insert_with(Instant::now);
        socket2::SockRef::from(stream.get_ref())
            .set_linger(Some(Duration::ZERO))
            .expect("sets SO_LINGER");
    }
    // Seven calls have six pauses between them.
    let took = first_call_at.expect("a call to discovery").elapsed();
    assert!(
        took < Duration::from_millis(1800),
        "the seven calls took {took:?}"
    );
}

/// An update must be applied within 4 s after a reload, so a second call to a silent address must
/// follow within that time.
#[test]
fn calls_a_silent_new_address_again_in_time() {
    let balancer = BalancerProcess::start(1024, "null");
    balancer.discovery.next_call_path();
    let silent = TcpListener::bind("127.0.0.1:0").expect("binds");
    let reloaded_at = Instant::now();
    balancer.reload(&balancer_config(
        silent.local_addr().expect("an address"),
        1024,
        "null",
    ));
    let calls: Vec<_> = (0..2)
        .map(|_| silent.accept().expect("a call to discovery"))
        .collect();
    assert!(
        reloaded_at.elapsed() < Duration::from_secs(4),
        "the second call followed only {:?} after the reload",
        reloaded_at.elapsed()
    );
    drop(calls);
}
