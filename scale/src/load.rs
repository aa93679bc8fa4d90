//! Open-loop clients: calls go out when they were planned, whatever became of earlier ones, and latency counts from the
//! planned time.
use crate::client::{Call, CallKind, ConnectionUse, Pool};
use crate::stamp::{Clock, Stamp};
use bytes::Bytes;
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

/// Longest sleep of the pacing thread, so that it notices the end of a run that was broken off.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// What the clients do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Mean rate; calls come at random (Poisson).
    pub calls_per_second: f64,
    /// How long calls are sent.
    pub duration: Duration,
    /// Share of calls that may be repeated, from 0 to 1.
    pub read_share: f64,
    /// Share of calls on a new connection, from 0 to 1.
    pub new_connection_share: f64,
    /// Body of calls that must not run twice.
    pub body: Bytes,
    /// How long a client waits.
    pub deadline: Duration,
    /// Feeds the random choices.
    pub seed: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with 200.
    Served,
    /// 429 or 503: trying again does no harm.
    Rejected,
    /// Any other answer.
    Failed,
    /// No whole answer.
    Unanswered,
}

/// One call, from its plan to its end.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// When it should have been sent, counted from the load's start.
    pub planned: Duration,
    /// How much later the client began to send it.
    pub lateness: Duration,
    /// From its planned time to its answer's last byte.
    pub latency: Duration,
    /// From the client's sending to the answer's last byte, without the time that the service had it; of calls served.
    pub outside_service: Option<Duration>,
    /// From the client's sending until the service had all of it; of calls served.
    pub request_way: Option<Duration>,
    /// Its class.
    pub kind: CallKind,
    /// What it went out on.
    pub connection: ConnectionUse,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Sends all planned calls to the pools in turn and returns their records.
pub async fn send(plan: LoadPlan, pools: Vec<Arc<Pool>>, clock: Clock) -> Vec<CallRecord> {
    let (sender, mut receiver) = unbounded_channel();
    let stop = Stop(Arc::new(AtomicBool::new(false)));
    let (stopped, runtime) = (stop.0.clone(), Handle::current());
    thread::spawn(move || pace(&plan, &pools, clock, &runtime, &sender, &stopped));
    let mut records = Vec::new();
    while let Some(record) = receiver.recv().await {
        records.push(record);
    }
    records
}

/// Ends the pacing thread when the load is dropped before its end.
struct Stop(Arc<AtomicBool>);

impl Drop for Stop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Starts each call at its planned time. A thread of its own sleeps more exactly than the runtime's timers, which count
/// in milliseconds.
fn pace(
    plan: &LoadPlan,
    pools: &[Arc<Pool>],
    clock: Clock,
    runtime: &Handle,
    records: &UnboundedSender<CallRecord>,
    stopped: &AtomicBool,
) {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let Ok(gaps) = Exp::new(plan.calls_per_second) else {
        return;
    };
    let start = clock.now();
    let mut planned = Duration::ZERO;
    for pool in pools.iter().cycle() {
        planned += Duration::from_secs_f64(gaps.sample(&mut random));
        if planned >= plan.duration || !sleep_until(clock.instant(start + planned), stopped) {
            return;
        }
        let call = plan.draw(&mut random);
        let (pool, records) = (pool.clone(), records.clone());
        runtime.spawn(async move {
            let record = carry_out(call, &pool, clock, start, planned).await;
            // Nobody listens any more once the run was broken off.
            let _ = records.send(record);
        });
    }
}

/// Whether the time came before the run was stopped.
fn sleep_until(at: Instant, stopped: &AtomicBool) -> bool {
    loop {
        if stopped.load(Ordering::Relaxed) {
            return false;
        }
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(LONGEST_SLEEP));
    }
}

impl LoadPlan {
    fn draw(&self, random: &mut StdRng) -> Call {
        let kind = if random.random_bool(self.read_share) {
            CallKind::Read
        } else {
            CallKind::Order
        };
        let new = random.random_bool(self.new_connection_share);
        let connection = if new {
            ConnectionUse::New
        } else {
            ConnectionUse::Idle
        };
        let body = if kind == CallKind::Order {
            self.body.clone()
        } else {
            Bytes::new()
        };
        Call {
            kind,
            connection,
            deadline: self.deadline,
            body,
        }
    }
}

async fn carry_out(
    call: Call,
    pool: &Pool,
    clock: Clock,
    start: Duration,
    planned: Duration,
) -> CallRecord {
    let due = start + planned;
    let sent = clock.now();
    let answer = pool.call(&call).await;
    let ended = clock.now();
    let (outcome, connection, stamp) = match &answer {
        Ok(answer) => (
            outcome(answer.status),
            answer.connection,
            Stamp::read(&answer.body),
        ),
        Err(_) => (CallOutcome::Unanswered, call.connection, None),
    };
    CallRecord {
        planned,
        lateness: sent.saturating_sub(due),
        latency: ended.saturating_sub(due),
        outside_service: stamp.map(|stamp| (ended - sent).saturating_sub(stamp.held())),
        request_way: stamp.map(|stamp| stamp.received.saturating_sub(sent)),
        kind: call.kind,
        connection,
        outcome,
    }
}

fn outcome(status: StatusCode) -> CallOutcome {
    match status {
        StatusCode::OK => CallOutcome::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => CallOutcome::Rejected,
        _ => CallOutcome::Failed,
    }
}
