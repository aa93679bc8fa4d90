//! Attempts against real sockets: which connection carries them, and how they end.
use super::*;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::connection_pool::{Available, Connection};
use crate::telemetry::metrics::Metrics;
use crate::test_support::get_request;
use hyper::Method;
use std::io::{Read, Write};
use std::net::TcpListener;
use tokio::task::LocalSet;

fn connector(sockets: DescriptorBudget) -> Connector {
    Connector::new(
        Duration::from_secs(5),
        Duration::from_secs(60),
        sockets,
        Rc::default(),
    )
}

fn transport(sockets: DescriptorBudget) -> Transport {
    Transport::new(connector(sockets), Guard::new(Metrics::new(&[])))
}

async fn new_connection(
    connector: &Connector,
    upstream: &Rc<Upstream>,
    until: Instant,
) -> Connection {
    match connector.connect(upstream, until).await {
        Ok(Connected::New(connection)) => connection,
        Ok(Connected::Idle(_)) => panic!("nothing was connected before"),
        Err(ending) => panic!("not connected: {ending:?}"),
    }
}

fn alone(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against requests written to a connection of which the system knows, and the runtime not yet, that
/// it is closed or holds more than the last answer: nothing between that and the next request yields.
#[test]
fn a_connection_with_something_unread_is_not_used_again() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let transport = transport(DescriptorBudget::new(64));
        let rested = |extra: Option<&'static [u8]>| {
            let (transport, listener) =
                (transport.clone(), listener.try_clone().expect("a listener"));
            async move {
                let until = Instant::now() + Duration::from_secs(5);
                let upstream = Upstream::new(addr);
                let mut conn = new_connection(&transport.connector, &upstream, until).await;
                let (mut peer, _) = listener.accept().expect("accepts");
                conn.sender.ready().await.expect("it is open");
                upstream.put_unused(conn);
                match extra {
                    Some(extra) => peer.write_all(extra).expect("writes"),
                    None => drop(peer.shutdown(std::net::Shutdown::Both)),
                }
                let taken = matches!(
                    upstream.take(Duration::from_secs(60)),
                    Available::Connection(_)
                );
                drop(peer);
                taken
            }
        };
        assert!(rested(Some(b"")).await, "one that rests is used");
        assert!(!rested(Some(b"x")).await, "one with noise is not");
        assert!(!rested(None).await, "nor one that is closed");
    });
}

/// Guards against blaming connections for answers that came and can't be read: the module would close good ones.
#[test]
fn an_unreadable_answer_is_an_error_and_a_broken_connection_a_reset() {
    for (answer, wanted) in [
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
    ] {
        alone(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
            let to = Upstream::new(listener.local_addr().expect("an address"));
            let text = answer.to_string();
            let upstream = std::thread::spawn(move || {
                let (mut peer, _) = listener.accept().expect("accepts");
                read_until(&mut peer, b"body");
                // The reader may hang up before it has taken all of it.
                let _ = peer.write_all(text.as_bytes());
            });
            let out = OutboundRequest {
                method: Method::POST,
                body: RequestBody::Whole(Bytes::from("body")),
                ..get_request()
            };
            let until = Instant::now() + Duration::from_secs(50);
            let (ending, _) = transport(DescriptorBudget::new(64))
                .attempt(to, Rc::new(out), until, || (), |_| ())
                .await;
            assert_eq!(ending, wanted, "{answer:.100}");
            upstream.join().expect("the upstream");
        });
    }
}

/// Guards against losing a request that must not run twice to a connection that went stale while it rested: the
/// reset comes for its head, and it has surely not run. The trial is too long to pass by itself.
#[test]
fn a_connection_that_went_stale_costs_no_request() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let to = Upstream::new(listener.local_addr().expect("an address"));
        let upstream = std::thread::spawn(move || {
            let (mut first, _) = listener.accept().expect("accepts");
            assert!(read_until(&mut first, b"body").ends_with(b"body"));
            first
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .expect("writes");
            let stale = read_until(&mut first, b"\r\n\r\n");
            socket2::SockRef::from(&first)
                .set_linger(Some(Duration::ZERO))
                .expect("a socket");
            drop(first);
            let (mut second, _) = listener.accept().expect("accepts");
            assert!(read_until(&mut second, b"body").ends_with(b"body"));
            second
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .expect("writes");
            stale
        });
        let transport = Transport {
            trial: Duration::from_secs(60),
            ..transport(DescriptorBudget::new(64))
        };
        for _ in 0..2 {
            let out = OutboundRequest {
                method: Method::POST,
                body: RequestBody::Whole(Bytes::from("body")),
                ..get_request()
            };
            let until = Instant::now() + Duration::from_secs(50);
            let (ending, answer) = transport
                .attempt(to.clone(), Rc::new(out), until, || (), |_| ())
                .await;
            assert_eq!(ending, AttemptOutcome::Success);
            assert!(matches!(answer, Some(FinalResponse::Served { .. })));
        }
        let stale = upstream.join().expect("the upstream");
        assert!(
            stale.ends_with(b"\r\n\r\n"),
            "the body went out on a connection on trial"
        );
    });
}

/// Reads until what came ends with `end`, or nothing more comes.
fn read_until(from: &mut std::net::TcpStream, end: &[u8]) -> Vec<u8> {
    let (mut all, mut byte) = (Vec::new(), [0]);
    while !all.ends_with(end) && from.read(&mut byte).is_ok_and(|n| n == 1) {
        all.extend_from_slice(&byte);
    }
    all
}

/// Guards against blaming an upstream for our own want of descriptors: nothing was tried.
#[test]
fn a_shortage_of_our_own_is_no_failure_of_the_upstream() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let sockets = DescriptorBudget::new(64);
        let all: Vec<_> = std::iter::from_fn(|| sockets.try_acquire_upstream()).collect();
        let out = get_request();
        let to = Upstream::new(listener.local_addr().expect("an address"));
        let until = Instant::now() + Duration::from_secs(5);
        let (ending, _) = transport(sockets)
            .attempt(to, Rc::new(out), until, || (), |_| ())
            .await;
        assert_eq!(ending, AttemptOutcome::NotSent);
        drop(all);
        listener.set_nonblocking(true).expect("a listener");
        let nobody = listener.accept().map(|(mut s, _)| s.read(&mut [0]));
        assert!(nobody.is_err(), "nothing was connected");
    });
}
