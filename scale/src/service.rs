//! A stand-in for one instance of a service: cores, a queue, a service time, and calls to the next service.
use crate::client::{Call, CallKind, ConnectionPool, ConnectionUse};
use crate::server::{response, Server, StandInResponse};
use crate::timing::{MeasurementClock, ServiceTimes};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;

const REQUEST_ID: &str = "req-id";
const REQUEST_KIND: &str = "req-kind";
const REQUEST_DEADLINE: &str = "req-deadline";
/// Marks a rejection: the call has not run.
const REJECTED_HEADER: &str = "srv-declined";
const MICROS_PER_MILLI: f64 = 1000.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The size and behavior of an instance.
#[derive(Clone)]
pub struct ServiceSettings {
    /// Calls that run at once.
    pub cores: usize,
    /// Calls that wait for a core; one more is rejected.
    pub queue: usize,
    /// Mean time that a core is busy with a call; the distribution is exponential.
    pub mean_service_time: Duration,
    /// Fraction of calls that the instance fails by itself, from 0 to 1.
    pub failure_fraction: f64,
    /// Minimum size of the bodies of successful responses, in bytes.
    pub response_bytes: usize,
    /// The balancer through which the instance calls the next service, if there is one.
    pub next: Option<Arc<ConnectionPool>>,
}

/// Counters over all instances of one service.
#[derive(Debug, Default)]
pub struct ServiceCounters {
    attempts: AtomicU64,
}

impl ServiceCounters {
    /// Calls that arrived completely.
    pub fn attempts(&self) -> u64 {
        self.attempts.load(Ordering::Relaxed)
    }

    fn record_attempt(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }
}

/// A running instance. It ends when dropped.
pub struct ServiceInstance {
    server: Server,
}

impl ServiceInstance {
    /// Starts an instance on a free loopback port.
    pub fn start(
        settings: ServiceSettings,
        counters: Arc<ServiceCounters>,
        clock: MeasurementClock,
        seed: u64,
    ) -> io::Result<ServiceInstance> {
        let state = Arc::new(State {
            cores: Semaphore::new(settings.cores),
            settings,
            counters,
            clock,
            accepted: AtomicUsize::new(0),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        });
        let server = Server::start(move || {
            let state = state.clone();
            service_fn(move |request| {
                let state = state.clone();
                async move { Ok::<_, Infallible>(state.respond(request).await) }
            })
        })?;
        Ok(ServiceInstance { server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

struct State {
    settings: ServiceSettings,
    counters: Arc<ServiceCounters>,
    clock: MeasurementClock,
    cores: Semaphore,
    /// Calls that hold a core or wait for one.
    accepted: AtomicUsize,
    random: Mutex<StdRng>,
}

/// Counts one call that holds a core or waits for one, until it is dropped.
struct AcceptedCall<'a> {
    accepted: &'a AtomicUsize,
}

impl Drop for AcceptedCall<'_> {
    fn drop(&mut self) {
        self.accepted.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The headers of a call.
struct CallHead {
    kind: CallKind,
    /// Time that the client still waits.
    timeout: Duration,
}

impl CallHead {
    fn parse(headers: &HeaderMap) -> Option<CallHead> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let timeout = parse_timeout(text(REQUEST_DEADLINE)?)?;
        // Balancers may omit the class; the call then counts as one that must not run twice.
        let kind = text(REQUEST_KIND)
            .and_then(CallKind::of_class)
            .unwrap_or(CallKind::Order);
        Some(CallHead { kind, timeout })
    }
}

/// A number with the suffix `u` (microseconds) or `m` (milliseconds).
fn parse_timeout(text: &str) -> Option<Duration> {
    let micros = match text.strip_suffix('u') {
        Some(micros) => micros.parse::<f64>().ok()?,
        None => text.strip_suffix('m')?.parse::<f64>().ok()? * MICROS_PER_MILLI,
    };
    Duration::try_from_secs_f64(micros / MICROS_PER_SECOND).ok()
}

/// The random properties of a call.
struct SimulatedWork {
    service_time: Duration,
    fails: bool,
}

impl State {
    async fn respond(&self, request: Request<Incoming>) -> StandInResponse {
        if !request.headers().contains_key(REQUEST_ID) {
            return response(StatusCode::NOT_FOUND, "");
        }
        let Some(head) = CallHead::parse(request.headers()) else {
            return response(StatusCode::BAD_REQUEST, "");
        };
        let Ok(body) = request.into_body().collect().await else {
            return response(StatusCode::BAD_REQUEST, "");
        };
        let received_at = self.clock.now();
        self.counters.record_attempt();
        let Some(accepted) = self.try_accept() else {
            return rejection();
        };
        if !self.work().await {
            return response(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        drop(accepted);
        if !self.call_next(&head, body.to_bytes(), received_at).await {
            return response(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        let times = ServiceTimes {
            received_at,
            responded_at: self.clock.now(),
        };
        response(StatusCode::OK, times.to_body(self.settings.response_bytes))
    }

    /// Counts a call as accepted, unless all cores are busy and the queue is full.
    fn try_accept(&self) -> Option<AcceptedCall<'_>> {
        let call = AcceptedCall {
            accepted: &self.accepted,
        };
        let before = self.accepted.fetch_add(1, Ordering::Relaxed);
        (before < self.settings.cores + self.settings.queue).then_some(call)
    }

    /// Keeps a core busy for the service time. Returns whether the call succeeds.
    async fn work(&self) -> bool {
        let work = self.draw_work();
        // The semaphore is never closed, so acquiring cannot fail.
        let _core = self.cores.acquire().await;
        if !work.service_time.is_zero() {
            tokio::time::sleep(work.service_time).await;
        }
        !work.fails
    }

    fn draw_work(&self) -> SimulatedWork {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let fails = random.random_bool(self.settings.failure_fraction);
        let mean_seconds = self.settings.mean_service_time.as_secs_f64();
        let service_time = match Exp::new(1.0 / mean_seconds) {
            Ok(distribution) if mean_seconds > 0.0 => {
                Duration::from_secs_f64(distribution.sample(&mut *random))
            }
            _ => Duration::ZERO,
        };
        SimulatedWork {
            service_time,
            fails,
        }
    }

    /// Passes a call on to the next service, if there is one. Returns whether it succeeds.
    async fn call_next(&self, head: &CallHead, body: Bytes, received_at: Duration) -> bool {
        let Some(next) = &self.settings.next else {
            return true;
        };
        let elapsed = self.clock.now() - received_at;
        let call = Call {
            kind: head.kind,
            connection: ConnectionUse::Idle,
            timeout: head.timeout.saturating_sub(elapsed),
            body,
        };
        next.call(&call)
            .await
            .is_ok_and(|response| response.status == StatusCode::OK)
    }
}

fn rejection() -> StandInResponse {
    let mut rejection = response(StatusCode::SERVICE_UNAVAILABLE, "");
    rejection
        .headers_mut()
        .insert(REJECTED_HEADER, HeaderValue::from_static("1"));
    rejection
}
