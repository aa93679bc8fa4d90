//! What happened in a run, as seen from outside the balancers, and which rules it breaks.
//!
//! Stand-ins record what they sent and received and when; [`Oracle::check`] judges once the run is over.
use crate::trouble::SUSPENSIONS;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What a balancer or the machine may be held up between two steps, added to every limit.
const SLACK: Duration = Duration::from_millis(60);
/// A final answer may come this long after the deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client has left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// The time told to an upstream may exceed what the client has left by this.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// An earlier attempt's connection is seen to end this long after the next one begins, at the latest.
const OVERLAP_SLACK: Duration = Duration::from_millis(100);
/// Most attempts for one request.
const ATTEMPTS_MOST: usize = 5;

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Free,
    /// Upstreams discard repeats that come within a window.
    Guarded,
    /// Must not run twice.
    SingleShot,
}

/// A rule that a run broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was read has no final answer in time.
    Lost,
    /// What may not be repeated ran, or may have run, more than once.
    Duplicate,
    /// Two attempts in flight at once.
    Concurrent,
    /// More attempts than allowed.
    TooManyAttempts,
    /// Sent to an upstream that drains or is gone.
    Drain,
    /// An attempt began after its client had left.
    ClientLeft,
    /// An upstream was told more time than the client has left.
    DeadlineTold,
    /// A refusal promised that nothing ran, but an attempt may have.
    FalseRefusal,
    /// A wrong answer: what no upstream made for the request.
    WrongAnswer,
    /// An upstream in slow start got more than its budget.
    SlowStart,
    /// A balancer ended or failed to start.
    Crash,
    /// A balancer was not ready in time.
    NotReady,
    /// A balancer's own checks counted a violation.
    OwnCheck,
    /// An order that was acknowledged by a balancer is not in force.
    OrderLost,
}

/// One broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, since the run began.
    pub at: Duration,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:8.3} s {:?}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.what
        )
    }
}

/// How an attempt ended, as its upstream knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It was answered as served.
    Served,
    /// It was answered as declined, with the mark that it never ran.
    Declined,
    /// It was answered as failed.
    Failed,
    /// Its connection was reset or closed by the upstream.
    Reset,
    /// Its balancer closed the connection.
    GivenUp,
}

/// One attempt at one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream's number.
    pub upstream: usize,
    /// When its first byte came.
    pub begun: Instant,
    /// When its last byte came; none if that never came.
    pub whole: Option<Instant>,
    /// What it told of the time that is left.
    pub told: Option<Duration>,
    /// How and when it ended.
    pub end: Option<(AttemptEnd, Instant)>,
}

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEnd {
    /// A whole answer with this status.
    Answered(u16),
    /// An answer that began and did not come whole.
    BrokenOff,
    /// The connection ended without a byte of an answer.
    Closed,
    /// The client gave up.
    Left,
    /// The client waited to the end of its patience and beyond.
    NoAnswer,
}

#[derive(Clone, Debug)]
struct Request {
    effect: Effect,
    balancer: usize,
    /// When its last byte was written, or its first one while that is not so.
    sent: Instant,
    deadline: Duration,
    answer_within: Duration,
    /// On a connection that has carried no request before.
    new_connection: bool,
    /// Whether the client sends exactly this much on this connection and then waits.
    plain: bool,
    end: Option<(ClientEnd, Instant)>,
    attempts: Vec<Attempt>,
}

/// What a list says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Takes new work.
    Active,
    /// Drains or is gone.
    Closed,
}

/// From when on nothing new may be sent somewhere, and until when.
type ClosedSpan = (Instant, Option<Instant>);

#[derive(Default)]
struct State {
    requests: HashMap<String, Request>,
    /// For each balancer and upstream: from when on nothing new may be sent, and until when.
    closed: HashMap<(usize, usize), Vec<ClosedSpan>>,
    /// Times in which a balancer was being killed or not running: what happens there is no fault of its.
    down: HashMap<usize, Vec<(Instant, Instant)>>,
    /// Times in which idle clients filled a balancer's descriptors: it may shut new connections unread.
    crowded: HashMap<usize, Vec<(Instant, Instant)>>,
    /// Times of attempts at each upstream in slow start, by upstream: when it started.
    started: HashMap<usize, Vec<Instant>>,
    violations: Vec<Violation>,
}

/// The limits that the settings of a run state.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Nothing new goes to an upstream this long after it is known to drain.
    pub drain_grace: Duration,
    /// Upstreams discard repeats for this long.
    pub repeat_window: Duration,
    /// Calls that an upstream in slow start may get in [`SlowStart::fall`], at an age.
    pub slow_start: SlowStart,
}

