//! Time limits of request bodies, over an in-memory connection.
use super::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Reads a body of this length from a client for which the balancer has waited `time_waited`.
/// Returns how many bytes arrived and how the body ended.
async fn read_body(
    length: usize,
    time_waited: Duration,
    send: impl AsyncFnOnce(&mut DuplexStream),
) -> String {
    let (mut client, server) = tokio::io::duplex(1 << 20);
    let service = service_fn(move |request: Request<Incoming>| async move {
        let mut body = TimeLimitedBody::new(request.into_body(), time_waited);
        let mut received = 0;
        let end = loop {
            match body.next().await {
                None => break "complete".to_string(),
                Some(Ok(chunk)) => received += chunk.len(),
                Some(Err(error)) => break error.to_string(),
            }
        };
        Ok::<_, Infallible>(Response::new(format!("{received} {end}")))
    });
    let connection = tokio::task::spawn_local(
        http1::Builder::new().serve_connection(TokioIo::new(server), service),
    );
    let head = format!("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("is sent");
    send(&mut client).await;
    let mut response = String::new();
    client
        .read_to_string(&mut response)
        .await
        .expect("a response");
    connection.abort();
    response
        .rsplit("\r\n\r\n")
        .next()
        .unwrap_or_default()
        .to_string()
}

/// The body arrives at 64 kB/s, after a head that took 2 s.
#[tokio::test(flavor = "local", start_paused = true)]
async fn reads_a_body_that_arrives_at_64_kb_per_second() {
    let end = read_body(640_000, Duration::from_secs(2), async |client| {
        for _ in 0..40 {
            sleep(Duration::from_millis(250)).await;
            client.write_all(&[0; 16_000]).await.expect("is sent");
        }
    });
    assert_eq!(end.await, "640000 complete");
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn times_out_when_the_body_stops_arriving() {
    let start = Instant::now();
    assert_eq!(
        read_body(1000, Duration::ZERO, async |_| ()).await,
        "0 the request body did not arrive in time"
    );
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    // 640 bytes extend the limit by only 20 ms, at 32 000 bytes per second, even though they arrive
    // at once.
    let start = Instant::now();
    let end = read_body(1000, Duration::from_secs(1), async |client| {
        client.write_all(&[0; 640]).await.expect("is sent");
    });
    assert_eq!(end.await, "640 the request body did not arrive in time");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
}

/// Only the time spent waiting for the client counts, not the time in which the balancer does not
/// read.
#[tokio::test(flavor = "local", start_paused = true)]
async fn does_not_count_time_in_which_the_balancer_does_not_read() {
    let (mut client, server) = tokio::io::duplex(1 << 20);
    let service = service_fn(|request: Request<Incoming>| async move {
        let mut body = TimeLimitedBody::new(request.into_body(), Duration::ZERO);
        let mut received = 0;
        while let Some(chunk) = body.next().await {
            received += chunk.map_or(0, |chunk| chunk.len());
            sleep(Duration::from_secs(3)).await;
        }
        Ok::<_, Infallible>(Response::new(received.to_string()))
    });
    let connection = tokio::task::spawn_local(
        http1::Builder::new().serve_connection(TokioIo::new(server), service),
    );
    let head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n";
    client.write_all(head.as_bytes()).await.expect("is sent");
    client.write_all(&[0; 100_000]).await.expect("is sent");
    let mut response = String::new();
    client
        .read_to_string(&mut response)
        .await
        .expect("a response");
    connection.abort();
    assert!(response.ends_with("\r\n\r\n100000"), "{response}");
}

/// Guards against clients that send much at once, and then a byte from time to time.
#[tokio::test(flavor = "local", start_paused = true)]
async fn bytes_that_came_fast_do_not_extend_later_waits() {
    let start = Instant::now();
    let end = read_body(1 << 20, Duration::ZERO, async |client| {
        client.write_all(&[0; 500_000]).await.expect("is sent");
        while start.elapsed() < Duration::from_secs(8) {
            sleep(Duration::from_secs(2)).await;
            // The balancer may have closed the connection.
            let _ = client.write_all(&[0]).await;
        }
    });
    assert_eq!(end.await, "500001 the request body did not arrive in time");
}
