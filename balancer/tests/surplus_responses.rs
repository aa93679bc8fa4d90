//! Upstreams that send a response twice, the second time some milliseconds later: a client must not
//! get the response to another client's request.
#![allow(clippy::expect_used)]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 4;
const REQUESTS_PER_CLIENT: usize = 120;
/// Longer than the idle time after which the balancer prefers a connection for reuse.
const LONG_IDLE_TIME: Duration = Duration::from_millis(1200);
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// A second copy of a response that arrives at least this late may be taken for another request's
/// response once before the balancer detects it; an earlier copy never.
const MIN_DELAY_OF_A_WRONG_RESPONSE: Duration = Duration::from_millis(10);

/// How often an upstream sends a response twice, and how long after the first copy.
#[derive(Clone, Copy, Debug)]
struct Surplus {
    delay: Duration,
    one_in: usize,
}

/// An upstream whose responses contain the request's id and the upstream's name.
fn start_upstream(name: usize, surplus: Surplus) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let served = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let served = served.clone();
            thread::spawn(move || serve(stream, name, surplus, &served));
        }
    });
    address
}

fn serve(stream: TcpStream, name: usize, surplus: Surplus, served: &AtomicUsize) {
    let mut writer = stream.try_clone().expect("a socket");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("req-id").unwrap_or_default();
        let text = ok_text(&format!("{id}@{name}"));
        thread::sleep(SERVICE_TIME);
        // The balancer may have closed the connection.
        let _ = writer.write_all(text.as_bytes());
        let number = served.fetch_add(1, Ordering::SeqCst);
        if number.is_multiple_of(surplus.one_in) {
            let mut writer = writer.try_clone().expect("a socket");
            thread::spawn(move || {
                thread::sleep(surplus.delay);
                let _ = writer.write_all(text.as_bytes());
            });
        }
    }
}

/// Sends sequential requests. Returns the bodies of responses that belong to other requests.
fn wrong_responses(address: SocketAddr, client: usize) -> Vec<String> {
    let mut connection = Client::connect(address);
    let mut wrong = Vec::new();
    for number in 0..REQUESTS_PER_CLIENT {
        let id = format!("{client}-{number}");
        let response = connection.call(&get_request(&id, "10000m"));
        assert_eq!(response.status(), 200, "{id}");
        let body = String::from_utf8_lossy(&response.body).to_string();
        if !body.starts_with(&format!("{id}@")) {
            wrong.push(body);
        }
    }
    wrong
}

/// The number of wrong responses by the name of the upstream that sent them.
fn wrong_responses_by_upstream(surplus: Surplus) -> HashMap<String, usize> {
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|name| start_upstream(name, surplus))
        .collect();
    let balancer = BalancerProcess::with_upstreams(&upstreams);
    let address = balancer.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || wrong_responses(address, client)))
        .collect();
    let mut by_upstream = HashMap::new();
    for client in clients {
        for body in client.join().expect("the client") {
            let (_, name) = body.split_once('@').expect("the upstream's name");
            *by_upstream.entry(name.to_string()).or_default() += 1;
        }
    }
    by_upstream
}

fn assert_at_most_one_wrong_response_per_upstream(one_in: usize) {
    for delay_ms in [1, 4, 9, 11, 15, 25, 60, 200, 1000] {
        let delay = Duration::from_millis(delay_ms);
        let wrong = wrong_responses_by_upstream(Surplus { delay, one_in });
        println!("{delay_ms} ms, one in {one_in}: {wrong:?}");
        let limit = usize::from(delay >= MIN_DELAY_OF_A_WRONG_RESPONSE);
        for (upstream, count) in wrong {
            assert!(
                count <= limit,
                "upstream {upstream}, delay {delay:?}, one in {one_in}: {count} wrong responses"
            );
        }
    }
}

/// Guards against a shift of all later responses to the wrong clients when an upstream sends each
/// response twice.
#[test]
fn an_upstream_that_sends_each_response_twice_causes_at_most_one_wrong_response() {
    assert_at_most_one_wrong_response_per_upstream(1);
}

/// The same for an upstream that sends one response in ten twice.
#[test]
fn an_upstream_that_sends_some_responses_twice_causes_at_most_one_wrong_response() {
    assert_at_most_one_wrong_response_per_upstream(10);
}

