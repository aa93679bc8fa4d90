//! The stand-ins without balancers: their responses follow the protocol.
// A helper that fails ends its test, as an assertion does.
#![allow(clippy::expect_used)]
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use scale::client::{Call, CallKind, ConnectionPool, ConnectionUse};
use scale::discovery::registry::Endpoint;
use scale::discovery::Discovery;
use scale::load::{send, CallOutcome, CallRecord, LoadPlan};
use scale::server::{response, Server};
use scale::service::{ServiceCounters, ServiceInstance, ServiceSettings};
use scale::timing::MeasurementClock;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Barrier;

const TIMEOUT: Duration = Duration::from_secs(20);

fn run_with_timeout(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(TIMEOUT * 2, test)
            .await
            .expect("the test ends")
    });
}

async fn get_json(address: SocketAddr, path: &str) -> Value {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connects");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("a connection");
    tokio::spawn(connection);
    let request = Request::get(path)
        .header("host", "d")
        .body(Empty::<Bytes>::new())
        .expect("a request");
    let response = sender.send_request(request).await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    serde_json::from_slice(&body).expect("JSON")
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count)
        .map(|number| Endpoint::new(number, ([127, 0, 0, 1], 9).into()))
        .collect()
}

fn endpoint_states(listing: &Value) -> Vec<&str> {
    let servers = listing["servers"].as_array().expect("servers");
    servers
        .iter()
        .map(|server| server["state"].as_str().expect("a state"))
        .collect()
}

/// The changes since a version, without waiting for one.
async fn changes_since(discovery: &Discovery, version: u64) -> Value {
    let path = format!("/api/targets?since={version}&timeout_ms=0");
    get_json(discovery.address(), &path).await
}

#[test]
fn discovery_responds_with_snapshots_and_deltas() {
    run_with_timeout(async {
        let discovery = Discovery::start(endpoints(3), 2).expect("starts");
        let snapshot = get_json(discovery.address(), "/api/targets").await;
        assert_eq!(
            (&snapshot["version"], &snapshot["full"]),
            (&1.into(), &true.into())
        );
        assert_eq!(endpoint_states(&snapshot), ["active"; 3]);

        discovery.registry().advance_endpoint(1);
        let delta = changes_since(&discovery, 1).await;
        assert_eq!(
            (&delta["version"], &delta["full"]),
            (&2.into(), &false.into())
        );
        assert_eq!(endpoint_states(&delta), ["leaving"]);
        assert_eq!(delta["servers"][0]["id"], "s-00000001");
    });
}

#[test]
fn discovery_lists_removed_endpoints_in_deltas_only() {
    run_with_timeout(async {
        let discovery = Discovery::start(endpoints(3), 2).expect("starts");
        let snapshot = get_json(discovery.address(), "/api/targets").await;
        assert_eq!(endpoint_states(&snapshot), ["active"; 3]);
        discovery.registry().advance_endpoint(1);
        let delta = changes_since(&discovery, 1).await;
        assert_eq!(endpoint_states(&delta), ["leaving"]);

        discovery.registry().advance_endpoint(1);
        let delta = changes_since(&discovery, 1).await;
        assert_eq!(
            endpoint_states(&delta),
            ["left"],
            "an endpoint that changed twice appears once, in its present state"
        );
        let snapshot = get_json(discovery.address(), "/api/targets").await;
        assert_eq!(endpoint_states(&snapshot), ["active"; 2]);
    });
}

#[test]
fn discovery_responds_with_snapshot_to_unknown_version() {
    run_with_timeout(async {
        let discovery = Discovery::start(endpoints(3), 2).expect("starts");
        discovery.registry().advance_endpoint(1);
        discovery.registry().advance_endpoint(1);
        let delta = changes_since(&discovery, 1).await;
        assert_eq!(delta["full"], false, "two changes are remembered");
        discovery.registry().advance_endpoint(0);
        let response = changes_since(&discovery, 1).await;
        assert_eq!(
            response["full"], true,
            "two changes are remembered, not three"
        );
        let response = changes_since(&discovery, 77).await;
        assert_eq!(
            response["full"], true,
            "the version of another discovery is unknown"
        );
    });
}

#[test]
fn watch_waits_for_a_change() {
    run_with_timeout(async {
        let discovery = Discovery::start(endpoints(2), 10).expect("starts");
        let address = discovery.address();
        let watch = tokio::spawn(async move {
            get_json(address, "/api/targets?since=1&timeout_ms=15000").await
        });
        while discovery.traffic().bytes() == 0 {
            tokio::task::yield_now().await;
        }
        discovery.registry().advance_endpoint(0);
        let delta = watch.await.expect("a response");
        assert_eq!(
            (&delta["version"], endpoint_states(&delta).len()),
            (&2.into(), 1)
        );
        let unchanged = get_json(address, "/api/targets?since=2&timeout_ms=1").await;
        assert_eq!(
            (&unchanged["full"], endpoint_states(&unchanged).len()),
            (&false.into(), 0)
        );
    });
}

