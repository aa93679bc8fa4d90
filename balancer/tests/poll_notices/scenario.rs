//! A scenario of the notices in poll mode: several balancers, their load and their discovery.
use crate::common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of balancers that run a scenario, each with its own seed.
const BALANCERS: u64 = 12;
/// Pause between two requests of a balancer's client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The drain grace of the settings.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Tolerance for a request's transit time on a busy machine.
pub const SLACK: Duration = Duration::from_millis(50);
/// How long a test waits before the change, or before it kills the old process.
pub const WAIT_BEFORE_EVENT: Duration = Duration::from_millis(500);
/// How long requests continue after the notice takes effect: longer than any pause between two calls.
pub const OBSERVATION: Duration = Duration::from_secs(4);
/// How long discovery lets a call wait in its queue before it rejects it.
pub const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a test waits for discovery to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);
/// The value of `ask_within`, in milliseconds, where a scenario does not depend on it.
pub const ASK_WITHIN_MS: u64 = 10_000;

pub const NO_DELAY: Duration = Duration::ZERO;

/// The change that the notice reports for the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    Draining,
    Removed,
    /// Missing from the complete list, without an entry that reports it as removed.
    Unlisted,
    /// Serving again right after a restart; it may receive requests.
    Restarted,
}

/// Arrival times of requests at an upstream.
pub type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// What one balancer did. Times are relative to when the notice took effect.
#[derive(Debug)]
struct Outcome {
    /// The balancer's seed, printed when a test fails.
    #[allow(dead_code)]
    seed: u64,
    /// When the last request arrived at the upstream; `None` if that was before the notice took effect.
    last_arrival: Option<Duration>,
    /// When the balancer confirmed that it had applied the change; `None` if it has not.
    applied: Option<Duration>,
    /// Whether requests arrived at the upstream before the notice took effect.
    was_used: bool,
}

impl Outcome {
    /// Whether the balancer sent a request late, applied the change late or never, or never used the upstream.
    fn is_failure(&self, notice: Notice) -> bool {
        let limit = DRAIN_GRACE + SLACK;
        let is_applied_in_time = self.applied.is_some_and(|applied| applied <= limit);
        let has_late_arrival = self.last_arrival.is_some_and(|arrival| arrival > limit);
        !self.was_used || !is_applied_in_time || (has_late_arrival && notice != Notice::Restarted)
    }
}

/// A sequence of calls, and the notice.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub notice: Notice,
    pub script: Vec<Step>,
    pub ask_within_ms: u64,
    /// How the leaving upstream replies to requests.
    pub reply: fn() -> Reply,
    pub start: Start,
}

/// When the balancer starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The balancer's watch is open before the change.
    BeforeTheChange,
    /// The balancer starts after the change, with the list from before the change.
    AfterTheChange,
}

pub fn ok_reply() -> Reply {
    ok_response("x")
}

impl Scenario {
    pub fn new(script: Vec<Step>) -> Scenario {
        Scenario {
            notice: Notice::Draining,
            script,
            ask_within_ms: ASK_WITHIN_MS,
            reply: ok_reply,
            start: Start::BeforeTheChange,
        }
    }

    pub fn with_reply(mut self, reply: fn() -> Reply) -> Scenario {
        self.reply = reply;
        self
    }

    pub fn with_start(mut self, start: Start) -> Scenario {
        self.start = start;
        self
    }

    pub fn with_notice(mut self, notice: Notice) -> Scenario {
        self.notice = notice;
        self
    }

    pub fn with_ask_within(mut self, ask_within_ms: u64) -> Scenario {
        self.ask_within_ms = ask_within_ms;
        self
    }

    /// Runs the scenario with all balancers. Asserts that each used the upstream, applied the change in time and, unless
    /// the upstream restarted, sent it no request late.
    pub fn assert_notice_is_followed(&self) {
        let results: Vec<Outcome> = thread::scope(|scope| {
            let workers: Vec<_> = (0..BALANCERS)
                .map(|seed| scope.spawn(move || self.run(seed)))
                .collect();
            workers
                .into_iter()
                .map(|worker| worker.join().expect("the scenario runs"))
                .collect()
        });
        let violations: Vec<_> = results
            .iter()
            .filter(|outcome| outcome.is_failure(self.notice))
            .collect();
        assert!(
            violations.is_empty(),
            "{} of {BALANCERS} balancers sent a request late, missed the change or never used the upstream: \
             {violations:#?}",
            violations.len()
        );
    }

