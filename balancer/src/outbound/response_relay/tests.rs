//! Time limits of relayed responses, over in-memory connections and virtual time.
use super::*;
use crate::body::response_body::{upstream_body_stream, UpstreamBodyStream};
use crate::test_support::{get_request, unlimited_memory};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);

/// The body of a response whose upstream sends `head` at once, and then what `send` does.
async fn upstream_body(
    head: &'static str,
    send: impl AsyncFnOnce(&mut DuplexStream) + 'static,
) -> Incoming {
    let (client, mut server) = tokio::io::duplex(1 << 20);
    let (mut sender, connection) = http1::handshake(TokioIo::new(client))
        .await
        .expect("connects");
    tokio::task::spawn_local(connection);
    tokio::task::spawn_local(async move {
        let mut request = [0; 1 << 10];
        let _read = server.read(&mut request).await.expect("a request");
        server.write_all(head.as_bytes()).await.expect("is sent");
        send(&mut server).await;
    });
    let request = Request::new(http_body_util::Empty::<Bytes>::new());
    sender
        .send_request(request)
        .await
        .expect("a response")
        .into_body()
}

/// A request whose time is over after `time`; `None`: its body is incomplete.
fn request_with_time(time: Option<Duration>) -> Rc<OutboundRequest> {
    let request = get_request();
    request.deadline.set(time.map(|time| Instant::now() + time));
    Rc::new(request)
}

/// Reads all that is relayed.
async fn read_stream(mut stream: UpstreamBodyStream) {
    while poll_fn(|cx| stream.poll_chunk(cx))
        .await
        .is_some_and(|chunk| chunk.is_ok())
    {}
}

/// Relays a response to its end. Returns how the relay ended, and after how long.
async fn relay(
    head: &'static str,
    declares_large_body: bool,
    request: Rc<OutboundRequest>,
    send: impl AsyncFnOnce(&mut DuplexStream) + 'static,
) -> (Result<(), AttemptOutcome>, Duration) {
    let start = Instant::now();
    let body = upstream_body(head, send).await;
    let (sender, stream) = upstream_body_stream(None);
    let relay = Relay::new(
        sender,
        body,
        declares_large_body,
        Rc::default(),
        request,
        &unlimited_memory(),
    );
    let (result, ()) = tokio::join!(relay.run(Bytes::new()), read_stream(stream));
    (result, start.elapsed())
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against requests that wait for the end of a response that never ends.
#[tokio::test(flavor = "local", start_paused = true)]
async fn ends_a_small_response_at_the_deadline_of_its_request() {
    let request = request_with_time(Some(4 * SECOND));
    let (result, after) = relay(CHUNKED, false, request, async |server| {
        for _ in 0..100 {
            sleep(SECOND / 2).await;
            server.write_all(b"1\r\nx\r\n").await.expect("is sent");
        }
    })
    .await;
    assert_eq!(result, Err(AttemptOutcome::Timeout));
    assert!(after >= 4 * SECOND && after < 5 * SECOND, "{after:?}");
}

/// Guards against ending a response by a deadline that was set before the request's body was
/// complete.
#[tokio::test(flavor = "local", start_paused = true)]
async fn follows_the_deadline_of_a_request_whose_body_is_completed_later() {
    let request = request_with_time(None);
    let completed = request.clone();
    tokio::task::spawn_local(async move {
        sleep(8 * SECOND).await;
        completed.deadline.set(Some(Instant::now() + 4 * SECOND));
    });
    let (result, _) = relay(CHUNKED, false, request, async |server| {
        sleep(9 * SECOND).await;
        server.write_all(b"1\r\nx\r\n").await.expect("is sent");
        sleep(2 * SECOND).await;
        server.write_all(b"0\r\n\r\n").await.expect("is sent");
    })
    .await;
    assert_eq!(result, Ok(()));
}

/// Guards against cutting off a response that pauses, or that its client does not read for a while,
/// although the client still waits.
#[tokio::test(flavor = "local", start_paused = true)]
async fn does_not_end_a_stalled_response_before_the_deadline_of_its_request() {
    let pause = BODY_STALL_TIMEOUT + 2 * SECOND;
    for declares_large_body in [true, false] {
        let request = request_with_time(Some(pause + SECOND));
        let (result, _) = relay(CHUNKED, declares_large_body, request, async move |server| {
            server.write_all(b"1\r\nx\r\n").await.expect("is sent");
            sleep(pause).await;
            server.write_all(b"0\r\n\r\n").await.expect("is sent");
        })
        .await;
        assert_eq!(result, Ok(()), "large: {declares_large_body}");
    }
    let body = upstream_body(CHUNKED, async |server| {
        for _ in 0..10 {
            server.write_all(b"1\r\nx\r\n").await.expect("is sent");
            sleep(SECOND / 10).await;
        }
        server.write_all(b"0\r\n\r\n").await.expect("is sent");
    })
    .await;
    let (sender, stream) = upstream_body_stream(None);
    let relay = Relay::new(
        sender,
        body,
        true,
        Rc::default(),
        request_with_time(Some(pause + SECOND)),
        &unlimited_memory(),
    );
    let client = async {
        sleep(pause).await;
        read_stream(stream).await;
    };
    let (result, ()) = tokio::join!(relay.run(Bytes::new()), client);
    assert_eq!(result, Ok(()), "the client does not read for a while");
}

/// Guards against upstreams that stop sending in the middle of a large response, and clients that
/// stop reading it, when the time of the request is over.
#[tokio::test(flavor = "local", start_paused = true)]
async fn ends_a_large_response_that_stalls_after_the_deadline_of_its_request() {
    let request = request_with_time(Some(SECOND));
    let (result, after) = relay(CHUNKED, true, request, async |server| {
        server.write_all(b"1\r\nx\r\n").await.expect("is sent");
        sleep(60 * SECOND).await;
    })
    .await;
    assert_eq!(result, Err(AttemptOutcome::Reset));
    assert!(after <= BODY_STALL_TIMEOUT + SECOND, "{after:?}");
    let body = upstream_body(CHUNKED, async |server| {
        while server.write_all(b"1\r\nx\r\n").await.is_ok() {
            sleep(SECOND / 10).await;
        }
    })
    .await;
    let (sender, _unread_stream) = upstream_body_stream(None);
    let start = Instant::now();
    let relay = Relay::new(
        sender,
        body,
        true,
        Rc::default(),
        request_with_time(Some(SECOND)),
        &unlimited_memory(),
    );
    assert_eq!(
        relay.run(Bytes::new()).await,
        Err(AttemptOutcome::Cancelled)
    );
    let after = start.elapsed();
    assert!(after <= BODY_STALL_TIMEOUT + SECOND, "{after:?}");
}

/// Guards against small responses that began before the request was complete, and outlive its time.
#[tokio::test(flavor = "local", start_paused = true)]
async fn ends_an_early_small_response_at_the_deadline_that_is_set_while_it_waits() {
    let request = request_with_time(None);
    let completed = request.clone();
    tokio::task::spawn_local(async move {
        sleep(2 * SECOND).await;
        completed.deadline.set(Some(Instant::now() + 3 * SECOND));
    });
    let (result, after) = relay(CHUNKED, false, request, async |server| {
        server.write_all(b"1\r\nx\r\n").await.expect("is sent");
        sleep(60 * SECOND).await;
    })
    .await;
    assert_eq!(result, Err(AttemptOutcome::Timeout));
    assert!(after >= 5 * SECOND && after < 6 * SECOND, "{after:?}");
}