/// The budget of upstreams in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Calls a second that a warm upstream can take.
    pub capacity_per_second: f64,
    /// The share that it starts with.
    pub cold_from: f64,
    /// How long it stays in slow start.
    pub ramp: Duration,
    /// It falls when it gets this many times what it can do.
    pub tip_multiple: f64,
    /// Within this time.
    pub fall: Duration,
}

impl SlowStart {
    /// The calls that an upstream of this age may get in one window.
    fn allowed(&self, age: Duration) -> f64 {
        let share =
            self.cold_from + (1.0 - self.cold_from) * age.as_secs_f64() / self.ramp.as_secs_f64();
        let n =
            self.capacity_per_second * share.min(1.0) * self.tip_multiple * self.fall.as_secs_f64();
        let (factor, more) = if n < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        n + factor * n.sqrt() + more
    }
}

/// Records a run and judges it.
pub struct Oracle {
    began: Instant,
    limits: Limits,
    state: Mutex<State>,
}

/// A count of each way in which requests ended.
pub type Tally = BTreeMap<String, usize>;

impl Oracle {
    /// A run that begins now.
    pub fn new(limits: Limits) -> Oracle {
        Oracle {
            began: Instant::now(),
            limits,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long the run has lasted.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Records a broken rule that was seen at once.
    pub fn violated(&self, rule: Rule, what: String) {
        let at = self.began.elapsed();
        self.state().violations.push(Violation { rule, at, what });
    }

    /// A request is about to be sent.
    pub fn request(&self, id: &str, new: RequestStart) {
        let RequestStart {
            effect,
            balancer,
            deadline,
            answer_within,
            new_connection,
            plain,
        } = new;
        let sent = Instant::now();
        let (end, attempts) = (None, Vec::new());
        let request = Request {
            effect,
            balancer,
            sent,
            deadline,
            answer_within,
            new_connection,
            plain,
            end,
            attempts,
        };
        self.state().requests.insert(id.to_string(), request);
    }

    /// A request's last byte has been written.
    pub fn sent(&self, id: &str) {
        if let Some(request) = self.state().requests.get_mut(id) {
            request.sent = Instant::now();
        }
    }

    /// A request has ended at its client.
    pub fn ended(&self, id: &str, end: ClientEnd) {
        if let Some(request) = self.state().requests.get_mut(id) {
            request.end.get_or_insert((end, Instant::now()));
        }
    }

    /// An attempt has begun at an upstream; its number is for [`Oracle::attempt_whole`] and [`Oracle::attempt_ended`].
    pub fn attempt(
        &self,
        id: &str,
        upstream: usize,
        begun: Instant,
        told: Option<Duration>,
    ) -> Option<usize> {
        let mut state = self.state();
        let request = state.requests.get_mut(id)?;
        request.attempts.push(Attempt {
            upstream,
            begun,
            whole: None,
            told,
            end: None,
        });
        Some(request.attempts.len() - 1)
    }

    /// An attempt's last byte has come.
    pub fn attempt_whole(&self, id: &str, number: usize) {
        let mut state = self.state();
        let attempt = state
            .requests
            .get_mut(id)
            .and_then(|request| request.attempts.get_mut(number));
        if let Some(attempt) = attempt {
            attempt.whole = Some(Instant::now());
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, id: &str, number: usize, end: AttemptEnd) {
        let mut state = self.state();
        let attempt = state
            .requests
            .get_mut(id)
            .and_then(|request| request.attempts.get_mut(number));
        if let Some(attempt) = attempt {
            attempt.end.get_or_insert((end, Instant::now()));
        }
    }

    /// From `told` on this balancer counts as knowing what a list says of an upstream.
    pub fn told(&self, balancer: usize, upstream: usize, listed: Listed, told: Instant) {
        let mut state = self.state();
        let spans = state.closed.entry((balancer, upstream)).or_default();
        match listed {
            Listed::Active => {
                for span in spans.iter_mut().filter(|span| span.1.is_none()) {
                    span.1 = Some(told);
                }
            }
            Listed::Closed => match spans.iter_mut().find(|span| span.1.is_none()) {
                Some(span) => span.0 = span.0.min(told),
                None => spans.push((told, None)),
            },
        }
    }

    /// A balancer did not run, or was being killed, from then on until now.
    pub fn was_down(&self, balancer: usize, from: Instant) {
        self.state()
            .down
            .entry(balancer)
            .or_default()
            .push((from, Instant::now()));
    }

    /// Idle clients filled a balancer's descriptors from then on until now.
    pub fn was_crowded(&self, balancer: usize, from: Instant) {
        self.state()
            .crowded
            .entry(balancer)
            .or_default()
            .push((from, Instant::now()));
    }

    /// An upstream starts now, cold.
    pub fn upstream_started(&self, upstream: usize) {
        self.state()
            .started
            .entry(upstream)
            .or_default()
            .push(Instant::now());
    }

    /// Everything that the run broke, in order of time, and how requests ended.
    pub fn check(&self) -> (Vec<Violation>, Tally) {
        let state = self.state();
        let mut judge = Judge {
            oracle: self,
            state: &state,
            found: state.violations.clone(),
        };
        let mut tally = Tally::new();
        for (id, request) in &state.requests {
            judge.request(id, request);
            let end = request
                .end
                .as_ref()
                .map_or("open".to_string(), |(end, _)| format!("{end:?}"));
            *tally.entry(end).or_default() += 1;
        }
        judge.slow_starts();
        judge.found.sort_by_key(|violation| violation.at);
        (judge.found, tally)
    }
}

/// What is known of a request before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestStart {
    /// What a repeat may do.
    pub effect: Effect,
    /// To which balancer it goes.
    pub balancer: usize,
    /// How long its client waits.
    pub deadline: Duration,
    /// When its answer can be there at the latest: answers come in the order of the requests on a connection.
    pub answer_within: Duration,
    /// Whether its connection has carried no request before.
    pub new_connection: bool,
    /// Whether its client keeps to the form of the protocol.
    pub plain: bool,
}

struct Judge<'a> {
    oracle: &'a Oracle,
    state: &'a State,
    found: Vec<Violation>,
}

impl Judge<'_> {
    fn broken(&mut self, rule: Rule, at: Instant, what: String) {
        let at = at.saturating_duration_since(self.oracle.began);
        self.found.push(Violation { rule, at, what });
    }

