//! What the driver tells the decision module of an attempt, with real connections.
use super::*;
use crate::discovery::endpoints::ListedEndpoint;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::attempt::Transport;
use crate::outbound::connector::Connector;
use crate::telemetry::metrics::Metrics;
use crate::test_support::{get_request, FullListener};
use balancer_core::{Endpoint, Settings};
use std::net::SocketAddr;

const LONG: Duration = Duration::from_secs(20);

fn driver_with(upstream: SocketAddr) -> DriverHandle {
    let class = balancer_core::Class {
        objective: 20_000.0,
        deadline: 20_000.0,
        ..balancer_core::Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let clock = Clock::start();
    let connector = Connector::new(LONG, LONG, DescriptorBudget::new(64), Rc::default());
    let guard = Guard::new(Metrics::new(&[]));
    let handle = DriverHandle::new(DriverOptions {
        balancer: Balancer::new(settings, 1, clock.now()).expect("valid settings"),
        clock,
        dispatch: Dispatch::Sockets(Transport::new(connector, guard.clone())),
        drain_grace: LONG,
        max_open: 10,
        idempotency_by_class: vec![Idempotency::Idempotent],
        rejects_after_start: false,
        guard,
        log: LogOutput::Discard,
    });
    let member = Endpoint {
        id: UpstreamId(1),
        ..Endpoint::default()
    };
    let endpoints = vec![ListedEndpoint {
        member,
        address: upstream,
    }];
    handle.apply(&EndpointUpdate {
        version: 1,
        full: true,
        endpoints,
    });
    handle
}

/// Guards against taking the time to connect for the upstream's answer time: a network that is slow to connect would
/// look like overloaded upstreams, and requests would be refused that they have room for.
#[tokio::test(flavor = "current_thread")]
async fn the_time_to_connect_is_not_the_upstreams_answer_time() {
    let test = async {
        let mut listener = FullListener::bind();
        let handle = driver_with(listener.address());
        let start = Instant::now();
        let _waiting = handle
            .submit(0, 0, 20_000.0, get_request())
            .expect("is taken");
        tokio::time::sleep(Duration::from_millis(100)).await;
        listener.admit();
        let connection = tokio::task::spawn_blocking(move || listener.accept())
            .await
            .expect("connects");
        let connected_after = start.elapsed();
        assert!(
            connected_after >= Duration::from_millis(500),
            "the connection came up late"
        );
        // The attempt is written, and its upstream has not answered yet.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let took = {
            let driver = handle.0.driver.borrow();
            driver
                .attempts
                .values()
                .map(Attempt::took)
                .next()
                .expect("an attempt is out")
        };
        assert!(
            took < connected_after / 2,
            "{took:?} of {connected_after:?} counted"
        );
        drop(connection);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