    fn run(&self, seed: u64) -> Outcome {
        let (arrivals, leaving) = recording_upstream(self.reply);
        let (_, staying) = recording_upstream(ok_reply);
        let lists = self.lists(&leaving, &staying);
        let discovery = ScriptedDiscovery::start(lists.clone());
        let config = poll_config(&discovery, seed, self.ask_within_ms, &lists.before);
        if self.start == Start::AfterTheChange {
            discovery.play(&self.script);
        }
        let balancer = BalancerProcess::run(balancer_command(&config), StubDiscovery::start());
        let load = Load::start(&balancer);
        if self.start == Start::BeforeTheChange {
            thread::sleep(WAIT_BEFORE_EVENT);
            discovery.play(&self.script);
        }
        let notified_at = observe(&discovery);
        load.stop();
        let arrivals = arrivals.lock().expect("no panic");
        let since_notice = |at: &Instant| at.checked_duration_since(notified_at);
        Outcome {
            seed,
            last_arrival: arrivals.iter().filter_map(since_notice).max(),
            applied: discovery
                .followed_at()
                .map(|at| at.saturating_duration_since(notified_at)),
            was_used: arrivals.iter().any(|at| *at < notified_at),
        }
    }

    pub fn lists(&self, leaving: &StubUpstream, staying: &StubUpstream) -> ListHistory {
        let entry = |state| (0, leaving.address, state);
        let other = (1, staying.address, "active");
        let before = vec![entry("active"), other];
        match self.notice {
            Notice::Draining => ListHistory::new(
                &before,
                &vec![entry("leaving")],
                &vec![entry("leaving"), other],
            ),
            Notice::Removed => ListHistory::new(&before, &vec![entry("left")], &vec![other]),
            Notice::Unlisted => ListHistory::with_complete_change(&before, &vec![other]),
            Notice::Restarted => ListHistory::with_restart(&before, unix_time_ms()),
        }
    }
}

/// An upstream that records when requests arrive.
pub fn recording_upstream(reply: fn() -> Reply) -> (Arrivals, StubUpstream) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let upstream = StubUpstream::start(move |_| {
        recorded.lock().expect("no panic").push(Instant::now());
        reply()
    });
    (arrivals, upstream)
}

fn unix_time_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is past 1970")
        .as_millis()
}

/// The configuration of a balancer that polls this discovery.
pub fn poll_config(
    discovery: &ScriptedDiscovery,
    seed: u64,
    ask_within_ms: u64,
    known: &str,
) -> String {
    let invariants = format!(
        "\"ask_within\":{ask_within_ms},\"drain_grace\":{}",
        DRAIN_GRACE.as_millis()
    );
    // Spreads consecutive seeds over all bits.
    let seed = format!("{:016x}", (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    balancer_config(discovery.address, 1024, known)
        .replace("\"drain_grace\":1000", &invariants)
        .replace("8c1f30d27a5be964", &seed)
}

/// Waits until the notice has been in effect for [`OBSERVATION`], and returns when it took effect.
fn observe(discovery: &ScriptedDiscovery) -> Instant {
    let started_at = Instant::now();
    loop {
        match discovery.notified_at() {
            Some(at) if at.elapsed() > OBSERVATION => return at,
            _ => thread::sleep(REQUEST_INTERVAL),
        }
        assert!(
            started_at.elapsed() < RECOVERY_TIMEOUT,
            "the notice was not in effect for {OBSERVATION:?} within {RECOVERY_TIMEOUT:?}; calls: {:?}",
            discovery.calls()
        );
    }
}

/// A client that sends sequential requests.
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    client: thread::JoinHandle<()>,
}

impl Load {
    pub fn start(balancer: &BalancerProcess) -> Load {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        let mut client = balancer.client();
        let client = thread::spawn(move || {
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                client.call(&get_request(&format!("r{number}"), "2000m"));
                thread::sleep(REQUEST_INTERVAL);
            }
        });
        Load { is_stopped, client }
    }

    pub fn stop(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.client.join().expect("every request is answered");
    }
}
