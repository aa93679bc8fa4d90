//! Large and slow bodies, and all framings of messages.
mod common;

use common::*;
use std::io::{BufReader, Read};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const LARGE_BODY_BYTES: usize = 3 << 20;

/// Echoes request bodies, which must equal `expected`. The request's id selects the framing of the
/// response: `r0` a stated length, `r1` chunks, any other id the end of the connection.
fn echo_in_framing_of_id(stream: &mut BufReader<TcpStream>, expected: &[u8]) {
    loop {
        let head = read_head(stream);
        if head.is_empty() {
            return;
        }
        let chunked = head.to_ascii_lowercase().contains("chunked");
        let received = if chunked {
            read_chunks(stream)
        } else {
            read_bytes(stream, LARGE_BODY_BYTES)
        };
        assert_eq!(received, expected);
        if head.contains("r0") {
            send_bytes(
                stream,
                format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n").as_bytes(),
            );
            send_bytes(stream, &received);
        } else if head.contains("r1") {
            send_bytes(
                stream,
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            );
            send_bytes(
                stream,
                format!("{LARGE_BODY_BYTES:x};name=value\r\n").as_bytes(),
            );
            send_bytes(stream, &received);
            send_bytes(stream, b"\r\n0\r\nTrailer: x\r\n\r\n");
        } else {
            send_bytes(stream, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
            send_bytes(stream, &received);
            return;
        }
    }
}

/// Bodies are sent in both directions, with and without a stated length. Connections stay open
/// where the framing allows it.
#[test]
fn forwards_large_bodies_unchanged_in_every_framing() {
    let body = test_bytes(LARGE_BODY_BYTES);
    let expected_body = body.clone();
    let upstream = start_raw_upstream(move |stream| echo_in_framing_of_id(stream, &expected_body));
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        upload_head("r0", &format!("Content-Length: {LARGE_BODY_BYTES}")).as_bytes(),
    );
    send_bytes(&mut client, &body);
    assert!(read_head(&mut client)
        .to_ascii_lowercase()
        .contains(&format!("content-length: {LARGE_BODY_BYTES}")));
    assert!(read_bytes(&mut client, LARGE_BODY_BYTES) == body);
    // On the same connection, the client sends the body after `100 Continue`.
    let framing = format!("Expect: 100-continue\r\nContent-Length: {LARGE_BODY_BYTES}");
    send_bytes(&mut client, upload_head("r1", &framing).as_bytes());
    assert!(read_head(&mut client).starts_with("HTTP/1.1 100 "));
    send_bytes(&mut client, &body);
    assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
    assert!(read_chunks(&mut client) == body);
    send_bytes(
        &mut client,
        upload_head("r2", "Transfer-Encoding: chunked").as_bytes(),
    );
    let (one, two) = body.split_at(100_000);
    for piece in [one, two] {
        send_bytes(&mut client, format!("{:x};a=b\r\n", piece.len()).as_bytes());
        send_bytes(&mut client, piece);
        send_bytes(&mut client, b"\r\n");
    }
    send_bytes(&mut client, b"0\r\nTrailer: x\r\n\r\n");
    assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
    assert!(read_chunks(&mut client) == body);
}

