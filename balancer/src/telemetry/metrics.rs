//! The metrics that operators fetch: counted once, where an event is final, from the start of the process.
use crate::telemetry::guard_counts::GuardCounts;
use balancer_core::EndpointCounts;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Refused: another try does no harm.
    Shed,
    /// Failed.
    Errors,
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, an answer said that it ends, or it broke.
    Finished,
    /// Its client sent what is no request, and was told so.
    Malformed,
    /// Its client was waited for long enough.
    Overdue,
    /// It was idle, and a new connection needed its place.
    MakesWay,
    /// The program ends, or clients are sent away.
    Shutdown,
}

impl CloseReason {
    /// All reasons, in the order of their counts.
    pub const ALL: [CloseReason; 5] = [
        CloseReason::Finished,
        CloseReason::Malformed,
        CloseReason::Overdue,
        CloseReason::MakesWay,
        CloseReason::Shutdown,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Finished => "finished",
            CloseReason::Malformed => "malformed",
            CloseReason::Overdue => "overdue",
            CloseReason::MakesWay => "makes_way",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

/// Counts of one class, by [`Outcome`].
struct Class {
    /// Its name as a label's value.
    label: String,
    ended: [Cell<u64>; 3],
}

/// All counts of this process.
pub struct Metrics {
    classes: Vec<Class>,
    /// Attempts written whole to upstreams.
    tries: Rc<Cell<u64>>,
    /// Configurations read again and followed, and those that could not be read.
    reloads: [Cell<u64>; 2],
    /// Rules that were broken, and writes that were denied.
    guard: GuardCounts,
    /// Clients' connections that were closed, by reason.
    closed: [Cell<u64>; CloseReason::ALL.len()],
}

/// The names of the outcomes, in the order of [`Outcome`].
const ENDED: [&str; 3] = ["ok", "shed", "errors"];

impl Metrics {
    /// Counts for these classes, all at zero.
    pub fn new(classes: &[String]) -> Rc<Metrics> {
        let class = |name: &String| Class {
            label: escaped(name),
            ended: Default::default(),
        };
        let classes = classes.iter().map(class).collect();
        let (tries, reloads, guard, closed) = Default::default();
        Rc::new(Metrics {
            classes,
            tries,
            reloads,
            guard,
            closed,
        })
    }

    /// The count of attempts written whole, for those who write them.
    pub fn attempts(&self) -> Rc<Cell<u64>> {
        self.tries.clone()
    }

    /// The counts of the guard.
    pub fn guard(&self) -> &GuardCounts {
        &self.guard
    }

    /// Counts a client's connection as closed.
    pub fn record_connection_closed(&self, reason: CloseReason) {
        bump(&self.closed[reason as usize]);
    }

    /// Counts a request as ended that was never taken.
    pub fn record_completed(&self, class: usize, outcome: Outcome) {
        if let Some(class) = self.classes.get(class) {
            bump(&class.ended[outcome as usize]);
        }
    }

    /// Counts a configuration that was read again, and whether it is followed.
    pub fn record_reload(&self, followed: bool) {
        bump(&self.reloads[usize::from(!followed)]);
    }

    /// The metrics as operators read them, with how many requests are active, and upstreams listed and avoided.
    pub fn text(&self, active: usize, endpoints: EndpointCounts) -> String {
        let mut text = String::new();
        let mut line = |figure: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "node_{figure} {value}");
        };
        for (outcome, name) in ENDED.iter().enumerate() {
            for class in &self.classes {
                line(
                    &format!("{name}{{kind=\"{}\"}}", class.label),
                    class.ended[outcome].get(),
                );
            }
        }
        line("tries", self.tries.get());
        line("active", active as u64);
        line("pool_size", endpoints.listed as u64);
        line("pool_ejected", endpoints.avoided as u64);
        line("config_applied", self.reloads[0].get());
        line("config_rejected", self.reloads[1].get());
        for (rule, count) in self.guard.violations() {
            line(&format!("violations{{rule=\"{}\"}}", rule.name()), count);
        }
        for (reason, count) in self.guard.denials() {
            line(
                &format!("writes_denied{{reason=\"{}\"}}", reason.name()),
                count,
            );
        }
        for (reason, count) in CloseReason::ALL.iter().zip(&self.closed) {
            line(
                &format!("connections_closed{{reason=\"{}\"}}", reason.name()),
                count.get(),
            );
        }
        text
    }
}

/// A request that was taken. It ends when this is dropped; without an outcome by then its client is gone.
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: usize,
    outcome: Cell<Option<Outcome>>,
}

impl InFlightRequest {
    /// A request of this class.
    pub fn new(metrics: &Rc<Metrics>, class: usize) -> InFlightRequest {
        InFlightRequest {
            metrics: metrics.clone(),
            class,
            outcome: Cell::new(None),
        }
    }

    /// Notes how the request ends; the last word counts.
    pub fn ends(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.get() {
            self.metrics.record_completed(self.class, outcome);
        }
    }
}

fn bump(count: &Cell<u64>) {
    count.set(count.get().wrapping_add(1));
}

/// A label's value as it stands between quotes.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_counts_once_as_it_ended() {
        let metrics = Metrics::new(&["read".into(), "odd \"\\\n".into()]);
        let (served, gone) = (
            InFlightRequest::new(&metrics, 0),
            InFlightRequest::new(&metrics, 1),
        );
        served.ends(Outcome::Ok);
        assert!(
            metrics
                .text(
                    2,
                    EndpointCounts {
                        listed: 4,
                        avoided: 1
                    }
                )
                .contains("node_ok{kind=\"read\"} 0\n"),
            "not before its end"
        );
        served.ends(Outcome::Errors);
        drop((served, gone));
        metrics.record_completed(1, Outcome::Shed);
        metrics.attempts().set(7);
        metrics.record_reload(false);
        metrics.record_connection_closed(CloseReason::Overdue);
        let wanted = [
            "node_ok{kind=\"read\"} 0",
            "node_ok{kind=\"odd \\\"\\\\\\n\"} 0",
            "node_shed{kind=\"read\"} 0",
            "node_shed{kind=\"odd \\\"\\\\\\n\"} 1",
            "node_errors{kind=\"read\"} 1",
            "node_errors{kind=\"odd \\\"\\\\\\n\"} 0",
            "node_tries 7",
            "node_active 2",
            "node_pool_size 4",
            "node_pool_ejected 1",
            "node_config_applied 0",
            "node_config_rejected 1",
            "node_violations{rule=\"attempt_limit\"} 0",
            "node_violations{rule=\"concurrent_attempt\"} 0",
            "node_violations{rule=\"unsafe_repeat\"} 0",
            "node_violations{rule=\"refused_after_run\"} 0",
            "node_violations{rule=\"answer_overdue\"} 0",
            "node_violations{rule=\"closed_unanswered\"} 0",
            "node_writes_denied{reason=\"endpoint_closed\"} 0",
            "node_writes_denied{reason=\"expired\"} 0",
            "node_writes_denied{reason=\"request_ended\"} 0",
            "node_writes_denied{reason=\"client_left\"} 0",
            "node_connections_closed{reason=\"finished\"} 0",
            "node_connections_closed{reason=\"malformed\"} 0",
            "node_connections_closed{reason=\"overdue\"} 1",
            "node_connections_closed{reason=\"makes_way\"} 0",
            "node_connections_closed{reason=\"shutdown\"} 0",
        ];
        assert_eq!(
            metrics
                .text(
                    2,
                    EndpointCounts {
                        listed: 4,
                        avoided: 1
                    }
                )
                .lines()
                .collect::<Vec<_>>(),
            wanted
        );
    }
}
