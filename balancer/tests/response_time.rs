//! The time of responses: they are relayed as long as their client waits and reads, and their
//! upstream sends.
mod common;

use common::*;
use std::io::BufReader;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Writes `bytes` in pieces, which takes `duration`.
fn send_slowly(stream: &mut BufReader<TcpStream>, bytes: &[u8], duration: Duration) {
    const PIECES: u32 = 20;
    for piece in bytes.chunks(bytes.len().div_ceil(PIECES as usize)) {
        send_bytes(stream, piece);
        sleep(duration / PIECES);
    }
}

/// Sends a chunked response of some hundred bytes, which takes `duration`.
fn send_chunks_slowly(stream: &mut BufReader<TcpStream>, duration: Duration) {
    const CHUNKS: u32 = 10;
    send_bytes(
        stream,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for _ in 0..CHUNKS {
        sleep(duration / CHUNKS);
        let chunk = format!("20\r\n{}\r\n", "x".repeat(32));
        send_bytes(stream, chunk.as_bytes());
    }
    send_bytes(stream, b"0\r\n\r\n");
}

/// Guards against counting the time of a response from the start of its request's upload. The upload
/// takes longer than the client waits for the response, and the response longer than it is buffered.
#[test]
fn relays_a_small_response_to_a_slow_upload_until_its_time_is_over() {
    const BODY_BYTES: usize = 200_000;
    let time = Duration::from_millis(2500);
    let upstream = start_raw_upstream(|stream| {
        read_head(stream);
        read_bytes(stream, BODY_BYTES);
        send_chunks_slowly(stream, Duration::from_millis(1800));
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    let head = upload_head("r1", &format!("Content-Length: {BODY_BYTES}"))
        .replace("15000m", &format!("{}m", time.as_millis()));
    send_bytes(&mut client, head.as_bytes());
    send_slowly(&mut client, &test_bytes(BODY_BYTES), Duration::from_secs(3));
    assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
    assert_eq!(read_chunks(&mut client).len(), 320);
}

/// Guards against cutting off a client that reads steadily but slowly. Its socket then has room for
/// more only once in a long time, unless little is kept unsent in it.
#[test]
fn relays_a_large_response_to_a_client_that_reads_slowly() {
    const RESPONSE_BYTES: usize = 8 << 20;
    const READ_RATE: f64 = 64e3;
    /// Longer than a response may stall.
    const SLOW_TIME: Duration = Duration::from_secs(16);
    let upstream = start_raw_upstream(|stream| {
        read_head(stream);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
        send_bytes(stream, head.as_bytes());
        send_bytes(stream, &test_bytes(RESPONSE_BYTES));
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(&mut client, get_request("r1", "3000m").as_bytes());
    assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
    let start = Instant::now();
    let mut body = Vec::new();
    while start.elapsed() < SLOW_TIME {
        body.extend(read_bytes(&mut client, 3200));
        let due = Duration::from_secs_f64(body.len() as f64 / READ_RATE);
        sleep(due.saturating_sub(start.elapsed()));
    }
    let rest = read_bytes(&mut client, RESPONSE_BYTES - body.len());
    body.extend(rest);
    assert!(
        body == test_bytes(RESPONSE_BYTES),
        "the client got a body that differs from the one sent"
    );
}
