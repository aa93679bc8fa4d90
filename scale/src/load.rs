//! Open-loop clients: they send calls at the planned times, whatever happened to earlier ones, and measure latency from
//! the planned time.
use crate::client::{Call, CallKind, ConnectionPool, ConnectionUse};
use crate::timing::{MeasurementClock, ServiceTimes};
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

/// Longest sleep of the pacing thread, so that it notices when the load is dropped.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// What the clients send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Mean rate; calls arrive at random (Poisson).
    pub calls_per_second: f64,
    /// How long calls are sent.
    pub duration: Duration,
    /// Fraction of idempotent calls, from 0 to 1.
    pub read_fraction: f64,
    /// Fraction of calls on a new connection, from 0 to 1.
    pub new_connection_fraction: f64,
    /// Body of calls that must not run twice.
    pub body: Bytes,
    /// How long a client waits for its response.
    pub timeout: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Status 200.
    Served,
    /// Status 429 or 503: a retry is safe.
    Rejected,
    /// Any other status.
    Failed,
    /// No complete response.
    WithoutResponse,
}

impl CallOutcome {
    fn of_status(status: StatusCode) -> CallOutcome {
        match status {
            StatusCode::OK => CallOutcome::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                CallOutcome::Rejected
            }
            _ => CallOutcome::Failed,
        }
    }
}

/// One call, from its plan to its end.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// When the call was planned, as time since the load's start.
    pub planned_at: Duration,
    /// From the planned time until the client began to send the call.
    pub send_delay: Duration,
    /// From the planned time to the response's last byte.
    pub latency: Duration,
    /// From sending to the response's last byte, less the service's own time; of calls served.
    pub outside_service: Option<Duration>,
    /// From sending until the service had the complete request; of calls served.
    pub request_transit: Option<Duration>,
    /// Its class.
    pub kind: CallKind,
    /// The connection that carried it.
    pub connection: ConnectionUse,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Sends all planned calls to the pools in turn and returns their records.
pub async fn send(
    plan: LoadPlan,
    pools: Vec<Arc<ConnectionPool>>,
    clock: MeasurementClock,
) -> Vec<CallRecord> {
    let (records_sender, mut records_receiver) = unbounded_channel();
    let stop_on_drop = StopOnDrop::default();
    let pacer = Pacer {
        plan,
        pools,
        clock,
        runtime: Handle::current(),
        records: records_sender,
        stopped: stop_on_drop.stopped.clone(),
    };
    thread::spawn(move || pacer.run());
    let mut records = Vec::new();
    while let Some(record) = records_receiver.recv().await {
        records.push(record);
    }
    records
}

/// Stops the pacing thread when the load is dropped before its end.
#[derive(Default)]
struct StopOnDrop {
    stopped: Arc<AtomicBool>,
}

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Starts each call at its planned time. It runs on a thread of its own, which sleeps more precisely than the runtime's
/// timers with their resolution of a millisecond.
struct Pacer {
    plan: LoadPlan,
    pools: Vec<Arc<ConnectionPool>>,
    clock: MeasurementClock,
    runtime: Handle,
    records: UnboundedSender<CallRecord>,
    stopped: Arc<AtomicBool>,
}

impl Pacer {
    fn run(self) {
        let mut random = StdRng::seed_from_u64(self.plan.seed);
        let Ok(gaps) = Exp::new(self.plan.calls_per_second) else {
            return;
        };
        let load_start = self.clock.now();
        let mut planned_at = Duration::ZERO;
        for pool in self.pools.iter().cycle() {
            planned_at += Duration::from_secs_f64(gaps.sample(&mut random));
            if planned_at >= self.plan.duration {
                return;
            }
            if !self.sleep_until(self.clock.instant(load_start + planned_at)) {
                return;
            }
            let planned = PlannedCall {
                call: self.plan.random_call(&mut random),
                load_start,
                planned_at,
            };
            self.spawn(planned, pool.clone());
        }
    }

    fn spawn(&self, planned: PlannedCall, pool: Arc<ConnectionPool>) {
        let clock = self.clock;
        let records = self.records.clone();
        self.runtime.spawn(async move {
            let record = planned.measure(&pool, clock).await;
            // The receiver is gone if the load was dropped; the record is not needed then.
            let _ = records.send(record);
        });
    }

    /// Sleeps until this time. Returns false if the load was stopped before it.
    fn sleep_until(&self, time: Instant) -> bool {
        loop {
            if self.stopped.load(Ordering::Relaxed) {
                return false;
            }
            let remaining = time.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return true;
            }
            thread::sleep(remaining.min(MAX_SLEEP));
        }
    }
}

impl LoadPlan {
    fn random_call(&self, random: &mut StdRng) -> Call {
        let kind = if random.random_bool(self.read_fraction) {
            CallKind::Read
        } else {
            CallKind::Order
        };
        let connection = if random.random_bool(self.new_connection_fraction) {
            ConnectionUse::New
        } else {
            ConnectionUse::Idle
        };
        let body = match kind {
            CallKind::Read => Bytes::new(),
            CallKind::Order => self.body.clone(),
        };
        Call {
            kind,
            connection,
            timeout: self.timeout,
            body,
        }
    }
}

/// A call and its time in the plan.
struct PlannedCall {
    call: Call,
    /// The load's start on the measurement's clock.
    load_start: Duration,
    /// Time since the load's start.
    planned_at: Duration,
}

impl PlannedCall {
    async fn measure(self, pool: &ConnectionPool, clock: MeasurementClock) -> CallRecord {
        let due_at = self.load_start + self.planned_at;
        let sent_at = clock.now();
        let response = pool.call(&self.call).await;
        let ended_at = clock.now();
        let mut record = CallRecord {
            planned_at: self.planned_at,
            send_delay: sent_at.saturating_sub(due_at),
            latency: ended_at.saturating_sub(due_at),
            outside_service: None,
            request_transit: None,
            kind: self.call.kind,
            connection: self.call.connection,
            outcome: CallOutcome::WithoutResponse,
        };
        let Ok(response) = response else {
            return record;
        };
        record.outcome = CallOutcome::of_status(response.status);
        record.connection = response.connection;
        if let Some(times) = ServiceTimes::from_body(&response.body) {
            let outside_service = (ended_at - sent_at).saturating_sub(times.service_time());
            record.outside_service = Some(outside_service);
            record.request_transit = Some(times.received_at.saturating_sub(sent_at));
        }
        record
    }
}
