//! One play: one run of a balancer from start to exit, with the faults of one row from a given moment on.
use crate::common::state_folder;
use crate::failure::Failure;
use crate::fault_control::FaultControl;
use crate::load::{Load, RequestOutcome, Tally};
use crate::preloaded_balancer::{PreloadedBalancer, ReservedAddress};
use crate::rows::Row;
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// How long clients send requests before and after an event.
const LOAD_PERIOD: Duration = Duration::from_millis(300);
/// How long an idle process runs with faults before SIGTERM.
const IDLE_PERIOD: Duration = Duration::from_millis(150);
const RELOAD_COUNT: u64 = 5;
/// Contained in log lines that report a broken invariant.
const VIOLATION_TEXT: &str = "invariant violated";
/// Contained in log lines that report a panic.
const PANIC_TEXT: &str = "panicked at";

/// When the faults are set, and what happens after that.
#[derive(Clone, Copy, Debug)]
pub enum Moment {
    /// Before the start.
    Start,
    /// While the process is idle. Then it is terminated.
    Idle,
    /// Under load. Then the process is terminated.
    Load,
    /// Under load, before [`RELOAD_COUNT`] reloads. Then the process is terminated.
    Reloads,
    /// Under load, before a successor starts. Then the old process is terminated, and after its exit the successor.
    Handoff,
}

/// What a play found.
pub struct PlayResult {
    pub failures: Vec<Failure>,
    pub tally: Tally,
    /// How many system calls the faults made fail.
    pub injected: u64,
    /// The logs of its processes.
    pub log: Vec<String>,
}

/// One play of a row.
pub struct Play<'a> {
    row: &'a Row,
    seed: u64,
    folder: PathBuf,
    faults: FaultControl,
    address: ReservedAddress,
    failures: Vec<Failure>,
    tally: Tally,
    log: Vec<String>,
}

impl<'a> Play<'a> {
    /// Prepares a play.
    pub fn new(row: &'a Row, moment: Moment, seed: u64) -> Play<'a> {
        let folder = state_folder(&format!("failing-calls-{moment:?}-{seed:x}"));
        Play {
            row,
            seed,
            faults: FaultControl::create(&folder),
            folder,
            address: ReservedAddress::new(true),
            failures: Vec::new(),
            tally: Tally::new(),
            log: Vec::new(),
        }
    }

    /// Runs the play, with the faults set at this moment.
    pub fn run(mut self, moment: Moment) -> PlayResult {
        if matches!(moment, Moment::Start) {
            self.faults.set(self.row);
        }
        let mut balancer = self.start_balancer(0);
        let result = balancer.wait_until_ready().and_then(|()| match moment {
            Moment::Idle => self.terminate_idle(&mut balancer),
            _ => self.run_under_load(moment, &mut balancer),
        });
        self.failures.extend(result.err());
        self.collect_log(balancer);
        let injected = self.faults.injected(self.row);
        let _ = std::fs::remove_dir_all(&self.folder);
        PlayResult {
            injected,
            failures: self.failures,
            tally: self.tally,
            log: self.log,
        }
    }

    fn start_balancer(&self, number: u64) -> PreloadedBalancer {
        let seed = self.seed * 2 + number;
        PreloadedBalancer::start(self.address.address, &self.folder, &self.faults, seed)
    }

    fn terminate_idle(&self, balancer: &mut PreloadedBalancer) -> Result<(), Failure> {
        self.faults.set(self.row);
        thread::sleep(IDLE_PERIOD);
        balancer.check_running()?;
        let terminated_at = Instant::now();
        balancer.signal(Signal::SIGTERM);
        balancer.wait_for_exit(terminated_at)
    }

    fn run_under_load(
        &mut self,
        moment: Moment,
        balancer: &mut PreloadedBalancer,
    ) -> Result<(), Failure> {
        let load = Load::start(self.address.address);
        thread::sleep(LOAD_PERIOD);
        self.faults.set(self.row);
        let result = match moment {
            Moment::Handoff => self.hand_off(&load, balancer),
            Moment::Reloads => self.reload(&load, balancer),
            _ => self.terminate(&load, balancer),
        };
        if result.is_err() {
            load.abandon();
        }
        self.tally = load.finish();
        self.check_requests();
        result
    }

    fn reload(&mut self, load: &Load, balancer: &mut PreloadedBalancer) -> Result<(), Failure> {
        for number in 1..=RELOAD_COUNT {
            balancer.reload(number)?;
        }
        self.terminate(load, balancer)
    }

    /// Hands off to a successor, which is then terminated too. The first failure ends the play.
    fn hand_off(&mut self, load: &Load, old: &mut PreloadedBalancer) -> Result<(), Failure> {
        let mut new = self.start_balancer(1);
        let result = new.wait_until_ready().and_then(|()| {
            let terminated_at = Instant::now();
            old.signal(Signal::SIGTERM);
            old.wait_for_exit(terminated_at)?;
            self.terminate(load, &mut new)
        });
        self.collect_log(new);
        result
    }

    /// Terminates the last process while clients still send requests.
    fn terminate(&mut self, load: &Load, balancer: &mut PreloadedBalancer) -> Result<(), Failure> {
        thread::sleep(LOAD_PERIOD);
        balancer.check_running()?;
        load.mark_terminated();
        let terminated_at = Instant::now();
        balancer.signal(Signal::SIGTERM);
        thread::sleep(LOAD_PERIOD);
        load.stop_connecting();
        self.failures.extend(balancer.violations_in_metrics());
        balancer.wait_for_exit(terminated_at)
    }

    fn check_requests(&mut self) {
        if !self.tally.contains_key(&RequestOutcome::Response(200)) {
            self.failures.push(Failure::NothingServed);
        }
        let wrong: Vec<Failure> = self
            .tally
            .iter()
            .filter(|(outcome, _)| !self.is_accepted(**outcome))
            .map(|(outcome, count)| Failure::WrongOutcomes(*outcome, *count))
            .collect();
        self.failures.extend(wrong);
    }

    fn is_accepted(&self, outcome: RequestOutcome) -> bool {
        match outcome {
            RequestOutcome::Response(200)
            | RequestOutcome::ClosedWhenIdle
            | RequestOutcome::RefusedLate => true,
            RequestOutcome::Response(502 | 503) => self.row.breaks_upstream_connections,
            _ => false,
        }
    }

    fn collect_log(&mut self, balancer: PreloadedBalancer) {
        let log = balancer.into_log();
        for line in &log {
            if line.contains(VIOLATION_TEXT) {
                self.failures.push(Failure::Violation(line.clone()));
            }
            if line.contains(PANIC_TEXT) {
                self.failures.push(Failure::Panic(line.clone()));
            }
        }
        self.log.extend(log);
    }
}
