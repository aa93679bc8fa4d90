//! Clients that send invalid or too large requests, open too many connections, or send nothing.
mod common;
use common::*;
use std::time::{Duration, Instant};

/// Limit for responses that are due within 3 s, with a margin for slow machines.
const EARLY_RESPONSE_LIMIT: Duration = Duration::from_secs(6);

#[test]
fn closes_connections_of_silent_clients_and_partial_requests() {
    let balancer =
        BalancerProcess::with_upstreams(&[StubUpstream::start(|_| ok_response("x")).address]);
    let start = Instant::now();
    let half_body = payment_request("r1", "15000m").replace("body", "b");
    let half_head = get_request("r2", "15000m").replace("\r\n\r\n", "\r\n");
    let mut silent = balancer.client();
    let mut partial: Vec<Client> = [half_body, half_head]
        .iter()
        .map(|text| balancer.client_that_sent(text))
        .collect();
    // On a used connection, a partial request does not count as idle time.
    let mut used = balancer.client();
    assert_eq!(used.call(&get_request("r3", "15000m")).status(), 200);
    used.send("GET /api");
    assert_eq!(
        partial[0].read_response().expect("a response").status(),
        408
    );
    assert!(partial[0].read_response().is_none() && partial[1].read_response().is_none());
    assert!(silent.read_response().is_none() && used.read_response().is_none());
    assert!(
        start.elapsed() < EARLY_RESPONSE_LIMIT,
        "the connections were closed only after {:?}",
        start.elapsed()
    );
}

#[test]
fn rejects_a_request_with_ambiguous_framing_and_reads_nothing_behind_it() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let hidden = get_request("hidden", "5000m");
    let chunks = "4\r\nbody\r\n0\r\n\r\n";
    for framing in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Transfer-Encoding: chunked\r\nX-A: b\r\ncontent-length: 14\r\nContent-Length: 14",
        "Content-Length: 4\r\nContent-Length: 4",
    ] {
        let head = payment_request("r1", "5000m").replace(
            "Content-Length: 4\r\n\r\nbody",
            &format!("{framing}\r\n\r\n"),
        );
        let mut client = balancer.client_that_sent(&format!("{head}{chunks}{hidden}"));
        assert_eq!(
            client.read_response().expect("a response").status(),
            400,
            "{framing:?}"
        );
        assert!(
            client.read_response().is_none(),
            "bytes behind the request with {framing:?} were read"
        );
    }
    // A request with chunked framing only is served, and is the last one on its connection.
    let head = payment_request("r2", "5000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    let mut client = balancer.client_that_sent(&format!("{head}{chunks}{hidden}"));
    let response = client.read_response().expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(client.read_response().is_none());
    assert_eq!(upstream.next_request().header("req-id"), Some("r2"));
    assert_eq!(upstream.further_request_count(), 0);
}

#[test]
fn reads_nothing_behind_an_invalid_request() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let behind = get_request("behind", "5000m");
    let long = format!("X-Long: {}\r\n\r\n", "x".repeat(40 << 10));
    let with_body =
        get_request("r1", "5000m").replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody");
    for (invalid, status) in [
        (get_request("r1", "soon"), 400),
        (
            get_request("r1", "5000m").replace("Req-Id: r1\r\n", ""),
            400,
        ),
        (with_body, 400),
        (
            get_request("r1", "5000m").replace("\r\n\r\n", &format!("\r\n{long}")),
            431,
        ),
        (
            payment_request("r1", "5000m").replace("Content-Length: 4", "Content-Length: -4"),
            400,
        ),
        (
            payment_request("r1", "5000m").replace("Content-Length: 4", "Content-Length: 70000000"),
            413,
        ),
    ] {
        let mut client = balancer.client_that_sent(&format!("{invalid}{behind}"));
        let response = client.read_response().expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (status, Some("close")),
            "{invalid:.300}"
        );
        assert!(client.read_response().is_none(), "{invalid:.300}");
    }
    assert_eq!(
        balancer
            .client()
            .call(&get_request("good", "5000m"))
            .status(),
        200
    );
    assert_eq!(upstream.next_request().header("req-id"), Some("good"));
    assert_eq!(upstream.further_request_count(), 0);
}

#[test]
fn rejects_a_request_with_the_id_of_a_pending_one() {
    let (signal, reply) = hold_first_request("first", "later");
    let upstream = StubUpstream::start(reply);
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut first = balancer.client_that_sent(&payment_request("r1", "15000m"));
    upstream.next_request();
    assert_eq!(
        balancer
            .client()
            .call(&payment_request("r1", "15000m"))
            .status(),
        409
    );
    signal.send(()).expect("the upstream waits");
    assert_eq!(first.read_response().expect("a response").body, b"first");
    // The id is free once its request has ended.
    assert_eq!(
        balancer
            .client()
            .call(&payment_request("r1", "15000m"))
            .body,
        b"later"
    );
    assert_eq!(upstream.further_request_count(), 1);
}

