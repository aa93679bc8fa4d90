//! Run-time checks of the rules that hold whatever clients, upstreams, discovery and the system do.
//!
//! One [`Guard`] is asked before an attempt starts, before its first byte is written, before a request is answered and
//! when a client's connection ends. What it denies is not done. What it finds broken is counted by [`Rule`] and logged;
//! operators read the counts among the metrics, and every count stays zero in a correct program.
use crate::telemetry::metrics::Metrics;
use balancer_core::{AttemptOutcome, Idempotency, Millis};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Most attempts for one request, whatever the settings say.
pub const ATTEMPTS_MOST: u32 = 5;
/// An answer this long after the request's deadline breaks the rule; until then it is late.
const ANSWER_OVERDUE: Duration = Duration::from_millis(500);

/// A rule that the program must never break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request has at most [`ATTEMPTS_MOST`] attempts.
    AttemptLimit,
    /// A request has one attempt in flight at a time.
    ConcurrentAttempt,
    /// What may not be repeated is sent again only after proof that it did not run.
    UnsafeRepeat,
    /// A refusal promises that nothing has run.
    RefusedAfterRun,
    /// A request has its final answer by its deadline.
    AnswerOverdue,
    /// A request that was read is answered before its connection is closed.
    ClosedUnanswered,
}

impl Rule {
    /// All rules, in the order of their counts.
    pub const ALL: [Rule; 6] = [
        Rule::AttemptLimit,
        Rule::ConcurrentAttempt,
        Rule::UnsafeRepeat,
        Rule::RefusedAfterRun,
        Rule::AnswerOverdue,
        Rule::ClosedUnanswered,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Rule::AttemptLimit => "attempt_limit",
            Rule::ConcurrentAttempt => "concurrent_attempt",
            Rule::UnsafeRepeat => "unsafe_repeat",
            Rule::RefusedAfterRun => "refused_after_run",
            Rule::AnswerOverdue => "answer_overdue",
            Rule::ClosedUnanswered => "closed_unanswered",
        }
    }
}

/// Why a request was not written though an attempt had been started: a race that the guard decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The upstream drains, is gone or suspended, and its grace is over.
    EndpointClosed,
    /// The attempt's time is over.
    Expired,
    /// The request has ended.
    RequestEnded,
    /// The client has left.
    ClientLeft,
}

impl Denial {
    /// All reasons, in the order of their counts.
    pub const ALL: [Denial; 4] = [
        Denial::EndpointClosed,
        Denial::Expired,
        Denial::RequestEnded,
        Denial::ClientLeft,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Denial::EndpointClosed => "endpoint_closed",
            Denial::Expired => "expired",
            Denial::RequestEnded => "request_ended",
            Denial::ClientLeft => "client_left",
        }
    }
}

/// What has been attempted for one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    effect: Idempotency,
    started: u32,
    in_flight: u32,
    /// When the first attempt started that may have run.
    first_run: Option<Instant>,
}

impl AttemptHistory {
    /// No attempt yet of a request of this effect.
    pub fn new(effect: Idempotency) -> AttemptHistory {
        AttemptHistory {
            effect,
            started: 0,
            in_flight: 0,
            first_run: None,
        }
    }

    /// How many attempts are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// How many attempts were started.
    pub fn started(&self) -> u32 {
        self.started
    }

    fn start(&mut self) {
        self.started += 1;
        self.in_flight += 1;
    }

    /// An attempt that started at `started` has ended; `never_ran` is proof that it has not run.
    pub fn end(&mut self, started: Instant, never_ran: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !never_ran {
            self.first_run.get_or_insert(started);
        }
    }

    /// The rule that another attempt would break now.
    fn broken_by_start(&self, now: Instant) -> Option<Rule> {
        if self.started >= ATTEMPTS_MOST {
            return Some(Rule::AttemptLimit);
        }
        if self.in_flight > 0 {
            return Some(Rule::ConcurrentAttempt);
        }
        let ran = self.first_run?;
        let repeatable = match self.effect {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window, .. } => {
                now - ran < Duration::from_secs_f64(window.max(0.0) / 1000.0)
            }
            Idempotency::NonIdempotent => false,
        };
        (!repeatable).then_some(Rule::UnsafeRepeat)
    }

    /// Whether a refusal would break its promise: what may not be repeated may have run.
    fn broken_by_refusal(&self) -> bool {
        self.effect == Idempotency::NonIdempotent && self.first_run.is_some()
    }
}

