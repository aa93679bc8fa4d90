//! The time of large requests: it runs from the moment at which the client has written the last
//! byte, whether or not the balancer can read that byte.
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// More than the buffers hold on the way to an upstream that does not read. The rest fits into those
/// on the way from the client.
const BODY_BYTES: usize = 4 << 20;
/// More than all buffers between a client and its upstream hold.
const HUGE_BODY_BYTES: usize = 30 << 20;
/// How fast an upstream reads that is slow, in bytes per second.
const READ_RATE: f64 = 8e6;
const CHUNK_END: &[u8] = b"\r\n";
/// A response that comes more than this after the client's time is over counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_millis(550);
/// Longer than a test waits for a response.
const HANG_TIME: Duration = Duration::from_secs(25);

/// A payment request with a body of `length` bytes whose client waits for `time`.
fn upload(framing: Framing, length: usize, time: Duration) -> Vec<u8> {
    let body = test_bytes(length);
    let (header, body) = match framing {
        Framing::Length => (format!("Content-Length: {length}"), body),
        Framing::Chunked => {
            let mut chunks = format!("{length:x}\r\n").into_bytes();
            chunks.extend(body);
            chunks.extend(b"\r\n0\r\n\r\n");
            ("Transfer-Encoding: chunked".to_string(), chunks)
        }
    };
    let head = upload_head("r1", &header).replace("15000m", &format!("{}m", time.as_millis()));
    [head.into_bytes(), body].concat()
}

/// Writes a request whole, although its upstream does not read all of it. Returns when the last byte
/// was written.
fn write_whole(client: &mut BufReader<TcpStream>, request: &[u8]) -> Instant {
    let stream = client.get_mut();
    let written = stream
        .set_write_timeout(Some(Duration::from_secs(5)))
        .and_then(|()| stream.write_all(request));
    assert!(
        written.is_ok(),
        "the buffers do not hold the request: {written:?}"
    );
    Instant::now()
}

/// Reads a huge request at [`READ_RATE`].
fn read_steadily(stream: &mut BufReader<TcpStream>, framing: Framing) {
    read_head(stream);
    let mut remaining = HUGE_BODY_BYTES;
    while remaining > 0 {
        let step = match framing {
            Framing::Length => remaining.min(64 << 10),
            Framing::Chunked => read_chunk_size(stream),
        };
        read_bytes(stream, step);
        if matches!(framing, Framing::Chunked) {
            read_bytes(stream, CHUNK_END.len());
        }
        remaining -= step;
        sleep(Duration::from_secs_f64(step as f64 / READ_RATE));
    }
}

/// Sends a request whole to a balancer with this upstream. Checks that its response, or the end of
/// the connection, comes in time.
fn expect_end_in_time(upstream: SocketAddr, framing: Framing, case: &str) -> String {
    let time = Duration::from_millis(1500);
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    let written_at = write_whole(&mut client, &upload(framing, BODY_BYTES, time));
    let head = read_head(&mut client);
    let waited = written_at.elapsed();
    assert!(
        waited <= time + RESPONSE_GRACE,
        "{case}, {framing:?}: {head:?} after {waited:?}"
    );
    head
}

/// Guards against large requests that wait beyond their time while their upstream hangs. The request
/// has not run, so its client may retry.
#[test]
fn answers_a_large_request_in_time_when_its_upstream_stops_reading() {
    for framing in FRAMINGS {
        let upstream = start_raw_upstream(|stream| {
            read_head(stream);
            sleep(HANG_TIME);
        });
        let head = expect_end_in_time(upstream, framing, "the upstream does not read");
        assert!(head.starts_with("HTTP/1.1 503 "), "{framing:?}: {head}");
    }
}

/// Guards against counting a request's time only from when the balancer could read its last byte.
#[test]
fn answers_a_large_request_in_time_when_its_upstream_reads_slowly() {
    for framing in FRAMINGS {
        let upstream = start_raw_upstream(|stream| {
            read_head(stream);
            let mut step = vec![0; 32 << 10];
            while stream.read(&mut step).is_ok_and(|count| count > 0) {
                sleep(Duration::from_millis(64));
            }
        });
        expect_end_in_time(upstream, framing, "the upstream reads slowly");
    }
}

