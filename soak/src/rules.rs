//! The rules that a run checks, and the violations that it reports.
use std::fmt;
use std::time::Duration;

/// A rule that balancers must follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that a balancer read gets a final response in time.
    LostRequest,
    /// A request is not executed twice, unless it may be repeated.
    DuplicateExecution,
    /// A request has at most one attempt in flight.
    ConcurrentAttempts,
    /// A request has no more attempts than the settings allow.
    TooManyAttempts,
    /// A balancer sends nothing to an upstream that drains, was removed or is suspended.
    UnavailableUpstream,
    /// No attempt starts after its client has disconnected.
    AttemptAfterDisconnect,
    /// An upstream gets no deadline later than the client's.
    ForwardedDeadline,
    /// A response states that a request was not executed only if no attempt may have executed it.
    FalseRejection,
    /// A client gets only the response to its own request, and an upstream only requests that a client has sent.
    WrongResponse,
    /// An upstream in slow start gets no more requests than it can serve.
    SlowStartExceeded,
    /// A balancer starts, exits only when it is asked to, and then exits in time and without an error.
    Crash,
    /// A balancer is ready in time.
    NotReady,
    /// A balancer does not use more memory than its configuration allows.
    MemoryLimit,
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
    /// What was observed.
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
