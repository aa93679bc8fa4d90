//! Counts of what the guard found: invariants that were violated, and writes that were denied.
use std::cell::Cell;

/// An invariant of the program, named `rule` in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request has a limited number of attempts.
    AttemptLimit,
    /// A request has one attempt in flight at a time.
    ConcurrentAttempt,
    /// A request that is not idempotent is sent again only after proof that it did not run.
    UnsafeRepeat,
    /// A request that is not idempotent is not rejected after it may have run: a rejection promises
    /// that it has not run.
    RejectedAfterRun,
    /// A request has its final response at most 500 ms after its deadline.
    ResponseOverdue,
    /// A request that was read is answered before its connection is closed.
    ClosedUnanswered,
}

impl Rule {
    /// All rules, in the order of their counts.
    pub const ALL: [Rule; 6] = [
        Rule::AttemptLimit,
        Rule::ConcurrentAttempt,
        Rule::UnsafeRepeat,
        Rule::RejectedAfterRun,
        Rule::ResponseOverdue,
        Rule::ClosedUnanswered,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Rule::AttemptLimit => "attempt_limit",
            Rule::ConcurrentAttempt => "concurrent_attempt",
            Rule::UnsafeRepeat => "unsafe_repeat",
            Rule::RejectedAfterRun => "refused_after_run",
            Rule::ResponseOverdue => "answer_overdue",
            Rule::ClosedUnanswered => "closed_unanswered",
        }
    }
}

/// Why a request was not written although its attempt had started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDenial {
    /// The upstream drains, is gone or suspended, and its grace period is over.
    EndpointClosed,
    /// The attempt's time is over.
    Expired,
    /// The request has ended.
    RequestEnded,
    /// The client has disconnected.
    ClientDisconnected,
}

impl WriteDenial {
    /// All reasons, in the order of their counts.
    pub const ALL: [WriteDenial; 4] = [
        WriteDenial::EndpointClosed,
        WriteDenial::Expired,
        WriteDenial::RequestEnded,
        WriteDenial::ClientDisconnected,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            WriteDenial::EndpointClosed => "endpoint_closed",
            WriteDenial::Expired => "expired",
            WriteDenial::RequestEnded => "request_ended",
            WriteDenial::ClientDisconnected => "client_left",
        }
    }
}

/// Counts of violations and of denied writes.
#[derive(Default)]
pub struct GuardCounts {
    violations: [Cell<u64>; Rule::ALL.len()],
    denials: [Cell<u64>; WriteDenial::ALL.len()],
}

impl GuardCounts {
    /// Counts a violation of a rule.
    pub fn record_violation(&self, rule: Rule) {
        increment(&self.violations[rule as usize]);
    }

    /// Counts a denied write.
    pub fn record_denial(&self, denial: WriteDenial) {
        increment(&self.denials[denial as usize]);
    }

    /// Each rule with the number of its violations.
    pub fn violations(&self) -> impl Iterator<Item = (Rule, u64)> + '_ {
        Rule::ALL
            .into_iter()
            .zip(self.violations.iter().map(Cell::get))
    }

    /// Each reason with the number of writes denied for it.
    pub fn denials(&self) -> impl Iterator<Item = (WriteDenial, u64)> + '_ {
        WriteDenial::ALL
            .into_iter()
            .zip(self.denials.iter().map(Cell::get))
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get().wrapping_add(1));
}
