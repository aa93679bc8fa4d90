//! Notices in poll mode. A notice is a change of the endpoint list that reports an upstream as draining, removed or
//! restarted. It takes effect once discovery has written it, and at the latest 6 s after discovery had it and was
//! reachable. Regardless of how the change, calls for the list and requests interleave, no new request is sent to a
//! draining or removed upstream later than the drain grace after the notice takes effect.
//!
//! Each test forces one interleaving with a scripted discovery. Pauses between calls are random, so several balancers
//! with different seeds run each scenario.
// A failed `expect` in a helper fails its test, as an assertion does.
#![allow(clippy::expect_used)]
mod common;
use common::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of balancers that run a scenario, each with its own seed.
const BALANCERS: u64 = 12;
/// Pause between two requests of a balancer's client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The drain grace of the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Tolerance for a request's transit time on a busy machine.
const SLACK: Duration = Duration::from_millis(50);
/// How long a test waits before the change, or before it kills the old process.
const WAIT_BEFORE_EVENT: Duration = Duration::from_millis(500);
/// How long requests continue after the notice takes effect: longer than any pause between two calls.
const OBSERVATION: Duration = Duration::from_secs(4);
/// How long discovery lets a call wait in its queue before it rejects it.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a test waits for discovery to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);
/// The value of `ask_within`, in milliseconds, where a scenario does not depend on it.
const ASK_WITHIN_MS: u64 = 10_000;

const NO_DELAY: Duration = Duration::ZERO;

/// The change that the notice reports for the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    Draining,
    Removed,
    /// Missing from the complete list, without an entry that reports it as removed.
    Unlisted,
    /// Serving again right after a restart; it may receive requests.
    Restarted,
}

/// Arrival times of requests at an upstream.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

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
struct Scenario {
    notice: Notice,
    script: Vec<Step>,
    ask_within_ms: u64,
    /// How the leaving upstream replies to requests.
    reply: fn() -> Reply,
    start: Start,
}

/// When the balancer starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// The balancer's watch is open before the change.
    BeforeTheChange,
    /// The balancer starts after the change, with the list from before the change.
    AfterTheChange,
}

fn ok_reply() -> Reply {
    ok_response("x")
}

impl Scenario {
    fn new(script: Vec<Step>) -> Scenario {
        Scenario {
            notice: Notice::Draining,
            script,
            ask_within_ms: ASK_WITHIN_MS,
            reply: ok_reply,
            start: Start::BeforeTheChange,
        }
    }

    fn with_reply(mut self, reply: fn() -> Reply) -> Scenario {
        self.reply = reply;
        self
    }

    fn with_start(mut self, start: Start) -> Scenario {
        self.start = start;
        self
    }

    fn with_notice(mut self, notice: Notice) -> Scenario {
        self.notice = notice;
        self
    }

    fn with_ask_within(mut self, ask_within_ms: u64) -> Scenario {
        self.ask_within_ms = ask_within_ms;
        self
    }

