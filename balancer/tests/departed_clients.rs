//! Clients that disconnect with requests unread or unanswered: nothing of theirs is sent afterwards,
//! and what may have run does not run again.
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// When the client disconnects, in the middle of its third request.
const LEAVES_AFTER: Duration = Duration::from_millis(150);
/// No attempt begins later than this after its client has left, with 50 ms of slack.
const DEPARTURE_GRACE: Duration = Duration::from_millis(150);
/// How long the test looks for attempts after that.
const OBSERVATION_TIME: Duration = Duration::from_millis(600);
/// How many requests the client writes at once.
const PIPELINED_REQUESTS: usize = 2_000;
/// How long the upstream takes for a request that comes again.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(500);
/// Pause before a request comes again.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// How often a request comes again, or how many requests do.
const REPEATS: usize = 16;

/// The requests that an upstream has received: their ids, and when they were complete.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// An upstream that records requests and answers each after `service_time`.
fn start_recording_upstream(service_time: Duration) -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let address = start_threaded_upstream(move |stream| {
        while let Some(request) = read_message(stream) {
            let id = request.header("req-id").unwrap_or_default().to_string();
            if let Ok(mut recorded) = recorded.lock() {
                recorded.push((id, Instant::now()));
            }
            sleep(service_time);
            send_bytes(stream, ok_text("ok").as_bytes());
        }
    });
    (address, arrivals)
}

fn count_runs(arrivals: &Arrivals, id: &str) -> usize {
    let is_run = |(arrived, _): &&(String, Instant)| arrived == id;
    arrivals
        .lock()
        .map_or(0, |arrivals| arrivals.iter().filter(is_run).count())
}

/// A connection on which many requests are written at once.
fn pipeline_requests(address: SocketAddr) -> BufReader<TcpStream> {
    let mut client = connect(address);
    let requests: String = (0..PIPELINED_REQUESTS)
        .map(|number| payment_request(&format!("pipelined-{number}"), "15000m"))
        .collect();
    prepare_for_pieces(client.get_ref());
    // The balancer reads little ahead, so the sockets may not take all.
    let _ = client.get_mut().write(requests.as_bytes());
    client
}

/// Guards against requests that wait unread behind others, and are sent although their client has
/// closed its connection.
#[test]
fn unread_requests_of_a_client_that_left_are_not_sent() {
    for disconnect in [Disconnect::Close, Disconnect::Reset] {
        let (upstream, arrivals) = start_recording_upstream(SERVICE_TIME);
        let balancer = BalancerProcess::with_upstreams(&[upstream]);
        let client = pipeline_requests(balancer.address);
        sleep(LEAVES_AFTER);
        drop(Client::on(client).disconnect(disconnect));
        let left_at = Instant::now();
        sleep(OBSERVATION_TIME);
        let arrivals = arrivals.lock().expect("no thread panicked");
        assert!(!arrivals.is_empty(), "{disconnect:?}: nothing was sent");
        let late: Vec<_> = arrivals
            .iter()
            .filter(|(_, at)| *at > left_at + DEPARTURE_GRACE)
            .collect();
        assert!(late.is_empty(), "{disconnect:?}: {late:?}");
    }
}

/// Guards against running a request twice whose client has left and sends it again, or another with
/// its id: the first attempt may have run.
#[test]
fn request_that_may_have_run_does_not_run_again_after_its_client_left() {
    for disconnect in DISCONNECTS {
        let (upstream, arrivals) = start_recording_upstream(LONG_SERVICE_TIME);
        let balancer = BalancerProcess::with_upstreams(&[upstream]);
        let request = payment_request("once", "5000m");
        let first = balancer.client_that_sent(&request);
        sleep(REPEAT_PAUSE);
        drop(first.disconnect(disconnect));
        for pause in [REPEAT_PAUSE, LONG_SERVICE_TIME] {
            sleep(pause);
            let repeated = balancer.client().call(&request);
            assert_ne!(repeated.status(), 200, "{disconnect:?}");
        }
        sleep(LONG_SERVICE_TIME);
        assert_eq!(count_runs(&arrivals, "once"), 1, "{disconnect:?}");
    }
}

/// The same at the other process of an upgrade: the request is in flight when that process begins to
/// serve, and comes again there at once.
#[test]
fn request_that_may_have_run_does_not_run_again_at_the_other_process_of_an_upgrade() {
    for terminates in [false, true] {
        let (upstream, arrivals) = start_recording_upstream(LONG_SERVICE_TIME);
        let folder = state_folder("departed-upgrade");
        let old = BalancerProcess::in_state_folder(&folder, None, &[upstream]);
        let request = payment_request("once", "5000m");
        let first = old.client_that_sent(&request);
        sleep(REPEAT_PAUSE);
        let new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream]);
        if terminates {
            old.terminate();
        }
        drop(first);
        // The system deals connections out among the processes that listen.
        let repeated: Vec<_> = (0..REPEATS)
            .map(|_| new.client().call(&request).status())
            .collect();
        sleep(LONG_SERVICE_TIME);
        assert_eq!(count_runs(&arrivals, "once"), 1, "{repeated:?}");
    }
}

/// The same in both directions, and after the old process has ended.
#[test]
fn no_request_runs_at_both_processes_of_an_upgrade() {
    let (upstream, arrivals) = start_recording_upstream(LONG_SERVICE_TIME);
    let folder = state_folder("departed-both");
    let mut old = BalancerProcess::in_state_folder(&folder, None, &[upstream]);
    let new = BalancerProcess::in_state_folder(&folder, Some(&old), &[upstream]);
    let request = |number: usize| payment_request(&format!("plan-{number}"), "5000m");
    let first: Vec<_> = (0..REPEATS)
        .map(|number| new.client_that_sent(&request(number)))
        .collect();
    sleep(REPEAT_PAUSE * 2);
    drop(first);
    let repeat_all = || {
        for number in 0..REPEATS {
            assert_eq!(new.client().call(&request(number)).status(), 409);
        }
    };
    repeat_all();
    old.terminate();
    assert!(old.wait_for_exit_in_time().success());
    repeat_all();
    sleep(REPEAT_PAUSE * 3);
    repeat_all();
    for number in 0..REPEATS {
        assert_eq!(count_runs(&arrivals, &format!("plan-{number}")), 1);
    }
}
