//! A stand-in for one instance of a service: cores, a queue, an answer time, and calls to the next service.
use crate::client::{Call, CallKind, ConnectionUse, Pool};
use crate::server::{answer, Answer, Server};
use crate::stamp::{Clock, Stamp};
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
/// Marks a call that has surely not run.
const DECLINED: &str = "srv-declined";

/// What an instance is like.
#[derive(Clone)]
pub struct ServiceSettings {
    /// Calls worked on at once.
    pub cores: usize,
    /// Calls that wait; one more is declined.
    pub queue: usize,
    /// Mean time that a core is busy with a call.
    pub answer_time: Duration,
    /// Share of calls that it fails by itself, from 0 to 1.
    pub failing: f64,
    /// Size of answers.
    pub answer_bytes: usize,
    /// The balancer through which it calls the next service, if there is one.
    pub next: Option<Arc<Pool>>,
}

/// What has happened at the instances of one service.
#[derive(Debug, Default)]
pub struct ServiceCounters {
    /// Calls whose last byte has come.
    pub attempts: AtomicU64,
    /// Calls declined because the queue was full.
    pub declined: AtomicU64,
}

/// A running instance; it ends when dropped.
pub struct ServiceInstance {
    server: Server,
}

impl ServiceInstance {
    /// Starts an instance on a free loopback port.
    pub fn start(
        settings: ServiceSettings,
        counters: Arc<ServiceCounters>,
        clock: Clock,
        seed: u64,
    ) -> io::Result<ServiceInstance> {
        let cores = Semaphore::new(settings.cores);
        let random = Mutex::new(StdRng::seed_from_u64(seed));
        let state = Arc::new(State {
            settings,
            counters,
            clock,
            cores,
            open: AtomicUsize::new(0),
            random,
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
        self.server.address
    }
}

struct State {
    settings: ServiceSettings,
    counters: Arc<ServiceCounters>,
    clock: Clock,
    cores: Semaphore,
    /// Calls that hold a core or wait for one.
    open: AtomicUsize,
    random: Mutex<StdRng>,
}

/// A place among the calls that hold a core or wait for one; free again when dropped.
struct Place<'a> {
    open: &'a AtomicUsize,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the head of a call tells.
struct CallHead {
    kind: CallKind,
    deadline: Duration,
}

impl CallHead {
    fn read(headers: &HeaderMap) -> Option<CallHead> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let deadline = text(REQUEST_DEADLINE)?;
        let micros = match deadline.strip_suffix('u') {
            Some(micros) => micros.parse::<f64>().ok()?,
            None => deadline.strip_suffix('m')?.parse::<f64>().ok()? * 1000.0,
        };
        let deadline = Duration::try_from_secs_f64(micros / 1e6).ok()?;
        // Balancers may leave the class out, and then the call counts as one that must not run twice.
        let kind = text(REQUEST_KIND)
            .and_then(CallKind::of_class)
            .unwrap_or(CallKind::Order);
        Some(CallHead { kind, deadline })
    }
}

impl State {
    async fn respond(&self, request: Request<Incoming>) -> Answer {
        if !request.headers().contains_key(REQUEST_ID) {
            return answer(StatusCode::NOT_FOUND, "");
        }
        let Some(head) = CallHead::read(request.headers()) else {
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let Ok(body) = request.into_body().collect().await else {
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let received = self.clock.now();
        self.counters.attempts.fetch_add(1, Ordering::Relaxed);
        let Some(place) = self.enter() else {
            return self.decline();
        };
        if !self.work().await {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        drop(place);
        let left = head.deadline.saturating_sub(self.clock.now() - received);
        let call = Call {
            kind: head.kind,
            connection: ConnectionUse::Idle,
            deadline: left,
            body: body.to_bytes(),
        };
        if !self.next_succeeds(&call).await {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        let stamp = Stamp {
            received,
            answered: self.clock.now(),
        };
        answer(StatusCode::OK, stamp.body(self.settings.answer_bytes))
    }

    fn enter(&self) -> Option<Place<'_>> {
        let place = Place { open: &self.open };
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        (open < self.settings.cores + self.settings.queue).then_some(place)
    }

    fn decline(&self) -> Answer {
        self.counters.declined.fetch_add(1, Ordering::Relaxed);
        let mut declined = answer(StatusCode::SERVICE_UNAVAILABLE, "");
        declined
            .headers_mut()
            .insert(DECLINED, HeaderValue::from_static("1"));
        declined
    }

    /// Keeps a core busy for the answer time; whether the call goes well.
    async fn work(&self) -> bool {
        let (busy, failed) = self.draw();
        // Never closed while the instance runs.
        let _core = self.cores.acquire().await;
        if !busy.is_zero() {
            tokio::time::sleep(busy).await;
        }
        !failed
    }

    fn draw(&self) -> (Duration, bool) {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let failed = random.random_bool(self.settings.failing);
        let mean = self.settings.answer_time.as_secs_f64();
        let busy = match Exp::new(1.0 / mean) {
            Ok(distribution) if mean > 0.0 => {
                Duration::from_secs_f64(distribution.sample(&mut *random))
            }
            _ => Duration::ZERO,
        };
        (busy, failed)
    }

    async fn next_succeeds(&self, call: &Call) -> bool {
        match &self.settings.next {
            None => true,
            Some(next) => next
                .call(call)
                .await
                .is_ok_and(|answer| answer.status == StatusCode::OK),
        }
    }
}
