//! Forwarding of requests, and connections to clients and upstreams, over loopback sockets.
mod common;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Replies to the first request with `first`, and serves all later ones. Clones share the count, so
/// that only the first request to any of their upstreams gets `first`.
fn first_then_ok(first: fn() -> Reply) -> impl Fn(&Message) -> Reply + Clone + Send + Sync {
    let request_count = Arc::new(AtomicUsize::new(0));
    move |_| {
        if request_count.fetch_add(1, Ordering::SeqCst) == 0 {
            first()
        } else {
            ok_response("served")
        }
    }
}

#[test]
fn forwards_requests_and_responses_unchanged() {
    let upstream = StubUpstream::start(|_| ok_response("the answer"));
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    assert_eq!(client.call(READY_REQUEST).status(), 200);
    let response = client.call(
        "POST /api/a%20b?q=1&r HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 9b1f\r\nReq-Kind: order\r\n\
         Req-Owner: club\r\nReq-Deadline: 8000m\r\nIdempotency-Key: 5c0f\r\nContent-Length: 5\r\n\r\nhello",
    );
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"the answer"[..])
    );
    let forwarded = upstream.next_request();
    assert_eq!(forwarded.start_line, "POST /api/a%20b?q=1&r HTTP/1.1");
    assert_eq!(
        (
            forwarded.header("req-id"),
            forwarded.header("idempotency-key")
        ),
        (Some("9b1f"), Some("5c0f"))
    );
    assert_eq!(forwarded.body, b"hello");
    let deadline = forwarded
        .header("req-deadline")
        .and_then(|d| d.strip_suffix('u'))
        .expect("microseconds");
    assert!(
        (1..=8_000_000).contains(&deadline.parse::<u64>().expect("a number")),
        "{deadline}"
    );
}

#[test]
fn sequential_requests_share_one_upstream_connection() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    for i in 0..20 {
        assert_eq!(
            client
                .call(&get_request(&format!("r{i}"), "5000m"))
                .status(),
            200
        );
    }
    assert_eq!(upstream.connection_count.load(Ordering::SeqCst), 1);
}

#[test]
fn rejects_invalid_requests_without_forwarding_them() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let good = get_request("r1", "5000m");
    let mut client = balancer.client();
    for (from, to, status) in [
        ("Req-Kind: read", "Req-Kind: odd", 400),
        ("Req-Owner: club", "Req-Owner: odd", 400),
        ("Req-Owner: club\r\n", "", 400),
        ("Req-Id: r1\r\n", "", 400),
        ("Req-Deadline: 5000m", "Req-Deadline: soon", 400),
        ("Req-Deadline: 5000m\r\n", "", 400),
        (
            "Req-Deadline: 5000m",
            "Req-Deadline: 1m\r\nReq-Deadline: 2m",
            400,
        ),
        ("GET", "DELETE", 400),
        ("/api/x", "/elsewhere", 404),
        ("/api/x", "/apix", 404),
    ] {
        assert_eq!(
            client.call(&good.replace(from, to)).status(),
            status,
            "{to:?} for {from:?}"
        );
        // The balancer closes the connection after an invalid request.
        assert!(client.read_response().is_none());
        client = balancer.client();
    }
    let mut large = balancer.client();
    let head = payment_request("r2", "5000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 33554433\r\n\r\n",
    );
    assert_eq!(large.call(&head).status(), 413);
    balancer
        .client()
        .send("\u{16}\u{3}\u{1} garbage \r\n\r\n\r\n");
    assert_eq!(client.call(&good).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
    assert_eq!(upstream.further_request_count(), 0);
}

