//! Tests of the response times that the driver reports to the core, with real connections.
use super::*;
use crate::clock::Clock;
use crate::discovery::consumer::EndpointConsumer;
use crate::discovery::endpoints::ListedEndpoint;
use crate::invariants::Guard;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::memory_budget::MemoryBudget;
use crate::outbound::attempt::Transport;
use crate::outbound::connector::Connector;
use crate::outbound::dispatch::Dispatch;
use crate::telemetry::log::LogOutput;
use crate::telemetry::metrics::Metrics;
use crate::test_support::{get_request, FullListener};
use balancer_core::{Balancer, Class, Endpoint, Idempotency, Settings, UpstreamId};
use std::net::SocketAddr;
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
        let _response = driver
            .submit(0, 0, 20_000.0, get_request())
            .expect("is submitted");
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
