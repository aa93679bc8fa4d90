//! Attempts over real sockets: which connection carries them, and which outcome they have.
use super::*;
use crate::body::request_body::RequestBody;
use crate::memory::budget::MemoryBudget;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::connection_pool::{Connection, PooledConnection};
use crate::outbound::surplus_history::SurplusCause;
use crate::outbound::surplus_reporter::SurplusRecipient;
use crate::telemetry::metrics::Metrics;
use crate::test_support::get_request;
use bytes::Bytes;
use hyper::Method;
use std::io::{Read, Write};
use std::net::TcpListener;
use tokio::task::LocalSet;

/// Longer than the reuse delay of a connection.
const REUSE_WAIT: Duration = Duration::from_secs(1);

fn connector(descriptors: DescriptorBudget) -> Connector {
    Connector::new(
        Duration::from_secs(5),
        Duration::from_secs(60),
        descriptors,
        Rc::default(),
    )
}

fn transport(descriptors: DescriptorBudget) -> Transport {
    let memory = MemoryBudget::new(None, descriptors.clone());
    Transport::new(
        connector(descriptors),
        Guard::new(Metrics::new(&[])),
        memory,
    )
}

async fn new_connection(
    connector: &Connector,
    upstream: &Rc<Upstream>,
    deadline: Instant,
) -> Connection {
    match connector.connect(upstream, deadline).await {
        Ok(connected) => {
            assert_eq!(
                connected.origin,
                ConnectionOrigin::New,
                "nothing was connected before"
            );
            connected.connection
        }
        Err(outcome) => panic!("not connected: {outcome:?}"),
    }
}

fn run_test(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against writing a request to a connection that is closed or has unread bytes. The kernel
/// knows this before the runtime does, as nothing between the last response and the next request
/// yields to the runtime.
#[test]
fn does_not_reuse_a_closed_connection_or_one_with_unread_bytes() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        let transport = transport(DescriptorBudget::new(64));
        let is_reused = |sent_by_upstream: Option<&'static [u8]>| {
            let transport = transport.clone();
            let listener = listener.try_clone().expect("a listener");
            async move {
                let deadline = Instant::now() + Duration::from_secs(5);
                let upstream = Upstream::new(address);
                let mut connection =
                    new_connection(&transport.connector, &upstream, deadline).await;
                let (mut peer, _) = listener.accept().expect("accepts");
                connection.sender.ready().await.expect("it is open");
                upstream.add_unused(connection);
                match sent_by_upstream {
                    Some(bytes) => peer.write_all(bytes).expect("writes"),
                    None => drop(peer.shutdown(std::net::Shutdown::Both)),
                }
                let is_reused = matches!(
                    upstream.take_idle(Duration::from_secs(60)),
                    PooledConnection::Ready(_)
                );
                drop(peer);
                is_reused
            }
        };
        assert!(is_reused(Some(b"")).await, "an idle one is reused");
        assert!(!is_reused(Some(b"x")).await, "one with unread bytes is not");
        assert!(!is_reused(None).await, "a closed one is not");
    });
}

/// Responses that end early, are malformed or declare too large a body, each with the outcome of
/// its attempt.
const UNUSABLE_RESPONSES: [(&str, AttemptOutcome); 10] = [
    (
        "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nxx",
        AttemptOutcome::Error,
    ),
    (
        "ICY 200 OK\r\nContent-Length: 2\r\n\r\nxx",
        AttemptOutcome::Error,
    ),
    (
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nxx",
        AttemptOutcome::Error,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nxx",
        AttemptOutcome::Error,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx",
        AttemptOutcome::Error,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n",
        AttemptOutcome::Error,
    ),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx",
        AttemptOutcome::Reset,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nx",
        AttemptOutcome::Reset,
    ),
    ("HTTP/1.1 200 OK\r\nContent-Len", AttemptOutcome::Reset),
    ("", AttemptOutcome::Reset),
];

/// Guards against reporting a malformed response as a broken connection: the core would close
/// intact connections.
#[test]
fn reports_a_malformed_response_as_error_and_a_broken_connection_as_reset() {
    for (response, expected) in UNUSABLE_RESPONSES {
        run_test(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let upstream = Upstream::new(listener.local_addr().expect("an address"));
            let text = response.to_string();
            let server = std::thread::spawn(move || {
                let (mut peer, _) = listener.accept().expect("accepts");
                read_until(&mut peer, b"body");
                // The balancer may disconnect before it has read the whole response.
                let _ = peer.write_all(text.as_bytes());
            });
            let request = OutboundRequest {
                method: Method::POST,
                body: RequestBody::Buffered(Bytes::from("body")),
                ..get_request()
            };
            let deadline = Instant::now() + Duration::from_secs(50);
            let result = transport(DescriptorBudget::new(64))
                .attempt(
                    upstream,
                    Rc::new(request),
                    deadline,
                    Rc::default(),
                    || (),
                    |_| (),
                )
                .await;
            assert_eq!(result.outcome, expected, "{response:.100}");
            server.join().expect("the upstream");
        });
    }
}