    /// Runs the scenario with all balancers. Asserts that each used the upstream, applied the change in time and, unless
    /// the upstream restarted, sent it no request late.
    fn assert_notice_is_followed(&self) {
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

    fn lists(&self, leaving: &StubUpstream, staying: &StubUpstream) -> ListHistory {
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
fn recording_upstream(reply: fn() -> Reply) -> (Arrivals, StubUpstream) {
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
fn poll_config(
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
struct Load {
    is_stopped: Arc<AtomicBool>,
    client: thread::JoinHandle<()>,
}

impl Load {
    fn start(balancer: &BalancerProcess) -> Load {
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

    fn stop(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.client.join().expect("every request is answered");
    }
}

/// The script of an outage: these replies, then `last`. The first step is the reply to the open watch, and ends it.
fn outage_script(calls: &[CallReply], last: Step) -> Vec<Step> {
    let mut script: Vec<Step> = calls.iter().copied().map(Step::new).collect();
    script.push(last);
    script
}

const REJECT: CallReply = CallReply::Reject(NO_DELAY);
const REJECT_AFTER_QUEUE: CallReply = CallReply::Reject(QUEUE_TIMEOUT);
/// Served from discovery's queue shortly before [`QUEUE_TIMEOUT`] would reject the call.
const SERVE_AFTER_QUEUE: CallReply = CallReply::Serve(Duration::from_millis(1900));

#[test]
fn notice_on_an_open_watch() {
    for notice in [
        Notice::Draining,
        Notice::Removed,
        Notice::Unlisted,
        Notice::Restarted,
    ] {
        Scenario::new(vec![])
            .with_notice(notice)
            .assert_notice_is_followed();
    }
}

/// Retries avoid a failing upstream that drains, as first attempts do.
#[test]
fn notice_while_attempts_fail_and_are_retried() {
    let declined = || empty_response("503 Service Unavailable\r\nSrv-Declined: 1");
    for reply in [declined, || Reply::Close] {
        Scenario::new(vec![])
            .with_reply(reply)
            .assert_notice_is_followed();
    }
}

#[test]
fn one_rejection_before_discovery_recovers() {
    Scenario::new(outage_script(&[], Step::recovering_after(REJECT))).assert_notice_is_followed();
}

#[test]
fn two_rejections_before_discovery_recovers() {
    Scenario::new(outage_script(&[REJECT], Step::recovering_after(REJECT)))
        .assert_notice_is_followed();
}

#[test]
fn three_rejections_before_discovery_recovers() {
    let scenario = Scenario::new(outage_script(&[REJECT; 2], Step::recovering_after(REJECT)));
    scenario.assert_notice_is_followed();
}

#[test]
fn discovery_recovers_after_three_rejections_and_queues_the_next_call() {
    let mut script = outage_script(&[REJECT; 2], Step::recovering_after(REJECT));
    script.push(Step::new(SERVE_AFTER_QUEUE));
    Scenario::new(script).assert_notice_is_followed();
}

/// The call in flight when discovery recovers is still rejected.
#[test]
fn discovery_recovers_during_the_first_call_that_it_rejects_late() {
    let scenario = Scenario::new(outage_script(
        &[REJECT],
        Step::recovering_during(REJECT_AFTER_QUEUE),
    ));
    scenario.assert_notice_is_followed();
}

#[test]
fn discovery_recovers_during_the_second_call_that_it_rejects_late() {
    let scenario = Scenario::new(outage_script(
        &[REJECT, REJECT_AFTER_QUEUE],
        Step::recovering_during(REJECT_AFTER_QUEUE),
    ));
    scenario.assert_notice_is_followed();
}

#[test]
fn discovery_recovers_during_a_call_that_it_rejects_late_and_queues_the_next_call() {
    let mut script = outage_script(&[REJECT], Step::recovering_during(REJECT_AFTER_QUEUE));
    script.push(Step::new(SERVE_AFTER_QUEUE));
    Scenario::new(script).assert_notice_is_followed();
}

/// `ask_within` sets the deadline of a notice in the simulator only. On sockets a notice takes effect after at most 6 s,
/// regardless of the setting.
#[test]
fn discovery_recovers_during_a_late_rejection_with_a_small_ask_within() {
    for ask_within_ms in [1000, 3000] {
        Scenario::new(outage_script(
            &[REJECT, REJECT_AFTER_QUEUE],
            Step::recovering_during(REJECT_AFTER_QUEUE),
        ))
        .with_ask_within(ask_within_ms)
        .assert_notice_is_followed();
    }
}

/// Resets before the recovery must not lengthen the pause after the first rejection that follows them.
#[test]
fn discovery_recovers_after_resets_and_its_queue_rejects_the_first_call() {
    let mut script = outage_script(
        &[CallReply::Reset; 3],
        Step::recovering_after(CallReply::Reset),
    );
    script.push(Step::new(REJECT_AFTER_QUEUE));
    script.push(Step::new(CallReply::Serve(Duration::from_millis(500))));
    Scenario::new(script).assert_notice_is_followed();
}

#[test]
fn discovery_recovers_after_resets_and_is_full_at_the_first_call() {
    let mut script = outage_script(
        &[CallReply::Reset; 3],
        Step::recovering_after(CallReply::Reset),
    );
    script.push(Step::new(REJECT));
    script.push(Step::new(CallReply::Serve(Duration::from_millis(700))));
    Scenario::new(script).assert_notice_is_followed();
}

#[test]
fn discovery_recovers_after_it_refused_connections() {
    let refused = CallReply::RefuseConnections(Duration::from_secs(4));
    let mut script = outage_script(&[], Step::recovering_after(refused));
    script.push(Step::new(SERVE_AFTER_QUEUE));
    Scenario::new(script).assert_notice_is_followed();
}

#[test]
fn watch_stops_responding() {
    let mut script = vec![Step::recovering_during(CallReply::Ignore)];
    script.push(Step::new(SERVE_AFTER_QUEUE));
    Scenario::new(script).assert_notice_is_followed();
}

#[test]
fn watch_stops_responding_and_the_next_call_is_rejected() {
    let script = vec![
        Step::recovering_during(CallReply::Ignore),
        Step::new(REJECT),
        Step::new(CallReply::Serve(Duration::from_millis(1500))),
    ];
    Scenario::new(script).assert_notice_is_followed();
}

/// The balancer abandons a call; discovery recovers before the next one.
#[test]
fn discovery_recovers_during_a_call_that_times_out() {
    let mut script = outage_script(
        &[REJECT, CallReply::Ignore, CallReply::Ignore],
        Step::recovering_during(CallReply::Ignore),
    );
    script.push(Step::new(CallReply::Serve(Duration::from_millis(1800))));
    Scenario::new(script).assert_notice_is_followed();
}

#[test]
fn truncated_and_older_lists_precede_the_change() {
    let script = vec![
        Step::recovering_during(CallReply::Truncate),
        Step::new(CallReply::ServeOlderList(QUEUE_TIMEOUT)),
        Step::new(CallReply::Serve(Duration::from_secs(1))),
    ];
    Scenario::new(script).assert_notice_is_followed();
}

/// Calls fail in every way, one after the other, before discovery recovers.
#[test]
fn discovery_recovers_after_failures_of_all_kinds() {
    let script = outage_script(
        &[
            REJECT,
            CallReply::Truncate,
            CallReply::Reset,
            CallReply::ServeOlderList(NO_DELAY),
            REJECT_AFTER_QUEUE,
            CallReply::Ignore,
        ],
        Step::recovering_during(REJECT_AFTER_QUEUE),
    );
    for notice in [Notice::Draining, Notice::Removed, Notice::Restarted] {
        Scenario::new(script.clone())
            .with_notice(notice)
            .assert_notice_is_followed();
    }
}

/// A balancer that restarts with the list from before the change while discovery rejects its calls.
#[test]
fn balancer_restarts_with_a_cached_list_while_discovery_rejects_calls() {
    let scripts = [
        outage_script(&[REJECT], Step::recovering_after(REJECT)),
        outage_script(
            &[REJECT_AFTER_QUEUE],
            Step::recovering_during(REJECT_AFTER_QUEUE),
        ),
    ];
    for script in scripts {
        Scenario::new(script)
            .with_start(Start::AfterTheChange)
            .assert_notice_is_followed();
    }
}

/// A process that can be upgraded. It listens at the address of the old process, if there is one.
fn run_in_folder(
    folder: &Path,
    discovery: &ScriptedDiscovery,
    known: &str,
    old_address: Option<SocketAddr>,
) -> BalancerProcess {
    let mut config = with_admin_endpoint(&poll_config(discovery, 0, ASK_WITHIN_MS, known));
    if let Some(address) = old_address {
        let listen = format!("\"listen\":\"{address}\"");
        config = config.replacen("\"listen\":\"127.0.0.1:0\"", &listen, 1);
    }
    let mut command = balancer_command(&config);
    command.env("TMPDIR", folder);
    BalancerProcess::run(command, StubDiscovery::start())
}

/// Upgrades a balancer. While the new process gets the replies of `script` from its discovery, the old process learns
/// that an upstream drains. Asserts that the new process sends that upstream nothing later than the drain grace.
fn assert_new_process_sends_nothing_late(name: &str, script: &[Step]) {
    let scenario = Scenario::new(script.to_vec());
    let (arrivals, leaving) = recording_upstream(ok_reply);
    let (_, staying) = recording_upstream(ok_reply);
    let lists = scenario.lists(&leaving, &staying);
    let folder = state_folder(name);
    let old_discovery = ScriptedDiscovery::start(lists.clone());
    let new_discovery = ScriptedDiscovery::start(lists.clone());
    let mut old = run_in_folder(&folder, &old_discovery, &lists.before, None);
    new_discovery.play(script);
    let new = thread::scope(|scope| {
        let new = scope
            .spawn(|| run_in_folder(&folder, &new_discovery, &lists.before, Some(old.address)));
        thread::sleep(WAIT_BEFORE_EVENT);
        old_discovery.play(&[]);
        new.join().expect("the new process serves")
    });
    let notified_at = old_discovery.notified_at().expect("the change");
    old.terminate();
    assert!(old.wait_for_exit().success(), "{:?}", old.log_lines());
    let load = Load::start(&new);
    thread::sleep(OBSERVATION);
    load.stop();
    let arrivals = arrivals.lock().expect("no panic");
    let last_arrival = arrivals
        .iter()
        .filter_map(|at| at.checked_duration_since(notified_at))
        .max();
    assert!(
        last_arrival.is_none_or(|arrival| arrival <= DRAIN_GRACE + SLACK),
        "{last_arrival:?} after the old process was notified"
    );
}

/// Both processes of an upgrade are the same balancer: once one of them has a notice, the other must follow it too.
#[test]
fn new_process_whose_call_is_rejected_sends_nothing_to_upstreams_the_old_one_saw_draining() {
    assert_new_process_sends_nothing_late("rejected", &[Step::new(REJECT), Step::new(REJECT)]);
}

#[test]
fn new_process_whose_call_is_rejected_late_sends_nothing_to_upstreams_the_old_one_saw_draining() {
    assert_new_process_sends_nothing_late("rejected-late", &[Step::new(REJECT_AFTER_QUEUE)]);
}

/// An unchanged list confirms the cached one: the new process need not wait for another.
#[test]
fn new_process_serves_once_its_cached_list_is_confirmed() {
    let (_, upstream) = recording_upstream(ok_reply);
    let before = vec![(0, upstream.address, "active")];
    let lists = ListHistory::new(&before, &before, &before);
    let folder = state_folder("confirmed");
    let discovery = [(); 2].map(|()| ScriptedDiscovery::start(lists.clone()));
    let old = run_in_folder(&folder, &discovery[0], &lists.before, None);
    let started_at = Instant::now();
    run_in_folder(&folder, &discovery[1], &lists.before, Some(old.address));
    let elapsed = started_at.elapsed();
    assert!(
        elapsed < Duration::from_secs(1),
        "the new process served after {elapsed:?}"
    );
}

/// No other process serves the clients, so the new process serves with its cached list.
#[test]
fn new_process_serves_at_once_after_the_old_one_is_killed() {
    let (_, upstream) = recording_upstream(ok_reply);
    let before = vec![(0, upstream.address, "active")];
    let lists = ListHistory::new(&before, &before, &before);
    let folder = state_folder("died");
    let discovery = [(); 2].map(|()| ScriptedDiscovery::start(lists.clone()));
    let old = run_in_folder(&folder, &discovery[0], &lists.before, None);
    let address = old.address;
    discovery[1].play(&[Step::new(CallReply::Ignore); 4]);
    // The old process is killed once WAIT_BEFORE_EVENT has passed.
    let killed_at = Instant::now() + WAIT_BEFORE_EVENT;
    thread::scope(|scope| {
        scope.spawn(|| run_in_folder(&folder, &discovery[1], &lists.before, Some(address)));
        thread::sleep(WAIT_BEFORE_EVENT);
        drop(old);
    });
    let elapsed = killed_at.elapsed();
    assert!(
        elapsed < Duration::from_secs(1),
        "the new process served {elapsed:?} after the old one was killed"
    );
}
