//! Responses that upstreams give slowly: they are relayed as long as their upstream makes progress.
mod common;

use common::*;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
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
/// Shorter than that.
const SHORT_TIME: Duration = Duration::from_millis(600);

fn relay_at_paces(paces: &[&'static [Part]], time: Duration) {
    let mut plays: Vec<Play> = Vec::new();
    for framing in RESPONSE_FRAMINGS {
        for &parts in paces {
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
    relay_at_paces(&PACES, TIME);
}

/// Guards against buffering a response of unstated length until its request's time is over.
#[test]
fn begins_to_relay_a_slow_response_in_the_time_of_its_request() {
    relay_at_paces(&PACES, SHORT_TIME);
}

/// Guards against giving up a response that has begun and pauses at its request's deadline, so that
/// nothing of it is passed on in time.
#[test]
fn begins_to_relay_a_response_that_pauses_at_the_deadline() {
    relay_at_paces(&[LARGE_PIECES], Duration::from_millis(400));
}

/// Guards against ending a response that pauses when the time of its request is over, before the
/// client is owed the end.
#[test]
fn relays_a_response_that_pauses_at_the_deadline() {
    const PAUSE_AT_DEADLINE: &[Part] = &[
        part(25_000, 2_500, 50),
        part(2_500, 2_500, 750),
        part(72_500, 2_500, 10),
    ];
    relay_at_paces(&[PAUSE_AT_DEADLINE], TIME);
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

/// A balancer before two upstreams, whose attempts to the first time out early, as it fails often.
/// The upstreams answer requests whose id begins with `slow` by `serve_slow`.
fn balancer_with_early_timeouts(
    serve_slow: impl Fn(&mut BufReader<TcpStream>) -> bool + Clone + Send + Sync + 'static,
) -> BalancerProcess {
    const QUICK_REQUESTS: usize = 60;
    let request_count = AtomicUsize::new(0);
    let serve_slow_too = serve_slow.clone();
    let unreliable = start_threaded_upstream(move |stream| {
        answer_requests(stream, &serve_slow_too, || {
            request_count
                .fetch_add(1, Ordering::SeqCst)
                .is_multiple_of(3)
        });
    });
    let reliable = start_threaded_upstream(move |stream| {
        answer_requests(stream, &serve_slow, || false);
    });
    let balancer = BalancerProcess::with_upstreams(&[unreliable, reliable]);
    let mut client = balancer.client();
    for id in 0..QUICK_REQUESTS {
        client.call(&get_request(&id.to_string(), "15000m"));
    }
    balancer
}

/// Answers slow requests by `serve_slow`, until it returns false, and others at once.
fn answer_requests(
    stream: &mut BufReader<TcpStream>,
    serve_slow: impl Fn(&mut BufReader<TcpStream>) -> bool,
    fails: impl Fn() -> bool,
) {
    loop {
        let head = read_head(stream);
        if head.is_empty() {
            return;
        }
        if head.contains("slow") {
            if !serve_slow(stream) {
                return;
            }
            continue;
        }
        let status = if fails() { "500 Error" } else { "200 OK" };
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        send_bytes(stream, response.as_bytes());
    }
}

/// The time of a request that is answered slowly.
const SLOW_REQUEST_TIME: Duration = Duration::from_secs(3);

const SLOW_REQUESTS: usize = 12;

/// Sends an idempotent request that is answered slowly. Returns its client, and when it was sent.
fn send_slow_request(balancer: &BalancerProcess, id: usize) -> (BufReader<TcpStream>, Instant) {
    let deadline = format!("{}m", SLOW_REQUEST_TIME.as_millis());
    let request = get_request(&format!("slow-{id}"), &deadline);
    let mut client = connect(balancer.address);
    send_bytes(&mut client, request.as_bytes());
    (client, Instant::now())
}

/// Guards against early timeouts that cut off a response which is being sent: the retry would be as
/// slow.
#[test]
fn does_not_cut_off_a_slow_response_by_an_early_timeout() {
    let cut_off = Arc::new(AtomicUsize::new(0));
    let serve = {
        let cut_off = cut_off.clone();
        move |stream: &mut BufReader<TcpStream>| {
            let is_sent = serve_slowly(stream, ResponseFraming::Chunked, STEADY);
            cut_off.fetch_add(usize::from(!is_sent), Ordering::SeqCst);
            is_sent
        }
    };
    let balancer = balancer_with_early_timeouts(serve);
    let requests: Vec<_> = (0..SLOW_REQUESTS)
        .map(|id| send_slow_request(&balancer, id))
        .collect();
    for (client, sent_at) in requests {
        receive(client, sent_at).expect_complete(SLOW_TIMEOUT, "a slow response");
    }
    assert_eq!(cut_off.load(Ordering::SeqCst), 0, "attempts were cut off");
}

/// Longer than all slow responses together take.
const SLOW_TIMEOUT: Duration = Duration::from_secs(15);

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
        send_bytes(&mut client, get_request("r1", "15000m").as_bytes());
        receive(client, Instant::now()).expect_complete(TIME * 2, &format!("{framing:?}"));
        assert_eq!(attempts.load(Ordering::SeqCst), 2, "{framing:?}");
    }
}

/// Guards against responses that wait for memory until their request's time is over. Requests that
/// wait for their upstream use all memory for buffered bodies.
#[test]
fn relays_a_slow_response_for_which_no_memory_is_left() {
    /// Leaves 2 MB for bodies and what their requests take.
    const MEMORY_MB: &str = "\"memory_mb\":6";
    const BUFFERED_BYTES: usize = 64 << 10;
    /// More requests with such a body than there is memory for.
    const WAITING_REQUESTS: usize = 24;
    /// Pause after which such a request waits for its upstream.
    const REQUEST_PAUSE: Duration = Duration::from_millis(15);
    const MAX_CALLS: usize = 20;
    const CALL_PAUSE: Duration = Duration::from_millis(100);
    let mut plays: Vec<Play> = Vec::new();
    for framing in RESPONSE_FRAMINGS {
        for time in [SHORT_TIME, TIME] {
            plays.push(Box::new(move || {
                let upstream = start_threaded_upstream(move |stream| {
                    if read_head(stream).starts_with("POST") {
                        sleep(SLOW_TIMEOUT);
                        return;
                    }
                    serve_slowly(stream, framing, STEADY);
                });
                let discovery = StubDiscovery::start();
                let endpoints = active_endpoints(&[upstream]);
                let config = balancer_config(discovery.address, 1024, &endpoints).replacen(
                    "\"memory_mb\":192",
                    MEMORY_MB,
                    1,
                );
                let balancer = BalancerProcess::run(balancer_command(&config), discovery);
                let length = format!("Content-Length: {BUFFERED_BYTES}");
                let _waiting: Vec<_> = (0..WAITING_REQUESTS)
                    .map(|id| {
                        let mut client = connect(balancer.address);
                        let head = upload_head(&format!("w{id}"), &length);
                        send_bytes(&mut client, head.as_bytes());
                        send_bytes(&mut client, &test_bytes(BUFFERED_BYTES));
                        sleep(REQUEST_PAUSE);
                        client
                    })
                    .collect();
                balancer.wait_for_log("memory is short");
                // The first may be rejected until the rejected clients are disconnected.
                let call = |number: usize| {
                    let mut client = connect(balancer.address);
                    let id = format!("r{number}");
                    let request = get_request(&id, &format!("{}m", time.as_millis()));
                    send_bytes(&mut client, request.as_bytes());
                    receive(client, Instant::now())
                };
                let response = (0..MAX_CALLS)
                    .map(|number| {
                        sleep(CALL_PAUSE);
                        call(number)
                    })
                    .find(|response| !response.head.starts_with("HTTP/1.1 503 "))
                    .expect("a response that is not a rejection");
                response.expect_complete(time, &format!("{framing:?}"));
            }));
        }
    }
    run_plays(plays);
}