fn order(body: &str) -> Call {
    let body = Bytes::copy_from_slice(body.as_bytes());
    Call {
        kind: CallKind::Order,
        connection: ConnectionUse::Idle,
        timeout: TIMEOUT,
        body,
    }
}

fn start_service(settings: ServiceSettings) -> (ServiceInstance, Arc<ServiceCounters>) {
    let counters = Arc::new(ServiceCounters::default());
    let instance = ServiceInstance::start(settings, counters.clone(), MeasurementClock::start(), 1)
        .expect("starts");
    (instance, counters)
}

fn instant_service() -> ServiceSettings {
    ServiceSettings {
        cores: 1,
        queue: 10,
        mean_service_time: Duration::ZERO,
        failure_fraction: 0.0,
        response_bytes: 300,
        next: None,
    }
}

#[test]
fn service_calls_next_service_and_fails_with_it() {
    run_with_timeout(async {
        for (failure_fraction, expected) in [
            (0.0, StatusCode::OK),
            (1.0, StatusCode::INTERNAL_SERVER_ERROR),
        ] {
            let (leaf, leaf_counters) = start_service(ServiceSettings {
                failure_fraction,
                ..instant_service()
            });
            let next = Some(Arc::new(ConnectionPool::new(leaf.address(), 1)));
            let (top, top_counters) = start_service(ServiceSettings {
                next,
                ..instant_service()
            });
            let pool = ConnectionPool::new(top.address(), 2);
            for _ in 0..2 {
                let response = pool.call(&order("body")).await.expect("a response");
                assert_eq!(response.status, expected);
                assert!(expected != StatusCode::OK || response.body.len() == 300);
            }
            assert_eq!(leaf_counters.attempts(), 2);
            assert_eq!(top_counters.attempts(), 2);
        }
    });
}

#[test]
fn rejects_call_when_queue_is_full() {
    run_with_timeout(async {
        let (blocked, _) = start_service(ServiceSettings {
            cores: 0,
            queue: 1,
            ..instant_service()
        });
        let pool = Arc::new(ConnectionPool::new(blocked.address(), 1));
        let rejected = loop {
            let first = tokio::spawn({
                let pool = pool.clone();
                async move { pool.call(&order("waits forever")).await }
            });
            let call = Call {
                timeout: Duration::from_millis(200),
                ..order("second")
            };
            let response = pool.call(&call).await;
            first.abort();
            // Without a response, this call probably entered the queue first and the spawned one was rejected, so that
            // nothing fills the queue any more. Both are sent again.
            if let Ok(response) = response {
                break response;
            }
        };
        assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

/// A server that responds to no call before this number of calls has arrived.
fn server_that_waits_for(calls: usize) -> Server {
    let all_arrived = Arc::new(Barrier::new(calls));
    let arrived = Arc::new(AtomicUsize::new(0));
    Server::start(move || {
        let all_arrived = all_arrived.clone();
        let arrived = arrived.clone();
        service_fn(move |_| {
            let all_arrived = all_arrived.clone();
            let arrived = arrived.clone();
            async move {
                if arrived.fetch_add(1, Ordering::Relaxed) < calls {
                    all_arrived.wait().await;
                }
                Ok::<_, Infallible>(response(StatusCode::OK, ""))
            }
        })
    })
    .expect("starts")
}

/// Guards against a closed-loop load: the server responds only once several calls have arrived, so clients that wait
/// for a response before they send the next call would never get one.
#[test]
fn clients_send_planned_calls_while_earlier_ones_are_unanswered() {
    run_with_timeout(async {
        const SIMULTANEOUS_CALLS: usize = 20;
        let server = server_that_waits_for(SIMULTANEOUS_CALLS);
        let plan = LoadPlan {
            calls_per_second: 1000.0,
            duration: Duration::from_millis(200),
            read_fraction: 0.5,
            new_connection_fraction: 0.5,
            body: Bytes::from_static(b"body"),
            timeout: TIMEOUT,
            seed: 1,
        };
        let pools = vec![Arc::new(ConnectionPool::new(server.address(), 1))];
        let records = send(plan, pools, MeasurementClock::start()).await;
        assert!(
            records.len() >= SIMULTANEOUS_CALLS,
            "{} calls were planned",
            records.len()
        );
        for record in &records {
            assert_eq!(record.outcome, CallOutcome::Served);
            assert!(
                record.latency >= record.send_delay,
                "latency counts from the planned time"
            );
        }
        assert_no_call_ends_before(SIMULTANEOUS_CALLS, &records);
    });
}

/// Checks that no call ended before this number of calls was planned.
fn assert_no_call_ends_before(calls: usize, records: &[CallRecord]) {
    let mut planned: Vec<Duration> = records.iter().map(|record| record.planned_at).collect();
    planned.sort_unstable();
    let first_end = records
        .iter()
        .map(|record| record.planned_at + record.latency)
        .min();
    assert!(
        first_end >= Some(planned[calls - 1]),
        "no call ends before all have arrived"
    );
}
