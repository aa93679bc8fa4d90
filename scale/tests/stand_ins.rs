//! The stand-ins by themselves: what they answer, by the protocol's description.
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use scale::client::{Call, CallKind, ConnectionUse, Pool};
use scale::discovery::registry::Endpoint;
use scale::discovery::Discovery;
use scale::load::{send, CallOutcome, LoadPlan};
use scale::server::{answer, Server};
use scale::service::{ServiceCounters, ServiceInstance, ServiceSettings};
use scale::stamp::Clock;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Barrier;

const DEADLINE: Duration = Duration::from_secs(20);

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(DEADLINE * 2, test)
            .await
            .expect("the test ends")
    });
}

async fn get(address: SocketAddr, path: &str) -> Value {
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
    let answer = sender.send_request(request).await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let body = answer
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

fn states(listing: &Value) -> Vec<&str> {
    let servers = listing["servers"].as_array().expect("servers");
    servers
        .iter()
        .map(|server| server["state"].as_str().expect("a state"))
        .collect()
}

#[test]
fn discovery_answers_with_the_whole_list_and_with_deltas() {
    run(async {
        let discovery = Discovery::start(endpoints(3), 2).expect("starts");
        let whole = get(discovery.address(), "/api/targets").await;
        assert_eq!(
            (&whole["version"], &whole["full"]),
            (&1.into(), &true.into())
        );
        assert_eq!(states(&whole), ["active"; 3]);

        discovery.registry.change(1);
        let delta = get(discovery.address(), "/api/targets?since=1&timeout_ms=0").await;
        assert_eq!(
            (&delta["version"], &delta["full"]),
            (&2.into(), &false.into())
        );
        assert_eq!(states(&delta), ["leaving"]);
        assert_eq!(delta["servers"][0]["id"], "s-00000001");

        discovery.registry.change(1);
        let delta = get(discovery.address(), "/api/targets?since=1&timeout_ms=0").await;
        assert_eq!(
            states(&delta),
            ["left"],
            "an endpoint that changed twice is told once, as it is"
        );
        let whole = get(discovery.address(), "/api/targets").await;
        assert_eq!(
            states(&whole),
            ["active"; 2],
            "who left appears among changes only"
        );

        discovery.registry.change(0);
        let answer = get(discovery.address(), "/api/targets?since=1&timeout_ms=0").await;
        assert_eq!(
            answer["full"], true,
            "two changes are remembered, not three"
        );
        let answer = get(discovery.address(), "/api/targets?since=77&timeout_ms=0").await;
        assert_eq!(
            answer["full"], true,
            "a version of another discovery means nothing"
        );
    });
}

#[test]
fn a_watch_waits_for_a_change() {
    run(async {
        let discovery = Discovery::start(endpoints(2), 10).expect("starts");
        let address = discovery.address();
        let watch =
            tokio::spawn(
                async move { get(address, "/api/targets?since=1&timeout_ms=15000").await },
            );
        while discovery.traffic().bytes() == 0 {
            tokio::task::yield_now().await;
        }
        discovery.registry.change(0);
        let delta = watch.await.expect("an answer");
        assert_eq!((&delta["version"], states(&delta).len()), (&2.into(), 1));
        let nothing = get(address, "/api/targets?since=2&timeout_ms=1").await;
        assert_eq!(
            (&nothing["full"], states(&nothing).len()),
            (&false.into(), 0)
        );
    });
}

fn order(body: &str) -> Call {
    let body = Bytes::copy_from_slice(body.as_bytes());
    Call {
        kind: CallKind::Order,
        connection: ConnectionUse::Idle,
        deadline: DEADLINE,
        body,
    }
}

fn service(settings: ServiceSettings) -> (ServiceInstance, Arc<ServiceCounters>) {
    let counters = Arc::new(ServiceCounters::default());
    let instance =
        ServiceInstance::start(settings, counters.clone(), Clock::start(), 1).expect("starts");
    (instance, counters)
}

fn quick() -> ServiceSettings {
    ServiceSettings {
        cores: 1,
        queue: 10,
        answer_time: Duration::ZERO,
        failing: 0.0,
        answer_bytes: 300,
        next: None,
    }
}

#[test]
fn a_service_calls_the_next_one_and_fails_with_it() {
    run(async {
        for (failing, wanted) in [
            (0.0, StatusCode::OK),
            (1.0, StatusCode::INTERNAL_SERVER_ERROR),
        ] {
            let (leaf, leaf_counters) = service(ServiceSettings { failing, ..quick() });
            let next = Some(Arc::new(Pool::new(leaf.address(), 1)));
            let (top, top_counters) = service(ServiceSettings { next, ..quick() });
            let pool = Pool::new(top.address(), 2);
            for _ in 0..2 {
                let answer = pool.call(&order("body")).await.expect("an answer");
                assert_eq!(answer.status, wanted);
                assert!(wanted != StatusCode::OK || answer.body.len() == 300);
            }
            assert_eq!(leaf_counters.attempts.load(Ordering::Relaxed), 2);
            assert_eq!(top_counters.attempts.load(Ordering::Relaxed), 2);
        }
    });
}

#[test]
fn a_full_queue_declines() {
    run(async {
        let (held, _) = service(ServiceSettings {
            cores: 0,
            queue: 1,
            ..quick()
        });
        let pool = Arc::new(Pool::new(held.address(), 1));
        let first = tokio::spawn({
            let pool = pool.clone();
            async move { pool.call(&order("waits for ever")).await }
        });
        let declined = loop {
            let call = Call {
                deadline: Duration::from_millis(200),
                ..order("second")
            };
            match pool.call(&call).await {
                Ok(answer) => break answer,
                // It came first, and the other one is declined.
                Err(_) => tokio::task::yield_now().await,
            }
        };
        assert_eq!(declined.status, StatusCode::SERVICE_UNAVAILABLE);
        first.abort();
    });
}

/// Clients that wait for an answer before they send the next call would never get one here.
#[test]
fn clients_send_when_planned_whatever_became_of_earlier_calls() {
    run(async {
        const TOGETHER: usize = 20;
        let all_came = Arc::new(Barrier::new(TOGETHER));
        let came = Arc::new(AtomicUsize::new(0));
        let count = came.clone();
        let server = Server::start(move || {
            let (all_came, came) = (all_came.clone(), count.clone());
            service_fn(move |_| {
                let (all_came, came) = (all_came.clone(), came.clone());
                async move {
                    if came.fetch_add(1, Ordering::Relaxed) < TOGETHER {
                        all_came.wait().await;
                    }
                    Ok::<_, Infallible>(answer(StatusCode::OK, ""))
                }
            })
        })
        .expect("starts");
        let plan = LoadPlan {
            calls_per_second: 1000.0,
            duration: Duration::from_millis(200),
            read_share: 0.5,
            new_connection_share: 0.5,
            body: Bytes::from_static(b"body"),
            deadline: DEADLINE,
            seed: 1,
        };
        let records = send(
            plan,
            vec![Arc::new(Pool::new(server.address, 1))],
            Clock::start(),
        )
        .await;
        assert!(
            records.len() >= TOGETHER,
            "{} calls were planned",
            records.len()
        );
        assert!(records
            .iter()
            .all(|record| record.outcome == CallOutcome::Served));
        assert!(
            records
                .iter()
                .all(|record| record.latency >= record.lateness),
            "counted from the plan"
        );
        let mut planned: Vec<Duration> = records.iter().map(|record| record.planned).collect();
        planned.sort_unstable();
        let first_end = records
            .iter()
            .map(|record| record.planned + record.latency)
            .min();
        assert!(
            first_end >= Some(planned[TOGETHER - 1]),
            "nothing ends before all have come"
        );
    });
}