/// Guards against requests without any time limit: the upstream has begun its response before the
/// request was complete, and then hangs.
#[test]
fn answers_a_large_request_in_time_when_its_upstream_hangs_after_an_early_head() {
    for framing in FRAMINGS {
        let upstream = start_raw_upstream(|stream| {
            read_head(stream);
            send_bytes(
                stream,
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            );
            sleep(HANG_TIME);
        });
        expect_end_in_time(upstream, framing, "the upstream responds early");
    }
}

/// Guards against a timer that was set for a client that was still writing. The upstream pauses at
/// first for longer than the client waits for the response, and hangs near the end of the request.
#[test]
fn answers_a_huge_request_in_time_when_its_upstream_hangs_at_the_end() {
    const UNREAD_BYTES: usize = 6 << 20;
    let time = Duration::from_millis(1500);
    let upstream = start_raw_upstream(move |stream| {
        // Otherwise its buffer grows until it holds the unread rest.
        let _ = socket2::SockRef::from(stream.get_ref()).set_recv_buffer_size(128 << 10);
        read_head(stream);
        sleep(time * 3 / 2);
        read_bytes(stream, HUGE_BODY_BYTES - UNREAD_BYTES);
        sleep(HANG_TIME);
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    let request = upload(Framing::Length, HUGE_BODY_BYTES, time);
    let written_at = write_whole(&mut client, &request);
    let head = read_head(&mut client);
    let waited = written_at.elapsed();
    assert!(waited <= time + RESPONSE_GRACE, "{head:?} after {waited:?}");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
}

/// Guards against ending a request whose client is still writing, because its upstream reads nothing
/// for longer than the client waits for the response.
#[test]
fn serves_a_large_request_whose_upstream_pauses_while_the_client_writes() {
    let time = Duration::from_millis(1200);
    let upstream = start_raw_upstream(move |stream| {
        read_head(stream);
        sleep(time * 2);
        read_bytes(stream, HUGE_BODY_BYTES);
        send_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(&mut client, &upload(Framing::Length, HUGE_BODY_BYTES, time));
    let head = read_head(&mut client);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
}

/// The upload takes longer than the client waits for the response, as the upstream reads steadily
/// but no faster.
#[test]
fn serves_a_large_request_whose_upload_takes_longer_than_its_time() {
    for framing in FRAMINGS {
        let upstream = start_raw_upstream(move |stream| {
            read_steadily(stream, framing);
            send_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        let balancer = BalancerProcess::with_upstreams(&[upstream]);
        let mut client = connect(balancer.address);
        let start = Instant::now();
        let time = Duration::from_secs(3);
        send_bytes(&mut client, &upload(framing, HUGE_BODY_BYTES, time));
        let head = read_head(&mut client);
        assert!(head.starts_with("HTTP/1.1 200 "), "{framing:?}: {head}");
        assert!(
            start.elapsed() > time,
            "{framing:?}: the upload was faster than the test means it to be"
        );
    }
}

/// Guards against counting the time that a request's head waited behind another request, although
/// the client wrote its last byte only later, when the balancer already waited for it.
#[test]
fn counts_the_time_of_a_queued_request_from_its_last_byte() {
    const RESPONSE_TIME: Duration = Duration::from_millis(1200);
    let upstream = start_raw_upstream(|stream| {
        while !read_head(stream).is_empty() {
            sleep(RESPONSE_TIME);
            send_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let time = RESPONSE_TIME * 2 - Duration::from_millis(400);
    let request = payment_request("r2", &format!("{}m", time.as_millis()));
    let (head, body) = request.split_at(request.len() - "body".len());
    let mut client = balancer.client();
    client.send(&get_request("r1", "15000m"));
    client.send(head);
    let first = client.read_response().expect("a response");
    assert_eq!(first.status(), 200);
    sleep(Duration::from_millis(300));
    client.send(body);
    let second = client.read_response().expect("a response");
    assert_eq!(second.status(), 200);
}
