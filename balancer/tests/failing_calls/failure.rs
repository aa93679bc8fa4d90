//! What a play finds wrong.
use crate::load::RequestOutcome;
use std::process::ExitStatus;
use std::time::Duration;

/// Something that must not happen in a play.
#[derive(Debug)]
#[allow(dead_code, reason = "the fields are printed")]
pub enum Failure {
    /// The process did not become ready in time.
    NotReady,
    /// The process exited before it was told to.
    ExitedEarly(ExitStatus),
    /// The process did not exit with code 0.
    ExitedWithError(ExitStatus),
    /// The process still ran when it would have been killed, this long after SIGTERM.
    StillRunning(Duration),
    /// This many requests ended in this way, which the row does not allow.
    WrongOutcomes(RequestOutcome, usize),
    /// No request was answered.
    NothingServed,
    /// The reload with this number was not applied in time.
    ReloadNotApplied(u64),
    /// The process reported that it broke an invariant.
    Violation(String),
    /// A thread panicked. This counts even if the process runs on: a second panic while the first one unwinds ends it.
    Panic(String),
}
