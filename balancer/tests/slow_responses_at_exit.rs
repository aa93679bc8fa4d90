//! Responses that upstreams give slowly while their balancer ends or is paused: each is relayed to its
//! end.
mod common;

use common::*;
use std::thread::{self, sleep};
use std::time::Duration;

/// When a shutdown fails the requests that are pending, with the deadlines of the tests.
const PENDING_FAIL_AFTER: Duration = Duration::from_millis(3500);

/// The head of the response is sent `delay` after the request, which has `time`. The balancer is
/// ended in between or shortly after.
fn expect_complete(ending: Ending, framing: ResponseFraming, delay: Duration, time: Duration) {
    let upstream = start_slow_upstream(framing, STEADY, delay);
    let folder = state_folder(&format!(
        "slow-exit-{ending:?}-{framing:?}-{}",
        time.as_millis()
    ));
    let mut balancer = BalancerProcess::in_state_folder(&folder, None, &[upstream]);
    let client = connect(balancer.address);
    let call = thread::spawn(move || call_and_measure(client, time));
    sleep(Duration::from_millis(100));
    let successor = ending.end(&balancer, || {
        BalancerProcess::in_state_folder(&folder, Some(&balancer), &[upstream])
    });
    let Ok(received) = call.join() else {
        panic!("{ending:?}, {framing:?}: no response");
    };
    received.expect_complete(time, &format!("{ending:?}, {framing:?}"));
    assert!(balancer.wait_for_exit_in_time().success());
    drop(successor);
}

fn play_each_ending(delay: Duration, time: Duration) {
    let mut plays: Vec<Play> = Vec::new();
    for ending in ENDINGS {
        for framing in RESPONSE_FRAMINGS {
            plays.push(Box::new(move || {
                expect_complete(ending, framing, delay, time);
            }));
        }
    }
    run_plays(plays);
}

/// Guards against cutting off a response at its request's deadline during a shutdown.
#[test]
fn relays_a_slow_response_while_the_process_ends() {
    play_each_ending(Duration::ZERO, Duration::from_millis(1200));
}

/// Guards against taking a connection whose response is slow for one that a pause may close.
#[test]
fn relays_a_slow_response_while_the_balancer_is_paused() {
    let time = Duration::from_millis(1200);
    let mut plays: Vec<Play> = Vec::new();
    for framing in RESPONSE_FRAMINGS {
        plays.push(Box::new(move || {
            let upstream = start_slow_upstream(framing, STEADY, Duration::ZERO);
            let balancer = BalancerProcess::with_admin(&[upstream]);
            let client = connect(balancer.address);
            let call = thread::spawn(move || call_and_measure(client, time));
            sleep(Duration::from_millis(100));
            assert!(balancer.call_admin(b"PAUSE\n").starts_with("YES"));
            let Ok(received) = call.join() else {
                panic!("{framing:?}: no response");
            };
            received.expect_complete(time, &format!("{framing:?}"));
        }));
    }
    run_plays(plays);
}

/// Guards against failing a request whose response has begun, but is still buffered, when a shutdown
/// fails the requests that are pending.
#[test]
fn relays_a_slow_response_that_begins_late_in_a_shutdown() {
    let delay = PENDING_FAIL_AFTER - Duration::from_millis(500);
    play_each_ending(delay, Duration::from_secs(15));
}