#[test]
fn forwards_a_response_that_ends_with_its_connection() {
    let upstream = start_raw_upstream(|stream| {
        read_head(stream);
        send_bytes(stream, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = balancer.client();
    for id in ["1", "2"] {
        assert_eq!(client.call(&get_request(id, "15000m")).body, b"whole");
    }
}

/// An HTTP/1.0 client gets no chunks: closing the connection ends the response. A HEAD request is
/// rejected, with a response without a body.
#[test]
fn http_1_0_client_gets_no_chunks_and_head_request_is_rejected() {
    let upstream = start_raw_upstream(|stream| {
        read_head(stream);
        send_bytes(
            stream,
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{LARGE_BODY_BYTES:x}\r\n"
            )
            .as_bytes(),
        );
        send_bytes(stream, &test_bytes(LARGE_BODY_BYTES));
        send_bytes(stream, b"\r\n0\r\n\r\n");
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        get_request("r1", "15000m")
            .replace("HTTP/1.1", "HTTP/1.0")
            .as_bytes(),
    );
    let response = read_head(&mut client).to_ascii_lowercase();
    assert!(
        response.contains(" 200 ") && !response.contains("chunked"),
        "{response}"
    );
    let mut body = Vec::new();
    client
        .read_to_end(&mut body)
        .expect("the connection is closed");
    assert!(
        body == test_bytes(LARGE_BODY_BYTES),
        "the client got a body that differs from the one sent"
    );
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        get_request("r2", "15000m")
            .replace("GET ", "HEAD ")
            .as_bytes(),
    );
    assert!(read_head(&mut client).starts_with("HTTP/1.1 400 "));
    let mut rest = Vec::new();
    client
        .read_to_end(&mut rest)
        .expect("the connection is closed");
    assert!(rest.is_empty(), "the response to a HEAD request has a body");
}

/// Each side gets the first byte before the other one sends the rest.
#[test]
fn forwards_first_bytes_at_once_in_both_directions() {
    let (first_byte_sender, first_byte) = channel();
    let (signal, signal_receiver) = channel::<()>();
    let upstream = start_raw_upstream(move |stream| {
        read_head(stream);
        read_bytes(stream, 1);
        first_byte_sender.send(()).expect("the test waits");
        read_bytes(stream, LARGE_BODY_BYTES - 1);
        send_bytes(
            stream,
            format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\nx").as_bytes(),
        );
        signal_receiver.recv().expect("a signal");
        send_bytes(stream, &vec![b'x'; LARGE_BODY_BYTES - 1]);
    });
    let balancer = BalancerProcess::with_admin(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        upload_head("r1", &format!("Content-Length: {LARGE_BODY_BYTES}")).as_bytes(),
    );
    send_bytes(&mut client, b"y");
    first_byte
        .recv_timeout(TEST_TIMEOUT)
        .expect("the first byte at the upstream");
    let metrics = balancer.call_admin(b"METRICS\n");
    for line in ["node_tries 0", "node_active 0"] {
        assert!(
            metrics.lines().any(|metric| metric == line),
            "no {line} although the request has not arrived completely: {metrics}"
        );
    }
    send_bytes(&mut client, &vec![b'y'; LARGE_BODY_BYTES - 1]);
    assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
    assert_eq!(read_bytes(&mut client, 1), b"x");
    let metrics = balancer.call_admin(b"METRICS\n");
    for line in ["node_tries 1", "node_active 1", "node_ok{kind=\"pay\"} 0"] {
        assert!(
            metrics.lines().any(|metric| metric == line),
            "no {line} in {metrics}"
        );
    }
    signal.send(()).expect("the upstream waits");
    assert_eq!(
        read_bytes(&mut client, LARGE_BODY_BYTES - 1).len(),
        LARGE_BODY_BYTES - 1
    );
    balancer.wait_for_metric("node_ok{kind=\"pay\"} 1");
}

/// 24 clients do not read their responses of 32 MiB each.
#[test]
fn unread_responses_neither_fill_memory_nor_delay_others() {
    const RESPONSE_COUNT: usize = 24;
    const RESPONSE_BYTES: usize = 32 << 20;
    let upstream = StubUpstream::start(|request| match request.header("req-id") {
        Some("small") => ok_response("small"),
        _ => Reply::Respond(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n{}",
            "x".repeat(RESPONSE_BYTES)
        )),
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
    let stalled: Vec<_> = (0..RESPONSE_COUNT)
        .map(|id| {
            let mut client = connect(balancer.address);
            send_bytes(
                &mut client,
                get_request(&id.to_string(), "15000m").as_bytes(),
            );
            assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
            client
        })
        .collect();
    let mut quick = balancer.client();
    for _ in 0..100 {
        assert_eq!(quick.call(&get_request("small", "15000m")).body, b"small");
    }
    let resident = balancer.resident_kb();
    assert!(
        resident < 24 << 10,
        "{RESPONSE_COUNT} responses of {RESPONSE_BYTES} bytes take {resident} kB"
    );
    drop(stalled);
}

/// The client can tell that the response is incomplete: its connection ends before the stated
/// length, or before the last chunk.
#[test]
fn closes_the_client_connection_after_a_truncated_response() {
    let upstream = start_raw_upstream(|stream| {
        let framing = match read_head(stream) {
            head if head.contains("r1") => {
                "Transfer-Encoding: chunked\r\n\r\n20000\r\n".to_string()
            }
            _ => format!("Content-Length: {LARGE_BODY_BYTES}\r\n\r\n"),
        };
        send_bytes(
            stream,
            format!("HTTP/1.1 200 OK\r\n{framing}{}", "x".repeat(100_000)).as_bytes(),
        );
    });
    let balancer = BalancerProcess::with_admin(&[upstream]);
    for id in ["r0", "r1"] {
        let mut client = connect(balancer.address);
        send_bytes(&mut client, get_request(id, "15000m").as_bytes());
        assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
        let mut rest = Vec::new();
        // A reset is also correct.
        let _ = client.read_to_end(&mut rest);
        assert!(
            !rest.ends_with(b"0\r\n\r\n") && rest.len() < LARGE_BODY_BYTES,
            "the truncated response looks complete: {} bytes",
            rest.len()
        );
    }
    balancer.wait_for_metric("node_errors{kind=\"read\"} 2");
    balancer.wait_for_metric("node_active 0");
}

/// A refused connection consumes nothing of the body, so that another upstream can get it.
#[test]
fn retries_a_large_request_after_a_refused_connection() {
    let body = test_bytes(LARGE_BODY_BYTES);
    let expected_body = body.clone();
    let upstream = start_raw_upstream(move |stream| loop {
        if read_head(stream).is_empty() {
            return;
        }
        assert!(
            read_bytes(stream, LARGE_BODY_BYTES) == expected_body,
            "the upstream got a body that differs from the one sent"
        );
        send_bytes(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    let balancer = BalancerProcess::with_upstreams(&[refusing_address(), upstream]);
    let mut client = connect(balancer.address);
    for id in 0..10 {
        send_bytes(
            &mut client,
            upload_head(
                &id.to_string(),
                &format!("Content-Length: {LARGE_BODY_BYTES}"),
            )
            .as_bytes(),
        );
        send_bytes(&mut client, &body);
        assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
    }
}

/// An upstream rejects a request in the middle of its body. The request cannot be retried, as more
/// of its body was sent than the balancer buffers. It has not run, so its client gets a rejection
/// while it still sends.
#[test]
fn rejects_a_large_request_that_its_upstream_rejected_midway() {
    let upstream = start_raw_upstream(|stream| {
        if read_head(stream).is_empty() {
            return;
        }
        read_bytes(stream, LARGE_BODY_BYTES);
        send_bytes(
            stream,
            b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
        );
        read_head(stream);
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream, upstream]);
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        upload_head("r1", &format!("Content-Length: {}", 2 * LARGE_BODY_BYTES)).as_bytes(),
    );
    send_bytes(&mut client, &vec![b'x'; LARGE_BODY_BYTES + 1000]);
    assert!(read_head(&mut client).starts_with("HTTP/1.1 503 "));
}

#[test]
fn cleans_up_after_a_client_that_disconnects_during_its_upload() {
    let (upload_result_sender, upload_results) = channel();
    let (upload_start_sender, upload_starts) = channel();
    let upstream = start_raw_upstream(move |stream| {
        if !read_head(stream).is_empty() {
            upload_start_sender.send(()).expect("the test waits");
            let is_complete = stream.read_exact(&mut vec![0; LARGE_BODY_BYTES]).is_ok();
            upload_result_sender
                .send(is_complete)
                .expect("the test waits");
        }
    });
    let balancer = BalancerProcess::with_admin(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        upload_head("r1", &format!("Content-Length: {LARGE_BODY_BYTES}")).as_bytes(),
    );
    send_bytes(&mut client, &vec![b'x'; 100_000]);
    // A request that is not yet forwarded has no upstream connection to close.
    upload_starts
        .recv_timeout(TEST_TIMEOUT)
        .expect("the request is forwarded");
    drop(client);
    assert!(
        !upload_results
            .recv_timeout(TEST_TIMEOUT)
            .expect("the upstream connection ends"),
        "the upstream got the whole body of a client that disconnected"
    );
    balancer.wait_for_metric("node_active 0");
    assert!(balancer.call_admin(b"METRICS\n").contains("node_tries 0\n"));
}

/// The body has no stated length, so its bytes are counted as they arrive. It exceeds the limit of
/// 32 MiB.
#[test]
fn rejects_an_endless_body() {
    let upstream = start_raw_upstream(|stream| {
        let _ = std::io::copy(stream, &mut std::io::sink());
    });
    let balancer = BalancerProcess::with_upstreams(&[upstream]);
    let mut client = connect(balancer.address);
    send_bytes(
        &mut client,
        upload_head("r1", "Transfer-Encoding: chunked").as_bytes(),
    );
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(1 << 20));
    for _ in 0..33 {
        send_bytes(&mut client, chunk.as_bytes());
    }
    assert!(read_head(&mut client).starts_with("HTTP/1.1 413 "));
}

/// Guards against small responses that begin and never end: they must fail by the request's
/// deadline.
#[test]
fn fails_an_endless_small_response_by_the_deadline() {
    for (framing, is_head_forwarded) in [
        ("Content-Length: 9\r\n\r\nhalf", false),
        ("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true),
    ] {
        let (_signal, signal_receiver) = channel();
        let signal_receiver = Mutex::new(Some(signal_receiver));
        let upstream = StubUpstream::start(move |_| {
            match signal_receiver
                .lock()
                .expect("no thread panicked while it held the lock")
                .take()
            {
                Some(signal_receiver) => Reply::RespondInTwoParts(
                    format!("HTTP/1.1 200 OK\r\n{framing}"),
                    signal_receiver,
                    String::new(),
                ),
                None => ok_response("x"),
            }
        });
        let balancer = BalancerProcess::with_upstreams(&[upstream.address]);
        let start = Instant::now();
        let request =
            payment_request("r1", "1500m").replacen("Host:", "Connection: close\r\nHost:", 1);
        let raw = call_admin(balancer.address, request.as_bytes());
        assert!(
            start.elapsed() < Duration::from_secs(6),
            "{framing:?}: the response failed only after {:?}",
            start.elapsed()
        );
        let expected = if is_head_forwarded {
            "HTTP/1.1 200 OK"
        } else {
            "HTTP/1.1 502 Bad Gateway"
        };
        assert!(
            raw.starts_with(expected) && !raw.ends_with("\r\n0\r\n\r\n"),
            "{raw:?}"
        );
    }
}