#[test]
fn retries_a_non_idempotent_request_only_after_a_marked_rejection() {
    let reply = first_then_ok(|| empty_response("503 Service Unavailable\r\nSrv-Declined: 1"));
    let (a, b) = (
        StubUpstream::start(reply.clone()),
        StubUpstream::start(reply),
    );
    let balancer = BalancerProcess::with_upstreams(&[a.address, b.address]);
    assert_eq!(
        balancer
            .client()
            .call(&payment_request("r1", "5000m"))
            .status(),
        200
    );
    assert_eq!(a.further_request_count() + b.further_request_count(), 2);

    for first in [
        || empty_response("503 Service Unavailable"),
        || empty_response("504 Gateway Timeout\r\nSrv-Declined: 0"),
        || empty_response("500 Internal Server Error\r\nSrv-Declined: 1"),
        || Reply::Close,
        || Reply::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into()),
        || Reply::RespondAndClose("garbage\r\n\r\n".into()),
    ] {
        let reply = first_then_ok(first);
        let (a, b) = (
            StubUpstream::start(reply.clone()),
            StubUpstream::start(reply),
        );
        let balancer = BalancerProcess::with_upstreams(&[a.address, b.address]);
        // The request may have run. The balancer doesn't retry it, and answers 502 rather than 503, as a client may
        // retry after a 503.
        assert_eq!(
            balancer
                .client()
                .call(&payment_request("r1", "5000m"))
                .status(),
            502
        );
        assert_eq!(a.further_request_count() + b.further_request_count(), 1);
    }
}

#[test]
fn retries_after_a_refused_connection() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let balancer = BalancerProcess::with_upstreams(&[refusing_address(), upstream.address]);
    let mut client = balancer.client();
    for i in 0..10 {
        assert_eq!(
            client
                .call(&payment_request(&format!("r{i}"), "5000m"))
                .status(),
            200
        );
    }
    assert_eq!(upstream.further_request_count(), 10);
}

