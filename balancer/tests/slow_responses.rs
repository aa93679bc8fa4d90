//! Responses that upstreams give slowly: they are relayed as long as their upstream makes progress.
mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The same rate as [`STEADY`] in large pieces.
const LARGE_PIECES: &[Part] = &[part(SLOW_BODY_BYTES, 25_000, 500)];
/// 10 kB/s in small pieces.
const SMALL_PIECES: &[Part] = &[part(SLOW_BODY_BYTES, 250, 25)];
/// A pause after the time of the request, with less than 64 KiB sent before.
const LATE_PAUSE: &[Part] = &[
    part(50_000, 2_500, 100),
    part(2_500, 2_500, 3_000),
    part(47_500, 2_500, 10),
];
/// How a response is sent that is larger than a body that is buffered completely.
const PACES: [&[Part]; 4] = [STEADY, LARGE_PIECES, SMALL_PIECES, LATE_PAUSE];

/// Longer than a body of unstated length is buffered.
const TIME: Duration = Duration::from_millis(1200);
fn relay_at_each_pace(time: Duration) {
    let mut plays: Vec<Play> = Vec::new();
    for framing in RESPONSE_FRAMINGS {
        for parts in PACES {
            plays.push(Box::new(move || {
                let upstream = start_slow_upstream(framing, parts, Duration::ZERO);
                let balancer = BalancerProcess::with_upstreams(&[upstream]);
                let received = call_and_measure(connect(balancer.address), time);
                received.expect_complete(time, &format!("{framing:?}, {parts:?}"));
            }));
        }
    }
    run_plays(plays);
}

/// Guards against cutting off a response of unstated length at its request's deadline because less
/// than 64 KiB have been sent by then.
#[test]
fn relays_a_slow_response_beyond_the_time_of_its_request() {
    relay_at_each_pace(TIME);
}

/// Guards against taking the time in which a client does not read for a pause of its upstream.
#[test]
fn relays_a_slow_response_to_a_client_that_reads_slowly() {
    const RATE: f64 = 32e3;
    let mut plays: Vec<Play> = Vec::new();
    for framing in UNSTATED_LENGTH {
        plays.push(Box::new(move || {
            let upstream = start_slow_upstream(framing, STEADY, Duration::ZERO);
            let balancer = BalancerProcess::with_upstreams(&[upstream]);
            let mut client = connect_with_small_buffers(balancer.address);
            send_bytes(&mut client, payment_request("r1", "1200m").as_bytes());
            assert!(read_head(&mut client).starts_with("HTTP/1.1 200 "));
            let received = read_body_slowly(client, Framing::Chunked, SLOW_BODY_BYTES, RATE);
            assert_eq!(received, SLOW_BODY_BYTES, "{framing:?}");
        }));
    }
    run_plays(plays);
}

/// Nothing of a response is passed on while it is buffered, so an idempotent request is retried if
/// its response ends early.
#[test]
fn retries_a_request_whose_buffered_response_breaks_off() {
    const START: &[Part] = &[part(5_000, 2_500, 100)];
    for framing in RESPONSE_FRAMINGS {
        if framing == ResponseFraming::StatedLength {
            continue;
        }
        let attempts = Arc::new(AtomicUsize::new(0));
        let attempt_count = attempts.clone();
        let upstream = start_threaded_upstream(move |stream| {
            if read_head(stream).is_empty() {
                return;
            }
            if attempt_count.fetch_add(1, Ordering::SeqCst) == 0 {
                send_slowly(stream, framing, START);
                // A reset, as the end of the connection would end the body.
                let socket = socket2::SockRef::from(stream.get_ref());
                socket.set_linger(Some(Duration::ZERO)).expect("a socket");
                return;
            }
            serve_slowly(stream, framing, STEADY);
        });
        let balancer = BalancerProcess::with_upstreams(&[upstream]);
        let mut client = connect(balancer.address);
        send_bytes(&mut client, get_request("r1", "1500m").as_bytes());
        receive(client, Instant::now()).expect_complete(TIME * 2, &format!("{framing:?}"));
        assert_eq!(attempts.load(Ordering::SeqCst), 2, "{framing:?}");
    }
}
