//! Plays all rows at one moment and reports the rows that fail.
#![allow(clippy::disallowed_macros, reason = "the report is printed")]
use crate::load::Tally;
use crate::plays::{Moment, Play, PlayResult};
use crate::rows::{Row, ROWS};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Name of the environment variable with the number of plays of each row.
const PLAYS_VARIABLE: &str = "FAILING_CALLS_PLAYS";
const DEFAULT_PLAYS: usize = 1;
/// Name of the environment variable with the number of plays at once.
const PLAYS_AT_ONCE_VARIABLE: &str = "FAILING_CALLS_AT_ONCE";
/// Plays wait most of the time: six at once use a third of a processor.
const DEFAULT_PLAYS_AT_ONCE: usize = 6;
/// How many lines of the log of a failed play are reported.
const REPORTED_LOG_LINES: usize = 4;

/// Held while the rows are played at one moment, so that the tests run one after another.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// The results of the plays of one row.
#[derive(Default)]
struct RowReport {
    /// The number of plays that failed.
    failed: usize,
    /// How many system calls the faults made fail in all plays.
    injected: u64,
    /// The requests of all plays.
    tally: Tally,
    /// Why the first play failed.
    evidence: String,
}

/// Plays all rows at this moment, prints a report, and fails if a play failed.
pub fn assert_all_rows_survive(moment: Moment) {
    let _run = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let plays = number_from(PLAYS_VARIABLE, DEFAULT_PLAYS);
    let reports = play_all(moment, plays);
    let failed = reports.iter().filter(|report| report.failed > 0).count();
    let mut text = format!("{moment:?}: {failed} of {} rows failed", ROWS.len());
    for (row, report) in ROWS.iter().zip(&reports) {
        let RowReport {
            failed,
            injected,
            tally,
            evidence,
        } = report;
        text += &format!(
            "\n  {}: {failed} of {plays} plays failed, {injected} calls made to fail, requests {tally:?}{evidence}",
            row.name
        );
    }
    println!("{text}");
    assert_eq!(failed, 0, "{moment:?}: the rows printed above failed");
}

/// The number in an environment variable.
fn number_from(variable: &str, default: usize) -> usize {
    std::env::var(variable)
        .ok()
        .and_then(|number| number.parse().ok())
        .unwrap_or(default)
}

fn play_all(moment: Moment, plays: usize) -> Vec<RowReport> {
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(
        ROWS.iter()
            .map(|_| RowReport::default())
            .collect::<Vec<_>>(),
    );
    thread::scope(|scope| {
        for _ in 0..number_from(PLAYS_AT_ONCE_VARIABLE, DEFAULT_PLAYS_AT_ONCE) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let (row, play) = (number % ROWS.len(), number / ROWS.len());
                if play >= plays {
                    return;
                }
                let seed = seed_of(moment, row, play);
                let result = Play::new(&ROWS[row], moment, seed).run(moment);
                let mut reports = reports
                    .lock()
                    .expect("no thread panicked while it held the lock");
                add_result(&mut reports[row], &ROWS[row], seed, &result);
            });
        }
    });
    reports
        .into_inner()
        .expect("no thread panicked while it held the lock")
}

/// A seed that no other play has.
fn seed_of(moment: Moment, row: usize, play: usize) -> u64 {
    (((moment as usize) << 8 | row) << 16 | play) as u64
}

fn add_result(report: &mut RowReport, row: &Row, seed: u64, result: &PlayResult) {
    report.injected += result.injected;
    for (outcome, count) in &result.tally {
        *report.tally.entry(*outcome).or_default() += count;
    }
    if result.failures.is_empty() {
        return;
    }
    report.failed += 1;
    println!("{}, seed {seed:#x}: {:?}", row.name, result.failures);
    if report.evidence.is_empty() {
        let skipped = result.log.len().saturating_sub(REPORTED_LOG_LINES);
        report.evidence = format!(
            ", first failed play: {:?}, requests {:?}, log {:#?}",
            result.failures,
            result.tally,
            &result.log[skipped..]
        );
    }
}