#[test]
fn serves_requests_after_upstream_closes_idle_connections() {
    let upstream = StubUpstream::start(|_| {
        Reply::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into())
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    balancer.discovery.next_call_path();
    assert_eq!(client.call(READY_REQUEST).status(), 200);
    let initial_count = balancer.descriptor_count();
    for i in 0..20 {
        assert_eq!(
            client
                .call(&payment_request(&format!("r{i}"), "5000m"))
                .status(),
            200
        );
        assert_eq!(
            upstream.next_request().header("req-id"),
            Some(format!("r{i}").as_str())
        );
        balancer.wait_for_descriptors(
            |n| n <= initial_count,
            "the balancer keeps the closed connection open",
        );
    }
    assert_eq!(upstream.further_request_count(), 0);
}

#[test]
fn deadline_produces_one_response_and_closes_the_upstream_connection() {
    let start_upstream = || {
        StubUpstream::start(|m| {
            if m.header("req-id") == Some("late") {
                Reply::NeverRespond
            } else {
                ok_response("x")
            }
        })
    };
    let upstream = start_upstream();
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    assert_eq!(client.call(&payment_request("late", "300m")).status(), 502);
    upstream.next_request();
    upstream.wait_for_closed_connection();
    // The request `late` gets no second response after its 502: the next response on the connection is for `next`.
    assert_eq!(client.call(&payment_request("next", "5000m")).status(), 200);
    assert_eq!(upstream.next_request().header("req-id"), Some("next"));
}

#[test]
fn cancels_the_attempt_when_its_client_disconnects() {
    let upstream = StubUpstream::start(|m| {
        if m.header("req-id") == Some("gone") {
            Reply::NeverRespond
        } else {
            ok_response("x")
        }
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    client.send(&payment_request("gone", "20000m"));
    upstream.next_request();
    drop(client);
    upstream.wait_for_closed_connection();
    assert_eq!(
        balancer
            .client()
            .call(&payment_request("next", "5000m"))
            .status(),
        200
    );
}

#[test]
fn rejects_at_once_and_sends_retry_after_if_no_upstream_is_known() {
    // No upstream is known, and the deadline is far off.
    let balancer = BalancerProcess::start(1024, "null");
    let mut client = balancer.client();
    assert_eq!(client.call(READY_REQUEST).status(), 503);
    let start = std::time::Instant::now();
    let response = client.call(&payment_request("r1", "86400000m"));
    assert_eq!(response.status(), 503);
    assert!(start.elapsed() < TEST_TIMEOUT);
    let retry_after: f64 = response
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("a number");
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
}

#[test]
fn evicts_idle_clients_for_new_ones() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let balancer = BalancerProcess::start(64, &known);
    // Far more connections than descriptors: the longest idle one is closed for each new one.
    let mut clients: Vec<Client> = Vec::new();
    for i in 0..100 {
        let mut client = balancer.client();
        assert_eq!(
            client
                .call(&get_request(&format!("r{i}"), "10000m"))
                .status(),
            200
        );
        clients.push(client);
    }
    assert!(
        clients[0].read_response().is_none(),
        "the first was closed while it was idle"
    );
}

#[test]
fn recovers_after_running_out_of_descriptors() {
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let known = endpoint_list(1, true, &[(0, upstream.address, "active")]);
    let discovery = StubDiscovery::start();
    // The configuration states more descriptors than the system allows: accepting fails, and is
    // retried.
    let limited =
        balancer_command_with_descriptors(&balancer_config(discovery.address, 1024, &known), 32);
    let balancer = BalancerProcess::run(limited, discovery);
    let mut clients: Vec<Client> = Vec::new();
    for i in 0..60 {
        let mut client = balancer.client();
        let status = client
            .call(&get_request(&format!("r{i}"), "10000m"))
            .status();
        // A request that gets no descriptor for an upstream connection has not run: 503.
        assert!(status == 200 || status == 503, "{status}");
        clients.push(client);
    }
    drop(clients);
    let start = std::time::Instant::now();
    while balancer
        .client()
        .call(&get_request("after", "10000m"))
        .status()
        != 200
    {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the balancer does not recover"
        );
    }
}

#[test]
fn rejects_when_the_upstream_connection_never_opens() {
    let listener = UnresponsiveListener::start();
    let balancer = BalancerProcess::with_upstreams(&[listener.address]);
    // Nothing was sent, so a client can retry safely: even a non-idempotent request is answered 503, not 502.
    assert_eq!(
        balancer
            .client()
            .call(&payment_request("r1", "20000m"))
            .status(),
        503
    );
}

/// A balancer with one upstream whose connections do not open yet, and whose dial timeout is long.
fn balancer_with_unopened_upstream(
    change_config: impl Fn(String) -> String,
) -> (BalancerProcess, UnresponsiveListener) {
    let listener = UnresponsiveListener::start();
    let discovery = StubDiscovery::start();
    let config = balancer_config(
        discovery.address,
        1024,
        &endpoint_list(1, true, &[(0, listener.address, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"");
    let balancer = BalancerProcess::run(balancer_command(&change_config(config)), discovery);
    balancer.discovery.next_call_path();
    (balancer, listener)
}

#[test]
fn writes_nothing_for_a_request_that_ended_while_dialling() {
    let (balancer, listener) =
        balancer_with_unopened_upstream(|c| c.replace("\"cancel\":true", "\"cancel\":false"));
    let initial_count = balancer.descriptor_count();
    let mut client = balancer.client();
    client.send(&payment_request("r1", "20000m"));
    // Two more descriptors: the client's connection and the one that the balancer dials.
    balancer.wait_for_descriptors(|n| n >= initial_count + 2, "the balancer does not dial");
    drop(client);
    balancer.wait_for_descriptors(
        |n| n <= initial_count + 1,
        "the balancer does not notice that the client disconnected",
    );
    assert!(read_message(&mut listener.accept_first_connection()).is_none());
}

#[test]
fn writes_nothing_to_a_draining_upstream_after_its_grace() {
    let (balancer, listener) =
        balancer_with_unopened_upstream(|c| c.replace("\"drain_grace\":1000", "\"drain_grace\":0"));
    let initial_count = balancer.descriptor_count();
    let mut client = balancer.client();
    client.send(&payment_request("r1", "20000m"));
    balancer.wait_for_descriptors(|n| n >= initial_count + 2, "the balancer does not dial");
    balancer.discovery.respond(&endpoint_list(
        2,
        false,
        &[(0, listener.address, "leaving")],
    ));
    assert!(balancer.discovery.next_call_path().contains("since=2&"));
    assert!(read_message(&mut listener.accept_first_connection()).is_none());
    // Nothing ran, and there is no other upstream.
    assert_eq!(client.read_response().expect("a response").status(), 503);
}
