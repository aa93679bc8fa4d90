//! Responses that stop or drip: each ends within a limit, and frees what it holds.
mod common;

use common::*;
use std::io::Read;
use std::time::Duration;

/// How long a response that makes no progress is awaited beyond its request's time, if it is known
/// to be large.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Extra time that a busy machine may take.
const SCHEDULING_MARGIN: Duration = Duration::from_secs(1);

/// Longer than a body of unstated length is buffered.
const TIME: Duration = Duration::from_millis(1200);
/// Shorter than that.
const SHORT_TIME: Duration = Duration::from_millis(600);

/// The start of a response at once.
const START: &[Part] = &[part(5_000, 5_000, 0)];
/// The start of a response in steady pieces, which end before its request's time.
const STEADY_START: &[Part] = &[part(5_000, 500, 50)];
/// The start of a response at once, from which it is known to be large.
const LARGE_START: &[Part] = &[part(80_000, 80_000, 0)];
/// A byte for each 30 ms, for longer than a play.
const DRIP: &[Part] = &[part(1_000, 1, 30)];

/// A large response that begins at once and then drips.
const LARGE_START_AND_DRIP: &[Part] = &[part(80_000, 80_000, 0), part(200, 1, 100)];

/// Checks that a client gets its final answer and the upstream's connection is closed in time.
fn expect_end(framing: ResponseFraming, parts: &'static [Part], time: Duration, limit: Duration) {
    let (upstream, closed) = start_stalling_upstream(framing, parts);
    let balancer = BalancerProcess::with_admin(&[upstream]);
    let received = call_and_measure(connect(balancer.address), time);
    let case = format!("{framing:?}, {parts:?}, {time:?}");
    let ended_after = received.ended_after;
    assert!(
        ended_after <= time + limit,
        "{case}: ended after {ended_after:?}"
    );
    let is_failure = received.head.starts_with("HTTP/1.1 502 ");
    assert!(
        is_failure || !received.is_complete,
        "{case}: the response looks complete"
    );
    closed
        .recv_timeout(SCHEDULING_MARGIN)
        .unwrap_or_else(|_| panic!("{case}: the upstream's connection stays open"));
    balancer.wait_for_metric("node_active 0");
}

/// Guards against responses that may be small, begin and never end: their client gets its final
/// answer when its time is over.
#[test]
fn ends_a_response_without_progress_when_the_time_of_its_request_is_over() {
    let mut plays: Vec<Play> = Vec::new();
    for framing in UNSTATED_LENGTH {
        for parts in [START, STEADY_START, DRIP] {
            for time in [SHORT_TIME, TIME] {
                plays.push(Box::new(move || {
                    expect_end(framing, parts, time, RESPONSE_GRACE);
                }));
            }
        }
    }
    run_plays(plays);
}

/// Guards against large responses that stop or drip for ever.
#[test]
fn ends_a_large_response_that_stops_or_drips() {
    let mut plays: Vec<Play> = Vec::new();
    for framing in RESPONSE_FRAMINGS {
        for parts in [LARGE_START, LARGE_START_AND_DRIP] {
            plays.push(Box::new(move || {
                expect_end(framing, parts, TIME, STALL_TIMEOUT + SCHEDULING_MARGIN);
            }));
        }
    }
    for parts in [START, DRIP] {
        plays.push(Box::new(move || {
            let framing = ResponseFraming::StatedLength;
            expect_end(framing, parts, TIME, STALL_TIMEOUT + SCHEDULING_MARGIN);
        }));
    }
    run_plays(plays);
}

/// Guards against waiting for the body of a rejection: its head proves that the request has not run,
/// so another upstream can serve it in time.
#[test]
fn retries_a_request_whose_rejection_never_ends() {
    const REQUESTS: usize = 8;
    let mut plays: Vec<Play> = Vec::new();
    for framing in ["Content-Length: 9", "Transfer-Encoding: chunked"] {
        for body in ["", "4\r\nhalf\r\n"] {
            plays.push(Box::new(move || {
                let head = format!("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\n{framing}\r\n\r\n");
                let rejecting = start_threaded_upstream(move |stream| {
                    if !read_request(stream).is_empty() {
                        send_bytes(stream, format!("{head}{body}").as_bytes());
                        let _ = stream.read(&mut [0]);
                    }
                });
                let serving = StubUpstream::start(|_| ok_response("served"));
                let upstreams = [rejecting, serving.address];
                let balancer = BalancerProcess::with_upstreams(&upstreams);
                for id in 0..REQUESTS {
                    let mut client = balancer.client();
                    let response = client.call(&payment_request(&id.to_string(), "1200m"));
                    assert_eq!(response.status(), 200, "{framing}, {body:?}, request {id}");
                }
            }));
        }
    }
    run_plays(plays);
}
