//! The rules that a run checks, and the violations that it reports.
use std::fmt;
use std::time::Duration;

/// A rule that balancers must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that a balancer read gets a final response in time.
    LostRequest,
    /// A request does not run twice, unless it may be repeated.
    DuplicateExecution,
    /// A request has at most one attempt in flight.
    ConcurrentAttempts,
    /// A request has no more attempts than the settings allow.
    TooManyAttempts,
    /// A balancer sends nothing to an upstream that drains, was removed or is suspended.
    UnavailableUpstream,
    /// No attempt starts after its client has disconnected.
    AttemptAfterDisconnect,
    /// An upstream is not given more time than the client has left.
    ForwardedDeadline,
    /// A response that promises that nothing ran follows no attempt that may have run.
    FalseRejection,
    /// A client gets the response that an upstream made for its request.
    WrongResponse,
    /// An upstream that warms up gets no more requests than it can serve.
    SlowStartExceeded,
    /// A balancer starts, and exits only when it is asked to.
    Crash,
    /// A balancer is ready in time.
    NotReady,
    /// A balancer counts no violation of its own invariants.
    SelfCheck,
}

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Duration,
    /// Describes the observation.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:8.3} s {:?}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.details
        )
    }
}
