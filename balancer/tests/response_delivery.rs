//! Responses that clients read slowly while their balancer ends: each one is delivered completely.
mod common;

use common::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// How fast clients read, in bytes per second.
const READ_RATE: f64 = 64e3;
/// Length of a chunk of a chunked response.
const CHUNK_BYTES: usize = 10_000;
/// Responses that are still being read when the balancer would end without them.
const LARGE_BODY_BYTES: [usize; 2] = [600_000, 1_000_000];
/// A response that is read for more than 30 s.
const LONG_BODY_BYTES: usize = 2_400_000;
/// A response that is buffered completely.
const SMALL_BODY_BYTES: usize = 60_000;
/// A client that takes nothing delays the exit of its balancer by no more than this: the time that
/// the shutdown takes anyway with the deadlines of the tests, or 4 s, and a margin for a busy machine.
const MAX_EXIT_TIME: Duration = Duration::from_secs(6);

/// An upstream that sends one response.
fn start_upstream(framing: Framing, length: usize) -> SocketAddr {
    let body = WireBody::new(framing, length, CHUNK_BYTES);
    let response = [body.response_head().as_bytes(), &body.bytes].concat();
    start_raw_upstream(move |stream| {
        read_head(stream);
        send_bytes(stream, &response);
    })
}

/// Sends a request and reads the head of its response.
fn start_response(mut client: BufReader<TcpStream>) -> BufReader<TcpStream> {
    send_bytes(&mut client, payment_request("r1", "15000m").as_bytes());
    let head = read_head(&mut client);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    client
}

/// A client reads a response at [`READ_RATE`] while its balancer ends. The balancer exits by itself.
fn expect_complete_response(ending: Ending, framing: Framing, length: usize) {
    let upstream = start_upstream(framing, length);
    let folder = state_folder(&format!("delivery-{ending:?}-{framing:?}-{length}"));
    let mut balancer = BalancerProcess::in_state_folder(&folder, None, &[upstream]);
    let client = start_response(connect(balancer.address));
    let successor = ending.end(&balancer, || {
        BalancerProcess::in_state_folder(&folder, Some(&balancer), &[upstream])
    });
    let received = read_body_slowly(client, framing, length, READ_RATE);
    assert_eq!(received, length, "{ending:?}, {framing:?}");
    assert!(balancer.wait_for_exit_in_time().success());
    drop(successor);
}

/// Guards against a process that ends once its upstream has sent the last byte of a response, while
/// the client still reads.
#[test]
fn delivers_large_responses_to_slow_clients_before_the_process_ends() {
    let mut plays = Vec::new();
    for ending in ENDINGS {
        for framing in FRAMINGS {
            for length in LARGE_BODY_BYTES {
                let play = move || expect_complete_response(ending, framing, length);
                plays.push(thread::spawn(play));
            }
        }
    }
    for play in plays {
        play.join().expect("a complete response");
    }
}

/// Guards against a fixed time after which responses are cut off, however their clients read on.
#[test]
fn delivers_a_response_that_takes_longer_than_30_s_before_the_process_ends() {
    expect_complete_response(Ending::Terminate, Framing::Length, LONG_BODY_BYTES);
}

/// A buffered response counts as delivered when its last byte is written, not when hyper has taken it. The client
/// has small buffers, so that the socket does not accept all of the response at once.
#[test]
fn delivers_a_small_response_to_a_slow_client_before_the_process_ends() {
    const RATE: f64 = 10e3;
    let upstream = start_upstream(Framing::Length, SMALL_BODY_BYTES);
    let mut balancer = BalancerProcess::with_upstreams(&[upstream]);
    let client = start_response(connect_with_small_buffers(balancer.address));
    balancer.terminate();
    let received = read_body_slowly(client, Framing::Length, SMALL_BODY_BYTES, RATE);
    assert_eq!(received, SMALL_BODY_BYTES);
    assert!(balancer.wait_for_exit_in_time().success());
}

/// Guards against waiting for clients that do not read: nobody gets more from a later exit.
#[test]
fn clients_that_take_nothing_do_not_delay_the_exit() {
    for framing in FRAMINGS {
        let upstream = start_upstream(framing, LONG_BODY_BYTES);
        let mut balancer = BalancerProcess::with_upstreams(&[upstream]);
        let _stalled = start_response(connect(balancer.address));
        sleep(Duration::from_secs(1));
        let terminated_at = Instant::now();
        balancer.terminate();
        assert!(balancer.wait_for_exit_in_time().success());
        let waited = terminated_at.elapsed();
        assert!(waited < MAX_EXIT_TIME, "{framing:?}: exit after {waited:?}");
    }
}
