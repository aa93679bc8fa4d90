use super::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// What becomes of a body of this length whose caller was waited for, for this long.
async fn of(length: usize, waited: Duration, send: impl AsyncFnOnce(&mut DuplexStream)) -> String {
    let (mut caller, here) = tokio::io::duplex(1 << 20);
    let service = service_fn(move |request: Request<Incoming>| async move {
        let mut body = Paced::new(request.into_body(), waited);
        let mut came = 0;
        let end = loop {
            match body.next().await {
                None => break "whole".to_string(),
                Some(Ok(piece)) => came += piece.len(),
                Some(Err(fault)) => break fault.to_string(),
            }
        };
        Ok::<_, Infallible>(Response::new(format!("{came} {end}")))
    });
    let served = tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(here), service));
    let head = format!("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("takes it");
    send(&mut caller).await;
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("an answer");
    served.abort();
    answer
        .rsplit("\r\n\r\n")
        .next()
        .unwrap_or_default()
        .to_string()
}

/// 64 kB a second, a second in one piece, behind a head that took 2 s.
#[tokio::test(start_paused = true)]
async fn a_body_at_the_least_rate_promised_is_waited_for() {
    let end = of(640_000, Duration::from_secs(2), async |caller| {
        for _ in 0..40 {
            sleep(Duration::from_millis(250)).await;
            caller.write_all(&[0; 16_000]).await.expect("takes it");
        }
    });
    assert_eq!(end.await, "640000 whole");
}

#[tokio::test(start_paused = true)]
async fn a_body_that_stops_is_given_up_in_time() {
    let start = Instant::now();
    assert_eq!(
        of(1000, Duration::ZERO, async |_| ()).await,
        "0 the body did not come"
    );
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    // What came at once buys no more time than it is worth.
    let start = Instant::now();
    let end = of(1000, Duration::from_secs(1), async |caller| {
        caller.write_all(&[0; 640]).await.expect("takes it");
    });
    assert_eq!(end.await, "640 the body did not come");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
}

/// Only what its caller is waited for counts, not the time in which nobody asks for more.
#[tokio::test(start_paused = true)]
async fn a_body_that_waits_here_is_not_late() {
    let (mut caller, here) = tokio::io::duplex(1 << 20);
    let service = service_fn(|request: Request<Incoming>| async move {
        let mut body = Paced::new(request.into_body(), Duration::ZERO);
        let mut came = 0;
        while let Some(piece) = body.next().await {
            came += piece.map_or(0, |piece| piece.len());
            sleep(Duration::from_secs(3)).await;
        }
        Ok::<_, Infallible>(Response::new(came.to_string()))
    });
    let served = tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(here), service));
    let head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("takes it");
    caller.write_all(&[0; 100_000]).await.expect("takes it");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("an answer");
    served.abort();
    assert!(answer.ends_with("\r\n\r\n100000"), "{answer}");
}
