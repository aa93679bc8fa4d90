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

#[path = "poll_notices/scenario.rs"]
mod scenario;

use common::*;
use scenario::*;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

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