/// An upstream with two idle connections, each used for one request. `send_surplus` makes the upstream
/// send a surplus response on the connection that the balancer doesn't reuse next, that of request
/// `first`. The upstream doesn't respond to the first request with id `held`.
struct TwoConnections {
    upstream: StubUpstream,
    balancer: BalancerProcess,
    send_surplus: Sender<()>,
}

impl TwoConnections {
    fn open() -> TwoConnections {
        let (send_surplus, surplus_awaited) = channel();
        let (release, release_awaited) = channel();
        let surplus_awaited = Mutex::new(Some(surplus_awaited));
        let release_awaited = Mutex::new(Some(release_awaited));
        let held_once = AtomicBool::new(false);
        let upstream = StubUpstream::start(move |request| match request.header("req-id") {
            Some("first") => {
                let awaited = surplus_awaited.lock().expect("no panic").take();
                Reply::RespondInTwoParts(ok_text("first"), awaited.expect("once"), ok_text("x"))
            }
            Some("second") => {
                let awaited = release_awaited.lock().expect("no panic").take();
                Reply::RespondAfterSignal(awaited.expect("once"), ok_text("second"))
            }
            Some("held") if !held_once.swap(true, Ordering::SeqCst) => Reply::NeverRespond,
            _ => ok_response("served"),
        });
        let balancer = BalancerProcess::with_admin(&[upstream.address]);
        let mut second = balancer.client_that_sent(&get_request("second", "10000m"));
        upstream.next_request();
        let first = balancer.client().call(&get_request("first", "10000m"));
        assert_eq!(first.body, b"first");
        upstream.next_request();
        release.send(()).expect("the upstream waits");
        assert_eq!(second.read_response().expect("a response").body, b"second");
        thread::sleep(LONG_IDLE_TIME);
        TwoConnections {
            upstream,
            balancer,
            send_surplus,
        }
    }

    /// The response to a request that is in flight when the surplus response arrives.
    fn response_during_surplus(&self, request: &str) -> Message {
        let mut client = self.balancer.client_that_sent(request);
        self.upstream.next_request();
        self.send_surplus.send(()).expect("the upstream waits");
        let response = client.read_response().expect("a response");
        self.balancer.wait_for_metric("node_surplus_detections 1");
        response
    }
}

/// Guards against responding to a request in flight from a connection that may be one response
/// behind: the request is retried on a new connection.
#[test]
fn retries_requests_in_flight_on_used_connections_after_a_surplus_response() {
    let connections = TwoConnections::open();
    let response = connections.response_during_surplus(&get_request("held", "10000m"));
    assert_eq!(response.body, b"served");
    let opened = &connections.upstream.connection_count;
    assert_eq!(opened.load(Ordering::SeqCst), 3);
}

/// The same for a non-idempotent request, which must not run twice: it fails. The next request gets
/// a new connection.
#[test]
fn fails_non_idempotent_requests_in_flight_on_used_connections_after_a_surplus_response() {
    let connections = TwoConnections::open();
    let response = connections.response_during_surplus(&payment_request("held", "10000m"));
    assert_eq!(response.status(), 502);
    let next = connections
        .balancer
        .client()
        .call(&payment_request("next", "10000m"));
    assert_eq!(next.body, b"served");
    let opened = &connections.upstream.connection_count;
    assert_eq!(opened.load(Ordering::SeqCst), 3);
}

/// Guards against surplus responses that operators cannot notice: the metrics count detections and
/// affected upstreams, and the log names the upstream.
#[test]
fn reports_an_upstream_that_sends_surplus_responses() {
    let surplus = Surplus {
        delay: Duration::from_millis(1),
        one_in: 1,
    };
    let upstream = start_upstream(0, surplus);
    let balancer = BalancerProcess::with_admin(&[upstream]);
    balancer.wait_for_metric("node_single_use_upstreams 0");
    let response = balancer.client().call(&get_request("r1", "10000m"));
    assert_eq!(response.status(), 200);
    balancer.wait_for_metric("node_surplus_detections 1");
    balancer.wait_for_metric("node_single_use_upstreams 1");
    balancer.wait_for_log(&format!(
        "upstream {upstream}: data beyond its responses: one request per connection for 60 s"
    ));
}