    fn since(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.oracle.began)
            .as_secs_f64()
    }

    /// Whether the balancer was down or being killed at any time in this span.
    fn was_down(&self, balancer: usize, from: Instant, to: Instant) -> bool {
        overlaps(self.state.down.get(&balancer), from, to)
    }

    fn request(&mut self, id: &str, request: &Request) {
        self.answer(id, request);
        self.attempts(id, request);
    }

    fn answer(&mut self, id: &str, request: &Request) {
        let due = request.sent + request.answer_within + ANSWER_SLACK + SLACK;
        let Some((end, at)) = &request.end else {
            return;
        };
        let excused =
            !request.plain || self.was_down(request.balancer, request.sent, (*at).max(due));
        let about = format!(
            "{id} at balancer {}, sent {:.3}, deadline {:?}, ended {end:?} after {:?}, attempts {:?}",
            request.balancer,
            self.since(request.sent),
            request.deadline,
            *at - request.sent,
            request
                .attempts
                .iter()
                .map(|a| (a.upstream, self.since(a.begun), a.end.map(|(end, at)| (end, self.since(at)))))
                .collect::<Vec<_>>()
        );
        match end {
            ClientEnd::Left => {}
            _ if excused => {}
            ClientEnd::NoAnswer => self.broken(Rule::Lost, *at, about),
            // On a connection that was used before, the close may have crossed the request.
            ClientEnd::Closed
                if request.attempts.is_empty()
                    && overlaps(self.state.crowded.get(&request.balancer), request.sent, *at) => {}
            ClientEnd::Closed if request.new_connection || !request.attempts.is_empty() => {
                self.broken(Rule::Lost, *at, about)
            }
            ClientEnd::Closed => {}
            ClientEnd::Answered(_) | ClientEnd::BrokenOff if *at > due => {
                self.broken(Rule::Lost, *at, about)
            }
            ClientEnd::Answered(429 | 503) if request.effect == Effect::SingleShot => {
                let may_have_run = |attempt: &&Attempt| {
                    attempt.whole.is_some()
                        && !matches!(attempt.end, Some((AttemptEnd::Declined, _)))
                };
                if request
                    .attempts
                    .iter()
                    .any(|attempt| may_have_run(&attempt))
                {
                    self.broken(Rule::FalseRefusal, *at, about);
                }
            }
            ClientEnd::Answered(_) | ClientEnd::BrokenOff => {}
        }
    }

    fn attempts(&mut self, id: &str, request: &Request) {
        let limits = self.oracle.limits;
        if request.attempts.len() > ATTEMPTS_MOST {
            let last = request.attempts[request.attempts.len() - 1].begun;
            self.broken(
                Rule::TooManyAttempts,
                last,
                format!("{id}: {} attempts", request.attempts.len()),
            );
        }
        let mut ran: Option<Instant> = None;
        for (number, attempt) in request.attempts.iter().enumerate() {
            self.drained(id, request, attempt);
            if let Some((ClientEnd::Left, left)) = request.end {
                if attempt.begun > left + LEFT_SLACK + SLACK {
                    let late = attempt.begun - left;
                    self.broken(
                        Rule::ClientLeft,
                        attempt.begun,
                        format!("{id}: attempt {number} begins {late:?} late"),
                    );
                }
            }
            if let Some(told) = attempt.told {
                let left =
                    (request.sent + request.deadline).saturating_duration_since(attempt.begun);
                if told > left + DEADLINE_SLACK + SLACK {
                    let what = format!(
                        "{id}: attempt {number} told {told:?} of {left:?}, sent {:.3}",
                        self.since(request.sent)
                    );
                    self.broken(Rule::DeadlineTold, attempt.begun, what);
                }
            }
            if let Some(earlier) = number
                .checked_sub(1)
                .map(|earlier| &request.attempts[earlier])
            {
                let ended = earlier.end.map(|(_, at)| at);
                if ended.is_none_or(|at| at > attempt.begun + OVERLAP_SLACK) {
                    self.broken(
                        Rule::Concurrent,
                        attempt.begun,
                        format!("{id}: attempt {number} beside an earlier one, {ended:?}"),
                    );
                }
            }
            if let Some(first) = ran {
                let legal = match request.effect {
                    Effect::Free => true,
                    Effect::Guarded => attempt.begun < first + limits.repeat_window + SLACK,
                    Effect::SingleShot => attempt.whole.is_none(),
                };
                if !legal {
                    self.broken(
                        Rule::Duplicate,
                        attempt.begun,
                        format!(
                            "{id}: attempt {number} may run again: {:?}",
                            request.attempts
                        ),
                    );
                }
            }
            let may_have_run =
                attempt.whole.is_some() && !matches!(attempt.end, Some((AttemptEnd::Declined, _)));
            if may_have_run {
                ran.get_or_insert(attempt.begun);
            }
        }
    }

    fn drained(&mut self, id: &str, request: &Request, attempt: &Attempt) {
        for upstream in [attempt.upstream, SUSPENSIONS + attempt.upstream] {
            self.sent_to_closed(id, request, attempt, upstream);
        }
    }

    fn sent_to_closed(&mut self, id: &str, request: &Request, attempt: &Attempt, upstream: usize) {
        let Some(spans) = self.state.closed.get(&(request.balancer, upstream)) else {
            return;
        };
        let grace = self.oracle.limits.drain_grace + SLACK;
        let broken = spans.iter().find(|(told, until)| {
            attempt.begun > *told + grace && until.is_none_or(|until| attempt.begun < until)
        });
        if let Some(&(told, _)) = broken {
            let what = format!(
                "{id}: balancer {} sent to upstream {} {:?} after it counted as told",
                request.balancer,
                upstream,
                attempt.begun - told
            );
            self.broken(Rule::Drain, attempt.begun, what);
        }
    }

    fn slow_starts(&mut self) {
        let slow_start = self.oracle.limits.slow_start;
        let mut calls: HashMap<usize, Vec<Instant>> = HashMap::new();
        for request in self.state.requests.values() {
            for attempt in request
                .attempts
                .iter()
                .filter(|attempt| attempt.whole.is_some())
            {
                calls
                    .entry(attempt.upstream)
                    .or_default()
                    .push(attempt.begun);
            }
        }
        for (upstream, starts) in &self.state.started {
            let Some(calls) = calls.get_mut(upstream) else {
                continue;
            };
            calls.sort_unstable();
            for &start in starts {
                if let Some((at, count, allowed)) = overload(calls, start, &slow_start) {
                    let what = format!(
                        "upstream {upstream}: {count} calls in a window that allows {allowed:.1}"
                    );
                    self.broken(Rule::SlowStart, at, what);
                }
            }
        }
    }
}

/// Whether one of these times overlaps a span.
fn overlaps(times: Option<&Vec<(Instant, Instant)>>, from: Instant, to: Instant) -> bool {
    times.is_some_and(|times| times.iter().any(|&(start, end)| start <= to && end >= from))
}

/// The first window in which an upstream that started at `start` got more calls than it may: when, and how many.
fn overload(
    calls: &[Instant],
    start: Instant,
    slow_start: &SlowStart,
) -> Option<(Instant, usize, f64)> {
    let mut first = 0;
    for (index, &at) in calls.iter().enumerate() {
        let Some(age) = at.checked_duration_since(start) else {
            continue;
        };
        if age > slow_start.ramp {
            return None;
        }
        while calls[first] + slow_start.fall < at || calls[first] < start {
            first += 1;
        }
        let count = index + 1 - first;
        let allowed = slow_start.allowed(age);
        if count as f64 > allowed {
            return Some((at, count, allowed));
        }
    }
    None
}

#[cfg(test)]
mod tests;
