//! Clients that disconnect while their request waits. Each test covers one reason to wait, with
//! every way of disconnecting. Most tests run each way twice: without and with unread bytes after
//! the request, as a reader reaches the end of the stream only after these bytes.
mod common;
use common::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Every way of disconnecting, without and with bytes after the request.
fn disconnect_cases() -> impl Iterator<Item = (Disconnect, String)> {
    DISCONNECTS.into_iter().flat_map(|how| {
        ["".to_string(), get_request("behind", "60000m")].map(|behind| (how, behind))
    })
}

/// A client that has half-closed its connection gets a response with this status, and no other.
fn expect_only_response(client: Option<Client>, status: u16, case: &str) {
    if let Some(mut client) = client {
        assert_eq!(
            client.read_response().map(|response| response.status()),
            Some(status),
            "{case}"
        );
        assert!(
            client.read_response().is_none(),
            "{case}: the request behind it was read"
        );
    }
}

/// A balancer with an admin endpoint, a long dial timeout, and one upstream to which connections do
/// not open yet.
fn balancer_with_unopened_upstream(cancel: bool) -> (BalancerProcess, UnresponsiveListener) {
    let unresponsive = UnresponsiveListener::start();
    let discovery = StubDiscovery::start();
    let config = balancer_config(
        discovery.address,
        1024,
        &endpoint_list(1, true, &[(0, unresponsive.address, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":80000,\"idle_close\"")
    .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let balancer = BalancerProcess::run(balancer_command(&with_admin_endpoint(&config)), discovery);
    // Once a call has arrived, the connection to discovery is open: tests that count descriptors
    // don't take its descriptor for that of a connection to the upstream.
    balancer.discovery.next_call_path();
    (balancer, unresponsive)
}

#[test]
fn writes_nothing_for_a_client_that_disconnects_while_dialling() {
    for cancel in [true, false] {
        for (how, behind) in disconnect_cases() {
            let case = format!("{how:?}, {} bytes behind, cancel {cancel}", behind.len());
            let (balancer, unresponsive) = balancer_with_unopened_upstream(cancel);
            let client = balancer
                .client_that_sent(&format!("{}{behind}", payment_request("gone", "60000m")));
            balancer.wait_for_metric("node_active 1");
            let client = client.disconnect(how);
            balancer.wait_for_metric("node_active 0");
            expect_only_response(client, 502, &case);
            // Without cancellation the connection opens now, and nothing is written to it.
            if !cancel {
                assert!(
                    read_message(&mut unresponsive.accept_first_connection()).is_none(),
                    "{case}"
                );
            }
            balancer.wait_for_metric("node_tries 0");
        }
    }
}

#[test]
fn writes_nothing_for_a_large_request_whose_client_disconnects_while_dialling() {
    for how in DISCONNECTS {
        let (balancer, unresponsive) = balancer_with_unopened_upstream(false);
        // More than the balancer buffers, but no more than the kernel does: the end of the stream
        // could not arrive after a longer body.
        let body = "x".repeat(70_000);
        let head = payment_request("gone", "60000m").replace(
            "Content-Length: 4\r\n\r\nbody",
            "Content-Length: 70000\r\n\r\n",
        );
        let idle_count = balancer.descriptor_count();
        let client = balancer.client_that_sent(&format!("{head}{body}"));
        // One descriptor is the client's connection, the other the socket that dials.
        balancer.wait_for_descriptors(
            |count| count >= idle_count + 2,
            "the balancer does not dial",
        );
        let client = client.disconnect(how);
        if client.is_none() {
            balancer.wait_for_descriptors(
                |count| count <= idle_count + 1,
                "the balancer does not notice that the client disconnected",
            );
        }
        expect_only_response(client, 502, &format!("{how:?}"));
        assert!(
            read_message(&mut unresponsive.accept_first_connection()).is_none(),
            "{how:?}"
        );
    }
}

#[test]
fn does_not_retry_for_a_client_that_disconnects_during_an_attempt() {
    for (how, behind) in disconnect_cases() {
        let case = format!("{how:?}, {} bytes behind", behind.len());
        let (signal, signal_receiver) = channel();
        let signal_receiver = Mutex::new(Some(signal_receiver));
        let declined =
            "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
        let upstream = StubUpstream::start(move |_| {
            match signal_receiver
                .lock()
                .expect("no thread panicked while it held the lock")
                .take()
            {
                Some(signal_receiver) => {
                    Reply::RespondAfterSignal(signal_receiver, declined.into())
                }
                None => ok_response("x"),
            }
        });
        let discovery = StubDiscovery::start();
        let config = balancer_config(
            discovery.address,
            1024,
            &endpoint_list(1, true, &[(0, upstream.address, "active")]),
        )
        .replace("\"cancel\":true", "\"cancel\":false");
        let balancer =
            BalancerProcess::run(balancer_command(&with_admin_endpoint(&config)), discovery);
        let client =
            balancer.client_that_sent(&format!("{}{behind}", payment_request("gone", "60000m")));
        assert_eq!(
            upstream.next_request().header("req-id"),
            Some("gone"),
            "{case}"
        );
        let client = client.disconnect(how);
        balancer.wait_for_metric("node_active 0");
        signal.send(()).expect("the upstream waits");
        expect_only_response(client, 502, &case);
        assert_eq!(
            balancer
                .client()
                .call(&get_request("next", "15000m"))
                .status(),
            200,
            "{case}"
        );
        assert_eq!(
            upstream.next_request().header("req-id"),
            Some("next"),
            "{case}"
        );
        assert_eq!(upstream.further_request_count(), 0, "{case}");
    }
}

#[test]
fn cancels_in_flight_attempt_when_client_disconnects() {
    for (how, behind) in disconnect_cases() {
        let case = format!("{how:?}, {} bytes behind", behind.len());
        let upstream = StubUpstream::start(|request| {
            if request.header("req-id") == Some("next") {
                ok_response("x")
            } else {
                Reply::NeverRespond
            }
        });
        let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
        let client =
            balancer.client_that_sent(&format!("{}{behind}", payment_request("gone", "60000m")));
        upstream.next_request();
        let client = client.disconnect(how);
        upstream.wait_for_closed_connection();
        expect_only_response(client, 502, &case);
        assert_eq!(
            balancer
                .client()
                .call(&get_request("next", "15000m"))
                .status(),
            200,
            "{case}"
        );
        assert_eq!(
            upstream.next_request().header("req-id"),
            Some("next"),
            "{case}"
        );
    }
}

/// An attempt must not start more than 0.1 s after its client has disconnected.
#[test]
fn notices_a_disconnect_behind_unread_bytes_at_once() {
    let upstream = StubUpstream::start(|_| Reply::NeverRespond);
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    for how in DISCONNECTS {
        // The best of several rounds counts, as a busy machine may delay some.
        let rounds = (0..5).map(|round| {
            let client =
                balancer.client_that_sent(&payment_request(&format!("{how:?}{round}"), "60000m"));
            upstream.next_request();
            let mut client = client;
            client.send(&get_request("behind", "60000m"));
            std::thread::sleep(Duration::from_millis(10));
            let disconnected_at = Instant::now();
            let half_closed = client.disconnect(how);
            upstream.wait_for_closed_connection();
            drop(half_closed);
            disconnected_at.elapsed()
        });
        let best = rounds.min().expect("some rounds");
        assert!(
            best < Duration::from_millis(50),
            "{how:?}: the fastest round took {best:?}"
        );
    }
}

/// Unread bytes behind a request that waits are read after its response.
#[test]
fn serves_pipelined_requests_in_order() {
    let (signal, reply) = hold_first_request("first", "second");
    let upstream = StubUpstream::start(reply);
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let mut client = balancer.client_that_sent(&get_request("r1", "15000m"));
    upstream.next_request();
    // More than the balancer reads at once, so that the kernel buffers the rest.
    let many: String = (2..400)
        .map(|i| get_request(&format!("r{i}"), "15000m"))
        .collect();
    client.send(&many);
    std::thread::sleep(Duration::from_millis(20));
    signal.send(()).expect("the upstream waits");
    assert_eq!(client.read_response().expect("a response").body, b"first");
    for i in 2..400 {
        assert_eq!(
            client.read_response().map(|response| response.body),
            Some(b"second".to_vec()),
            "request {i}"
        );
    }
}

/// Clients may send requests on connections that wait to be accepted, as the limit of connections is
/// reached. If such a client disconnects, its request is not forwarded.
#[test]
fn does_not_forward_a_request_whose_client_disconnects_before_it_is_accepted() {
    for (how, behind) in disconnect_cases() {
        let case = format!("{how:?}, {} bytes behind", behind.len());
        let (signal, signal_receiver) = channel();
        let signal_receiver = Mutex::new(Some(signal_receiver));
        let served = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
        let upstream = StubUpstream::start(move |request| {
            match signal_receiver
                .lock()
                .expect("no thread panicked while it held the lock")
                .take()
            {
                Some(signal_receiver) => Reply::RespondAfterSignal(signal_receiver, served.into()),
                None if request.header("req-id") == Some("next") => ok_response("x"),
                None => Reply::NeverRespond,
            }
        });
        let balancer = BalancerProcess::start(
            64,
            &endpoint_list(1, true, &[(0, upstream.address, "active")]),
        );
        // All permits are in use by clients that wait for responses; the first of them gets one
        // after the signal.
        let mut first = balancer.client_that_sent(&payment_request("r0", "15000m"));
        upstream.next_request();
        let send_unanswered = |i| {
            let client = balancer.client_that_sent(&get_request(&format!("r{i}"), "15000m"));
            upstream.next_request();
            client
        };
        let others: Vec<Client> = (1..20).map(send_unanswered).collect();
        let client = balancer
            .client_that_sent(&format!("{}{behind}", payment_request("gone", "60000m")))
            .disconnect(how);
        signal.send(()).expect("the upstream waits");
        assert_eq!(
            first.read_response().map(|response| response.status()),
            Some(200),
            "{case}"
        );
        expect_only_response(client, 503, &case);
        // A client that connects afterwards is served.
        assert_eq!(
            balancer
                .client()
                .call(&get_request("next", "15000m"))
                .status(),
            200,
            "{case}"
        );
        assert_eq!(
            upstream.next_request().header("req-id"),
            Some("next"),
            "{case}"
        );
        drop(others);
    }
}