/// Whether the end of an attempt proves that it has not run.
pub fn never_ran(outcome: AttemptOutcome, rejects_after_start: bool) -> bool {
    outcome.never_ran() && !(outcome == AttemptOutcome::Rejected && rejects_after_start)
}

/// The state of the world in the moment in which a request would be written.
#[derive(Clone, Copy, Debug)]
pub struct WriteConditions {
    /// The upstream takes nothing new any more.
    pub endpoint_closed: bool,
    /// The attempt's time is over.
    pub expired: bool,
    /// The request has ended.
    pub request_ended: bool,
    /// The client has left.
    pub client_left: bool,
}

impl WriteConditions {
    /// Why nothing may be written, if so.
    pub fn denial(self) -> Option<Denial> {
        [
            (self.endpoint_closed, Denial::EndpointClosed),
            (self.expired, Denial::Expired),
            (self.request_ended, Denial::RequestEnded),
            (self.client_left, Denial::ClientLeft),
        ]
        .into_iter()
        .find_map(|(holds, denial)| holds.then_some(denial))
    }
}

/// Counts of what was broken and of what was denied.
#[derive(Default)]
pub struct GuardCounts {
    violations: [Cell<u64>; Rule::ALL.len()],
    denials: [Cell<u64>; Denial::ALL.len()],
}

impl GuardCounts {
    /// Each rule with how often it was broken.
    pub fn violations(&self) -> impl Iterator<Item = (Rule, u64)> + '_ {
        Rule::ALL
            .into_iter()
            .zip(self.violations.iter().map(Cell::get))
    }

    /// Each reason with how many writes it denied.
    pub fn denials(&self) -> impl Iterator<Item = (Denial, u64)> + '_ {
        Denial::ALL
            .into_iter()
            .zip(self.denials.iter().map(Cell::get))
    }
}

/// Decides whether attempts start and requests are written, and counts what is broken.
#[derive(Clone)]
pub struct Guard(Rc<Metrics>);

impl Guard {
    /// A guard that counts in these metrics.
    pub fn new(metrics: Rc<Metrics>) -> Guard {
        Guard(metrics)
    }

    /// Starts an attempt, unless it would break a rule.
    pub fn start(&self, history: &mut AttemptHistory, request: &str) -> Result<(), Rule> {
        if let Some(rule) = history.broken_by_start(Instant::now()) {
            self.broken(rule, request);
            return Err(rule);
        }
        history.start();
        Ok(())
    }

    /// Whether a request may be written now.
    pub fn write(&self, conditions: WriteConditions) -> Result<(), Denial> {
        let Some(denial) = conditions.denial() else {
            return Ok(());
        };
        let count = &self.0.guard().denials[denial as usize];
        count.set(count.get().wrapping_add(1));
        tracing::debug!(reason = denial.name(), "write denied");
        Err(denial)
    }

    /// Whether a request with this history may be refused; else it has to be answered as failed.
    pub fn refuse(&self, history: &AttemptHistory, request: &str) -> bool {
        let broken = history.broken_by_refusal();
        if broken {
            self.broken(Rule::RefusedAfterRun, request);
        }
        !broken
    }

    /// A request is answered now whose deadline was `late` ago (negative: is still to come).
    pub fn answer(&self, late: Millis, request: &str) {
        if late > ANSWER_OVERDUE.as_secs_f64() * 1000.0 {
            self.broken(Rule::AnswerOverdue, request);
        }
    }

    /// A client's connection was closed on this side while a request on it was owed its answer.
    pub fn closed_unanswered(&self, request: &str) {
        self.broken(Rule::ClosedUnanswered, request);
    }

    fn broken(&self, rule: Rule, request: &str) {
        let count = &self.0.guard().violations[rule as usize];
        count.set(count.get().wrapping_add(1));
        eprintln!("invariant violated: {}: request {request}", rule.name());
    }
}

#[cfg(test)]
mod tests;
