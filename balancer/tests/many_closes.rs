//! The balancer serves and exits in time when many connections close at once, connections cannot be registered for
//! events, or a lock on disk or the log blocks.
// A failed `expect` in a helper fails its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;

#[path = "failing_calls/fault_control.rs"]
mod fault_control;
#[allow(dead_code, reason = "the rows of `failing_calls` are not used here")]
#[path = "failing_calls/rows.rs"]
mod rows;

use common::*;
use fault_control::FaultControl;
use fault_injection::control::{Fault, PROBABILITY_ONE};
use rows::{one_in, row, Row};
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Fails the runtime's writes that wake its event loop.
const EVENT_WRITES: Row = row(
    "event write EINTR always",
    &[Fault::InterruptedEventWrite],
    PROBABILITY_ONE,
);
const REGISTRATIONS: Row = row("epoll_ctl ADD 1/2", &[Fault::EpollAdd], one_in(2));

/// More than 16: the runtime wakes its event loop when 16 registrations have ended in one iteration.
const CLIENT_COUNT: usize = 100;
const UPSTREAM_CONNECTION_COUNT: usize = 24;
/// Slow enough that concurrent requests each take a connection.
const UPSTREAM_DELAY: Duration = Duration::from_millis(300);
/// A process is killed this long after SIGTERM: 3 s for the deadline of its requests, plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// With `NODE_LOG=debug`, each request logs about 700 bytes: together five times the 64 KiB that a pipe holds.
const LOGGED_REQUEST_COUNT: usize = 500;

fn start(folder: &Path, faults: &FaultControl, upstreams: &[SocketAddr]) -> BalancerProcess {
    let discovery = StubDiscovery::start();
    let endpoints = active_endpoints(upstreams);
    discovery.respond(&endpoints);
    let config = with_admin_endpoint(&balancer_config(discovery.address, 1024, &endpoints));
    let mut command = balancer_command(&config);
    command.env("TMPDIR", folder);
    faults.preload(&mut command, 1);
    BalancerProcess::run(command, discovery)
}

/// The status of the response to a request; `None` if the connection ended.
fn call_status(client: &mut Client, id: &str) -> Option<u16> {
    client.send(&get_request(id, "5000m"));
    client.read_response().map(|response| response.status())
}

fn terminate_and_expect_success(mut process: BalancerProcess) {
    process.terminate();
    let status = process.wait_for_exit_in_time();
    assert!(status.success(), "{status}: {:?}", process.log_lines());
}

/// A slow upstream that can close all its connections.
struct ClosingUpstream {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl ClosingUpstream {
    fn start() -> ClosingUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let open = connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let closed_later = stream.try_clone().expect("clones");
                open.lock().expect("no panic").push(closed_later);
                thread::spawn(move || respond_slowly(stream));
            }
        });
        ClosingUpstream {
            address,
            connections,
        }
    }

    /// Closes all connections, and returns their number.
    fn close_all(&self) -> usize {
        let mut connections = self.connections.lock().expect("no panic");
        for stream in connections.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        connections.drain(..).count()
    }
}

fn respond_slowly(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while read_message(&mut stream).is_some() {
        sleep(UPSTREAM_DELAY);
        if stream.get_mut().write_all(ok_text("x").as_bytes()).is_err() {
            return;
        }
    }
}

/// Makes an upstream close its idle connections while wakes of the event loop fail, and asserts that requests sent after
/// `pause` succeed and that the balancer exits in time.
fn assert_survives_closed_idle_connections(name: &str, pause: Duration, request_count: usize) {
    let folder = state_folder(name);
    let faults = FaultControl::create(&folder);
    let upstream = ClosingUpstream::start();
    let process = start(&folder, &faults, &[upstream.address]);
    let mut clients: Vec<_> = (0..UPSTREAM_CONNECTION_COUNT)
        .map(|id| process.client_that_sent(&get_request(&format!("first-{id}"), "5000m")))
        .collect();
    for client in &mut clients {
        assert_eq!(client.read_response().expect("a response").status(), 200);
    }
    sleep(Duration::from_millis(100));
    faults.set(&EVENT_WRITES);
    let closed = upstream.close_all();
    assert!(
        closed >= UPSTREAM_CONNECTION_COUNT,
        "the upstream closed only {closed} connections"
    );
    sleep(pause);
    let statuses: Vec<_> = clients[..request_count]
        .iter_mut()
        .enumerate()
        .map(|(id, client)| call_status(client, &format!("next-{id}")))
        .collect();
    assert_eq!(statuses, vec![Some(200); request_count]);
    sleep(Duration::from_millis(1500));
    terminate_and_expect_success(process);
}

/// Guards against a failed request, or an exit of the balancer, if a write that wakes the event loop fails while the pool
/// drops connections that the upstream closed.
#[test]
fn survives_an_upstream_that_closes_its_idle_connections_right_before_requests() {
    assert_survives_closed_idle_connections("closes-before", Duration::from_millis(20), 2);
}

