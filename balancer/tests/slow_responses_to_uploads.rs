//! Responses that upstreams give slowly to large requests that they have not read to the end.
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// More than the buffers hold on the way to an upstream that does not read. The rest fits into those
/// on the way from the client.
const BODY_BYTES: usize = 4 << 20;
/// How much the upstream reads of it.
const READ_BYTES: usize = 100_000;
/// How long the client waits after its last byte.
const TIME: Duration = Duration::from_millis(1500);
/// Longer than a test waits for a response.
const HANG_TIME: Duration = Duration::from_secs(25);

/// The start of a response at once.
const START: &[Part] = &[part(5_000, 5_000, 0)];
/// A byte for each 30 ms, for longer than a play.
const DRIP: &[Part] = &[part(800, 1, 30)];

/// An upstream that reads the start of a request, responds by `serve`, and hangs.
fn start_upstream(serve: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static) -> SocketAddr {
    start_threaded_upstream(move |stream| {
        read_head(stream);
        read_bytes(stream, READ_BYTES);
        serve(stream);
    })
}

/// Sends a large request whole to a balancer with this upstream, and reads its response.
fn upload(upstream: SocketAddr, request_framing: Framing) -> Received {
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let body = WireBody::new(request_framing, BODY_BYTES, BODY_BYTES);
    let head = upload_head("r1", &body.header);
    let head = head.replace("15000m", &format!("{}m", TIME.as_millis()));
    let mut client = connect(balancer.address);
    send_bytes(&mut client, head.as_bytes());
    let written = client.get_mut().write_all(&body.bytes);
    assert!(written.is_ok(), "the buffers do not hold the request");
    receive(client, Instant::now())
}

/// Guards against ending an upload whose response is in progress because its upstream does not read
/// on: before the response is relayed, and afterwards.
#[test]
fn relays_a_slow_response_to_an_upload_that_is_not_read() {
    let mut plays: Vec<Play> = Vec::new();
    for request_framing in FRAMINGS {
        for framing in RESPONSE_FRAMINGS {
            for delay in [Duration::ZERO, TIME / 2] {
                plays.push(Box::new(move || {
                    let upstream = start_upstream(move |stream| {
                        sleep(delay);
                        if !serve_slowly(stream, framing, STEADY) {
                            // To close the connection would reset it, as it has unread bytes.
                            let _ = stream.get_ref().shutdown(Shutdown::Write);
                        }
                        sleep(HANG_TIME);
                    });
                    let received = upload(upstream, request_framing);
                    let case = format!("{request_framing:?}, {framing:?}, {delay:?}");
                    received.expect_complete(TIME, &case);
                }));
            }
        }
    }
    run_plays(plays);
}

/// Guards against a client that learns only later that its response was truncated, because the rest
/// of its request is discarded before its connection is closed.
#[test]
fn ends_a_truncated_response_to_an_upload_at_once() {
    /// Longer than a body is buffered.
    const RESET_AFTER: Duration = Duration::from_millis(1200);
    for framing in UNSTATED_LENGTH {
        let upstream = start_upstream(move |stream| {
            send_slowly(stream, framing, START);
            sleep(RESET_AFTER);
            let socket = socket2::SockRef::from(stream.get_ref());
            let _ = socket.set_linger(Some(Duration::ZERO));
        });
        let received = upload(upstream, Framing::Length);
        let ended_after = received.ended_after;
        assert!(
            ended_after <= TIME && !received.is_complete,
            "{framing:?}: {:?} ended after {ended_after:?}",
            received.head
        );
    }
}

/// Guards against responses without progress that wait for the end of a request which their upstream
/// does not read: the client has written it, and waits.
#[test]
fn ends_a_response_without_progress_to_an_upload_that_is_not_read() {
    let mut plays: Vec<Play> = Vec::new();
    for request_framing in FRAMINGS {
        for framing in UNSTATED_LENGTH {
            for parts in [START, DRIP] {
                plays.push(Box::new(move || {
                    let upstream = start_upstream(move |stream| {
                        send_slowly(stream, framing, parts);
                        sleep(HANG_TIME);
                    });
                    let received = upload(upstream, request_framing);
                    let ended_after = received.ended_after;
                    assert!(
                        ended_after <= TIME + RESPONSE_GRACE && !received.is_complete,
                        "{request_framing:?}, {framing:?}, {parts:?}: {:?} ended after {ended_after:?}",
                        received.head
                    );
                }));
            }
        }
    }
    run_plays(plays);
}

/// Guards against counting the time of a response that began early from the start of its request:
/// the client still writes when the response is given, and for longer than it waits.
#[test]
fn relays_a_slow_response_while_the_client_still_writes() {
    const UPLOAD_BYTES: usize = 2 * READ_BYTES;
    const PIECES: u32 = 40;
    let upload_time = TIME * 2;
    let mut plays: Vec<Play> = Vec::new();
    for framing in UNSTATED_LENGTH {
        plays.push(Box::new(move || {
            let upstream = start_upstream(move |stream| {
                let reader = stream.get_ref().try_clone().map(BufReader::new);
                let reading = thread::spawn(move || {
                    reader.map(|mut reader| read_bytes(&mut reader, UPLOAD_BYTES - READ_BYTES))
                });
                serve_slowly(stream, framing, STEADY);
                let _ = reading.join();
            });
            let balancer = BalancerProcess::with_upstreams(&[upstream]);
            let head = upload_head("r1", &format!("Content-Length: {UPLOAD_BYTES}"));
            let head = head.replace("15000m", &format!("{}m", TIME.as_millis()));
            let mut client = connect(balancer.address);
            send_bytes(&mut client, head.as_bytes());
            let mut writer = client.get_ref().try_clone().map(BufReader::new);
            let sent_at = Instant::now();
            let writing = thread::spawn(move || {
                let body = test_bytes(UPLOAD_BYTES);
                for piece in body.chunks(UPLOAD_BYTES / PIECES as usize) {
                    if let Ok(writer) = &mut writer {
                        send_bytes(writer, piece);
                    }
                    sleep(upload_time / PIECES);
                }
            });
            let received = receive(client, sent_at);
            received.expect_complete(upload_time + TIME, &format!("{framing:?}"));
            let _ = writing.join();
        }));
    }
    run_plays(plays);
}