#[test]
fn active_clients_are_served_despite_hundreds_of_silent_ones() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let balancer = BalancerProcess::start(64, &known);
    let mut kept = balancer.client();
    assert_eq!(kept.call(&get_request("r0", "10000m")).status(), 200);
    // There are more clients than the balancer may have connections: it closes the oldest ones
    // without a request.
    let silent: Vec<Client> = (0..200).map(|_| balancer.client()).collect();
    for i in 1..5 {
        assert_eq!(
            balancer
                .client()
                .call(&get_request(&format!("n{i}"), "10000m"))
                .status(),
            200
        );
    }
    assert_eq!(
        kept.call(&get_request("r1", "10000m")).status(),
        200,
        "a client that was served lost its connection"
    );
    drop(silent);
}

#[test]
fn rejects_with_retry_after_at_the_limit_of_pending_requests() {
    let upstream = StubUpstream::start(|_| Reply::NeverRespond);
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let discovery = StubDiscovery::start();
    let limited_config = balancer_config(discovery.address, 1024, &known)
        .replace("\"cancel\"", "\"max_open\":1,\"cancel\"");
    let balancer = BalancerProcess::run(balancer_command(&limited_config), discovery);
    let _first = balancer.client_that_sent(&get_request("r1", "15000m"));
    upstream.next_request();
    let response = balancer.client().call(&get_request("r2", "15000m"));
    assert_eq!(response.status(), 503);
    let retry_after_seconds: f64 = response
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .expect("Retry-After is a number of seconds");
    assert!(
        retry_after_seconds > 0.0 && retry_after_seconds <= 2.0,
        "Retry-After is {retry_after_seconds} s"
    );
}

#[test]
fn graceful_shutdown_answers_pipelined_requests() {
    let (signal, reply) = hold_first_request("first", "later");
    let upstream = StubUpstream::start(reply);
    let mut balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let second = get_request("r2", "15000m");
    let (start, rest) = second.split_at(40);
    let mut client = balancer.client_that_sent(&format!("{}{start}", get_request("r1", "15000m")));
    upstream.next_request();
    balancer.terminate();
    balancer.wait_for_log("shutdown requested");
    client.send(rest);
    signal.send(()).expect("the upstream waits");
    assert_eq!(client.read_response().expect("a response").body, b"first");
    assert_eq!(
        client
            .read_response()
            .expect("a response to the pipelined request")
            .body,
        b"later"
    );
    assert!(balancer.wait_for_exit().success());
}

/// A pipelined request waits in the balancer for its turn; its deadline counts from its arrival.
#[test]
fn forwards_a_pipelined_request_with_its_remaining_time() {
    let upstream = StubUpstream::start(|request| match request.header("req-id") {
        Some("first") => {
            std::thread::sleep(Duration::from_millis(600));
            ok_response("first")
        }
        _ => ok_response("second"),
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client_that_sent(&format!(
        "{}{}",
        get_request("first", "5000m"),
        get_request("second", "2000m")
    ));
    assert_eq!(client.read_response().expect("a response").body, b"first");
    assert_eq!(client.read_response().expect("a response").body, b"second");
    upstream.next_request();
    let second = upstream.next_request();
    let stated = second
        .header("req-deadline")
        .and_then(|deadline| deadline.strip_suffix('u'))
        .expect("a Req-Deadline header in microseconds");
    let remaining = Duration::from_micros(stated.parse().expect("a number"));
    assert!(
        remaining <= Duration::from_millis(1450),
        "{remaining:?} remain of 2 s, of which 0.6 s had passed"
    );
}

/// Guards against counting bytes that came fast as time for those that never come.
#[test]
fn times_out_a_client_that_stops_in_the_middle_of_its_body() {
    let upstream = start_raw_upstream(|stream| {
        let _ = std::io::copy(stream, &mut std::io::sink());
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    for (sent, length) in [(60_000, 64_000), (150_000, 300_000), (1 << 20, 2 << 20)] {
        let mut client = connect(balancer.address);
        let head = upload_head(&sent.to_string(), &format!("Content-Length: {length}"));
        send_bytes(&mut client, head.as_bytes());
        send_bytes(&mut client, &vec![b'x'; sent]);
        let stopped_at = Instant::now();
        assert!(read_head(&mut client).starts_with("HTTP/1.1 408 "));
        assert!(
            stopped_at.elapsed() < Duration::from_secs(3),
            "{sent} of {length} bytes: closed only after {:?}",
            stopped_at.elapsed()
        );
    }
}
