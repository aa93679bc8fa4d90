//! Tests of the driver with real connections: the response times that it reports to the core, and
//! timeouts of attempts whose response has begun.
use super::*;
use crate::clock::Clock;
use crate::control::attempt_id::AttemptId;
use crate::control::driver_state::attempt_lifecycle::TimeoutResolution;
use crate::discovery::consumer::EndpointConsumer;
use crate::discovery::endpoints::ListedEndpoint;
use crate::invariants::Guard;
use crate::memory::budget::MemoryBudget;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::attempt::Transport;
use crate::outbound::connector::Connector;
use crate::outbound::dispatch::Dispatch;
use crate::telemetry::log::LogOutput;
use crate::telemetry::metrics::Metrics;
use crate::test_support::{get_request, FullListener};
use balancer_core::{Balancer, Class, Endpoint, Idempotency, RequestId, Settings, UpstreamId};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use tokio::time::Instant;

/// Longer than the test runs.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of one class whose times, 20 s in milliseconds, are longer than the test runs.
fn settings() -> Settings {
    let class = Class {
        objective: 20_000.0,
        deadline: 20_000.0,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}

fn driver() -> DriverHandle {
    let clock = Clock::start();
    let descriptors = DescriptorBudget::new(64);
    let memory = MemoryBudget::new(None, descriptors.clone());
    let connector = Connector::new(LONG_TIMEOUT, LONG_TIMEOUT, descriptors, Rc::default());
    let guard = Guard::new(Metrics::new(&[]));
    DriverHandle::new(DriverOptions {
        balancer: Balancer::new(settings(), 1, clock.now()).expect("valid settings"),
        clock,
        dispatch: Dispatch::Sockets(Transport::new(connector, guard.clone(), memory)),
        drain_grace: LONG_TIMEOUT,
        max_pending_requests: 10,
        idempotency_by_class: vec![Idempotency::Idempotent],
        rejects_after_start: false,
        guard,
        log: LogOutput::Discard,
    })
}

/// A driver that has received a list with this upstream.
fn driver_with(upstream: SocketAddr) -> DriverHandle {
    let driver = driver();
    let core_endpoint = Endpoint {
        id: UpstreamId(1),
        ..Endpoint::default()
    };
    driver.apply(&EndpointUpdate {
        version: 1,
        full: true,
        endpoints: vec![ListedEndpoint {
            core_endpoint,
            address: upstream,
        }],
    });
    driver
}

/// If the time to connect counted as response time, upstreams behind a network that is slow to connect would look
/// overloaded, and the balancer would reject requests that they have capacity for.
#[tokio::test(flavor = "current_thread")]
async fn excludes_connect_time_from_response_time() {
    let test = async {
        let mut listener = FullListener::bind();
        let driver = driver_with(listener.address());
        let start = Instant::now();
        let _response = driver.submit(0, 0, get_request()).expect("is submitted");
        tokio::time::sleep(Duration::from_millis(100)).await;
        listener.empty_queue();
        let connection = tokio::task::spawn_blocking(move || listener.accept())
            .await
            .expect("connects");
        let connected_after = start.elapsed();
        // The listener's queue was full, so the first attempt to connect was dropped. The connection opens with its
        // retransmission, about 1 s later.
        assert!(
            connected_after >= Duration::from_millis(500),
            "connecting took only {connected_after:?}"
        );
        // The attempt is written, and the upstream has not responded yet.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let response_time = {
            let state = driver.0.state.borrow();
            state.any_response_time().expect("an attempt is in flight")
        };
        assert!(
            response_time < connected_after / 2,
            "the response time {response_time:?} includes time to connect ({connected_after:?})"
        );
        drop(connection);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An upstream that sends the start of a response of unstated length, and no more.
fn start_stalling_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut peer, _) = listener.accept().expect("accepts");
        let _request = peer.read(&mut [0; 1 << 10]).expect("a request");
        peer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n")
            .expect("is sent");
        let _end = peer.read(&mut [0]);
    });
    address
}

/// Guards against an early timeout that ends a response which is arriving, and against one that
/// passes it on: nothing could be retried then if the response stops.
#[tokio::test(flavor = "current_thread")]
async fn early_timeout_is_postponed_while_a_response_is_in_progress() {
    const ATTEMPT: AttemptId = AttemptId {
        request: RequestId(0),
        number: 0,
    };
    let test = async {
        let driver = driver_with(start_stalling_upstream());
        let response = driver.submit(0, 0, get_request()).expect("is submitted");
        let resolve = || driver.0.state.borrow_mut().resolve_timeout(ATTEMPT);
        assert_eq!(resolve(), TimeoutResolution::ResponseOverdue, "no response");
        while resolve() == TimeoutResolution::ResponseOverdue {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(resolve(), TimeoutResolution::Postponed);
        let response = tokio::time::timeout(Duration::from_millis(400), response.response());
        assert!(response.await.is_err(), "the response was passed on");
        assert_eq!(resolve(), TimeoutResolution::ResponseOverdue, "it stalls");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
