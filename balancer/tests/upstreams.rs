//! Malformed, repeated and unusual responses of upstreams.
mod common;
use common::*;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Asserts that a non-idempotent request that may have run is not retried: the client gets a 502,
/// and the upstream connection is closed.
fn assert_attempt_fails_without_retry(response: &str) {
    let text = response.to_string();
    let upstream = StubUpstream::start(move |m| match m.header("req-id") {
        Some("bad") => Reply::Respond(text.clone()),
        _ => ok_response("good"),
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    assert_eq!(
        client.call(&payment_request("bad", "15000m")).status(),
        502,
        "{response:.200}"
    );
    assert_eq!(
        client.call(&payment_request("next", "15000m")).body,
        b"good",
        "{response:.200}"
    );
    upstream.wait_for_closed_connection();
}

#[test]
fn fails_attempts_whose_response_has_no_unambiguous_end() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "\u{1}\u{2} noise \r\n\r\n",
    ] {
        assert_attempt_fails_without_retry(response);
    }
    assert_attempt_fails_without_retry(&format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-A: b\r\n".repeat(5000)
    ));
    assert_attempt_fails_without_retry(&format!(
        "HTTP/1.1 200 OK\r\nX-Long: {}",
        "x".repeat(40_000)
    ));
}

#[test]
fn does_not_use_a_surplus_response_for_the_next_request() {
    let two_responses = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none".repeat(2);
    let upstream = StubUpstream::start(move |m| match m.header("req-id") {
        Some("r1") => Reply::Respond(two_responses.clone()),
        _ => ok_response("two"),
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    assert_eq!(client.call(&payment_request("r1", "15000m")).body, b"one");
    assert_eq!(client.call(&payment_request("r2", "15000m")).body, b"two");
}

#[test]
fn skips_informational_responses() {
    let informational =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(3);
    let upstream = StubUpstream::start(move |_| {
        Reply::Respond(format!(
            "{informational}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
        ))
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    for id in ["r1", "r2"] {
        assert_eq!(client.call(&payment_request(id, "15000m")).body, b"one");
    }
}

/// A forwarded 429 would tell the client that nothing has run, but only a marked rejection proves
/// that.
#[test]
fn reports_an_unmarked_rejection_as_failure() {
    for unmarked in [
        "429 Too Many Requests",
        "503 Service Unavailable",
        "504 Gateway Timeout",
    ] {
        let upstream = StubUpstream::start(move |_| empty_response(unmarked));
        let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
        assert_eq!(
            balancer
                .client()
                .call(&payment_request("r1", "15000m"))
                .status(),
            502,
            "{unmarked}"
        );
        assert_eq!(upstream.next_request().header("req-id"), Some("r1"));
        assert_eq!(
            upstream.further_request_count(),
            0,
            "the request was retried"
        );
    }
}

#[test]
fn forwards_a_client_error_without_retry() {
    let upstream = StubUpstream::start(|m| match m.header("req-id") {
        Some("odd") => empty_response("404 Not Found"),
        _ => ok_response("good"),
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    // The request is not retried although it is idempotent, and the client gets the status.
    assert_eq!(client.call(&get_request("odd", "15000m")).status(), 404);
    assert_eq!(
        balancer.client().call(&get_request("next", "15000m")).body,
        b"good"
    );
    assert_eq!(upstream.next_request().header("req-id"), Some("odd"));
    assert_eq!(upstream.next_request().header("req-id"), Some("next"));
    assert_eq!(upstream.further_request_count(), 0);
}

/// An upstream sends its response to a request twice, 4 ms apart: the balancer must not use the second
/// one as the response to the next request.
#[test]
fn does_not_use_a_late_second_response_for_the_next_request() {
    let upstream = StubUpstream::start(|m| {
        let name = m.header("req-id").unwrap_or_default().to_string();
        if name.ends_with("twice") {
            let response = ok_text(&name);
            let (signal, awaited) = channel();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(4));
                signal.send(())
            });
            return Reply::RespondInTwoParts(response.clone(), awaited, response);
        }
        std::thread::sleep(Duration::from_millis(30));
        ok_response(&name)
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client();
    for round in 0..10 {
        for name in [format!("{round}-twice"), format!("{round}-once")] {
            let response = client.call(&get_request(&name, "5000m"));
            assert_eq!(
                String::from_utf8_lossy(&response.body),
                name,
                "{}",
                response.status()
            );
        }
    }
}