/// Serves a request, resets its connection after the head of the next request, and serves that
/// request on a second connection. Returns what the first connection received of it before the
/// reset.
fn serve_with_one_stale_connection(listener: &TcpListener) -> Vec<u8> {
    let (mut first, _) = listener.accept().expect("accepts");
    assert!(read_until(&mut first, b"body").ends_with(b"body"));
    first
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("writes");
    let received_on_stale = read_until(&mut first, b"\r\n\r\n");
    socket2::SockRef::from(&first)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
    drop(first);
    let (mut second, _) = listener.accept().expect("accepts");
    assert!(read_until(&mut second, b"body").ends_with(b"body"));
    second
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("writes");
    received_on_stale
}

/// Guards against losing a non-idempotent request on a connection that became stale while it was
/// idle: the upstream resets the connection after the request's head, and the request has not run.
/// The body is withheld for 60 s here, so that only the reset can end the wait. The test waits
/// between the two requests, so that the reuse delay has passed and the second request takes the
/// idle connection at once.
#[test]
fn repeats_a_request_whose_idle_connection_was_stale() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = Upstream::new(listener.local_addr().expect("an address"));
        let server = std::thread::spawn(move || serve_with_one_stale_connection(&listener));
        let transport = Transport {
            body_delay_on_pooled_connection: Duration::from_secs(60),
            ..transport(DescriptorBudget::new(64))
        };
        for _ in 0..2 {
            let request = OutboundRequest {
                method: Method::POST,
                body: RequestBody::Buffered(Bytes::from("body")),
                ..get_request()
            };
            let deadline = Instant::now() + Duration::from_secs(50);
            let result = transport
                .attempt(
                    upstream.clone(),
                    Rc::new(request),
                    deadline,
                    Rc::default(),
                    || (),
                    |_| (),
                )
                .await;
            assert_eq!(result.outcome, AttemptOutcome::Success);
            assert!(matches!(
                result.response,
                Some(FinalResponse::Served { .. })
            ));
            tokio::time::sleep(REUSE_WAIT).await;
        }
        let received_on_stale = server.join().expect("the upstream");
        assert!(
            received_on_stale.ends_with(b"\r\n\r\n"),
            "the body was written although its delay had not ended"
        );
    });
}

/// Guards against reporting a reset for a connection that the balancer closed because of surplus
/// data: the core would take all idle connections for stale, and close them before each attempt.
#[test]
fn reports_a_request_that_may_get_another_requests_response_as_error() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = Upstream::new(listener.local_addr().expect("an address"));
        let (second_arrived, second_awaited) = tokio::sync::oneshot::channel();
        let server = std::thread::spawn(move || {
            let (mut peer, _) = listener.accept().expect("accepts");
            read_until(&mut peer, b"\r\n\r\n");
            peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .expect("writes");
            read_until(&mut peer, b"\r\n\r\n");
            second_arrived.send(()).expect("the test waits");
            read_until(&mut peer, b"\r\n\r\n")
        });
        let transport = transport(DescriptorBudget::new(64));
        let attempt = || {
            let deadline = Instant::now() + Duration::from_secs(50);
            let request = Rc::new(get_request());
            transport.attempt(
                upstream.clone(),
                request,
                deadline,
                Rc::default(),
                || (),
                |_| (),
            )
        };
        assert_eq!(attempt().await.outcome, AttemptOutcome::Success);
        tokio::time::sleep(REUSE_WAIT).await;
        let detection = async {
            second_awaited.await.expect("a request");
            upstream.record_surplus(SurplusCause::ProbableDuplicate, Instant::now());
        };
        let (result, ()) = tokio::join!(attempt(), detection);
        assert_eq!(result.outcome, AttemptOutcome::Error);
        // The connection's task takes some time to close it.
        tokio::time::sleep(REUSE_WAIT).await;
        assert!(server.is_finished(), "the connection is closed");
        let further = server.join().expect("the upstream");
        assert!(further.is_empty(), "nothing more is written to it");
    });
}

/// Reads until the bytes end with `end`, or the stream ends.
fn read_until(from: &mut std::net::TcpStream, end: &[u8]) -> Vec<u8> {
    let mut all = Vec::new();
    let mut byte = [0];
    while !all.ends_with(end) && from.read(&mut byte).is_ok_and(|n| n == 1) {
        all.extend_from_slice(&byte);
    }
    all
}

/// Guards against reporting a shortage of descriptors in this process as a failure of the upstream:
/// nothing was sent.
#[test]
fn reports_a_shortage_of_descriptors_as_not_sent() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let descriptors = DescriptorBudget::new(64);
        let all: Vec<_> = std::iter::from_fn(|| descriptors.try_acquire_connection()).collect();
        let request = get_request();
        let upstream = Upstream::new(listener.local_addr().expect("an address"));
        let deadline = Instant::now() + Duration::from_secs(5);
        let result = transport(descriptors)
            .attempt(
                upstream,
                Rc::new(request),
                deadline,
                Rc::default(),
                || (),
                |_| (),
            )
            .await;
        assert_eq!(result.outcome, AttemptOutcome::NotSent);
        drop(all);
        listener.set_nonblocking(true).expect("a listener");
        let connected = listener.accept().map(|(mut s, _)| s.read(&mut [0]));
        assert!(connected.is_err(), "nothing was connected");
    });
}