/// The same when the pool drops its connections while no request is in flight.
#[test]
fn survives_an_upstream_that_closes_its_idle_connections_long_before_requests() {
    assert_survives_closed_idle_connections("closes-long-before", Duration::from_millis(1500), 10);
}

/// Guards against a process that exits, or keeps connections open, when many clients disconnect at once and a wake of
/// the event loop fails.
#[test]
fn serves_after_a_mass_close_of_clients() {
    let folder = state_folder("mass-close");
    let faults = FaultControl::create(&folder);
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let process = start(&folder, &faults, &[upstream.address]);
    let mut remaining = process.client();
    assert_eq!(call_status(&mut remaining, "remaining"), Some(200));
    let descriptors = process.descriptor_count();
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|id| {
            let mut client = process.client();
            assert_eq!(call_status(&mut client, &format!("first-{id}")), Some(200));
            client
        })
        .collect();
    faults.set(&EVENT_WRITES);
    drop(clients);
    sleep(Duration::from_millis(300));
    assert!(
        faults.injected(&EVENT_WRITES) > 0,
        "no event write has failed"
    );
    process.wait_for_descriptors(
        |count| count <= descriptors,
        "connections of disconnected clients stay open",
    );
    assert_eq!(call_status(&mut remaining, "next"), Some(200));
    assert_eq!(call_status(&mut process.client(), "newcomer"), Some(200));
    terminate_and_expect_success(process);
}

/// Guards against a shutdown that waits, until the process is killed, for a command whose change of the overrides waits
/// for the lock file.
#[test]
fn exits_in_time_while_a_command_waits_for_the_lock_of_the_overrides() {
    let folder = state_folder("blocked-change");
    let faults = FaultControl::create(&folder);
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let mut process = start(&folder, &faults, &[upstream.address]);
    let lock = File::create(folder.join("herondock-orders.lock")).expect("the lock file");
    lock.lock().expect("locks");
    let mut admin = process.admin_connection();
    admin.get_mut().write_all(b"PAUSE\n").expect("writes");
    sleep(Duration::from_millis(200));
    assert_eq!(call_status(&mut process.client(), "before"), Some(200));
    let terminated_at = Instant::now();
    process.terminate();
    let status = process.wait_for_exit_in_time();
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < KILL_DELAY, "exits after {elapsed:?}");
    assert!(status.success(), "{status}: {:?}", process.log_lines());
    drop(lock);
}

/// Guards against an event loop that blocks because the pipe for its log is full.
#[test]
fn serves_while_nobody_reads_the_log() {
    let folder = state_folder("unread-log");
    let upstream = StubUpstream::start(|_| ok_response("x"));
    let discovery = StubDiscovery::start();
    let endpoints = active_endpoints(&[upstream.address]);
    discovery.respond(&endpoints);
    let mut command = balancer_command(&balancer_config(discovery.address, 1024, &endpoints));
    command.env("TMPDIR", &folder).env("NODE_LOG", "debug");
    let mut process = BalancerProcess::run_with_unread_log(command, discovery);
    let stream = TcpStream::connect(process.address).expect("connects");
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("a timeout");
    let mut client = Client::on(BufReader::new(stream));
    let answered = (0..LOGGED_REQUEST_COUNT)
        .take_while(|id| call_status(&mut client, &format!("logged-{id}")) == Some(200))
        .count();
    assert_eq!(answered, LOGGED_REQUEST_COUNT);
    let unread = process.kill_and_measure_unread_log();
    assert!(unread > 32 << 10, "the pipe held only {unread} bytes");
}

/// Guards against failed requests and ejected healthy upstreams when a dialled connection cannot be registered for events
/// at once.
#[test]
fn answers_while_half_of_the_registrations_for_events_fail() {
    let folder = state_folder("registrations");
    let faults = FaultControl::create(&folder);
    let closing = ok_text("x").replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let upstreams: Vec<_> = (0..3)
        .map(|_| {
            let closing = closing.clone();
            StubUpstream::start(move |_| Reply::RespondAndClose(closing.clone())).address
        })
        .collect();
    let process = start(&folder, &faults, &upstreams);
    let mut client = process.client();
    faults.set(&REGISTRATIONS);
    let statuses: Vec<_> = (0..200)
        .map(|id| call_status(&mut client, &format!("dials-{id}")))
        .collect();
    let injected = faults.injected(&REGISTRATIONS);
    // Stops the faults, so that the admin connection below can be registered.
    faults.set(&Row {
        word: 0,
        ..REGISTRATIONS
    });
    assert!(injected > 50, "only {injected} registrations have failed");
    assert_eq!(statuses, vec![Some(200); 200]);
    let metrics = process.call_admin(b"METRICS\n");
    let has_line = |line: &str| metrics.lines().any(|other| other == line);
    assert!(has_line("node_pool_ejected 0"), "{metrics}");
}
