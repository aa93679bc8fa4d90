//! The metrics that operators fetch. Counts begin at zero when the process starts. A request is
//! counted once, when its outcome is final.
use crate::memory::report::{MemoryRefusal, MemoryReport};
use crate::telemetry::guard_counts::GuardCounts;
use crate::telemetry::upstream_counts::UpstreamCounts;
use balancer_core::EndpointCounts;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Rejected without having run: the client may retry.
    Rejected,
    /// Failed.
    Failed,
}

impl RequestOutcome {
    /// All outcomes, in the order of their counts.
    const ALL: [RequestOutcome; 3] = [
        RequestOutcome::Served,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
    ];

    /// Its name in metrics. Dashboards refer to these names, so they stay.
    fn metric_name(self) -> &'static str {
        match self {
            RequestOutcome::Served => "ok",
            RequestOutcome::Rejected => "shed",
            RequestOutcome::Failed => "errors",
        }
    }
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection, a response announced that the connection closes, or the
    /// connection failed.
    Finished,
    /// The client sent input that is not a valid request, and got an error response.
    Malformed,
    /// The time limit for the client's next request had passed.
    TimedOut,
    /// The connection was idle, and a new connection needed its descriptor.
    Evicted,
    /// The process shuts down, or operators have paused the balancer.
    Shutdown,
    /// Too little memory was left for the request that was being read, which was rejected.
    MemoryShort,
}

impl CloseReason {
    /// All reasons, in the order of their counts.
    const ALL: [CloseReason; 6] = [
        CloseReason::Finished,
        CloseReason::Malformed,
        CloseReason::TimedOut,
        CloseReason::Evicted,
        CloseReason::Shutdown,
        CloseReason::MemoryShort,
    ];

    /// Its name in metrics and logs. Dashboards refer to these names, so they stay.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Finished => "finished",
            CloseReason::Malformed => "malformed",
            CloseReason::TimedOut => "overdue",
            CloseReason::Evicted => "makes_way",
            CloseReason::Shutdown => "shutdown",
            CloseReason::MemoryShort => "memory",
        }
    }
}

/// Current values that the metrics show beside the counts.
#[derive(Clone, Copy, Debug)]
pub struct Gauges {
    /// Requests in progress.
    pub active_requests: usize,
    /// How many endpoints are listed, and how many of them are avoided.
    pub endpoints: EndpointCounts,
    /// How many upstreams are suspect because they have lately sent surplus data, that is, data
    /// beyond their responses; see `outbound::surplus_history` for how long.
    pub single_use_upstreams: usize,
}

/// Counts of one class.
struct ClassCounts {
    /// The class's name, escaped as a label's value.
    label: String,
    /// Completed requests by [`RequestOutcome`].
    completed: [Cell<u64>; RequestOutcome::ALL.len()],
}

/// All counts of this process.
pub struct Metrics {
    classes: Vec<ClassCounts>,
    /// Counts of the connections to upstreams.
    upstreams: Rc<UpstreamCounts>,
    reloads_applied: Cell<u64>,
    reloads_rejected: Cell<u64>,
    /// Violations of invariants, and denied writes.
    guard: GuardCounts,
    /// Closed client connections by [`CloseReason`].
    connections_closed: [Cell<u64>; CloseReason::ALL.len()],
}

impl Metrics {
    /// Metrics for these classes, with all counts at zero.
    pub fn new(classes: &[String]) -> Rc<Metrics> {
        let classes = classes
            .iter()
            .map(|name| ClassCounts {
                label: escape_label(name),
                completed: Default::default(),
            })
            .collect();
        Rc::new(Metrics {
            classes,
            upstreams: Rc::default(),
            reloads_applied: Cell::default(),
            reloads_rejected: Cell::default(),
            guard: GuardCounts::default(),
            connections_closed: Default::default(),
        })
    }

    /// The counts that the connections to upstreams update.
    pub fn upstreams(&self) -> &Rc<UpstreamCounts> {
        &self.upstreams
    }

    /// The counts of the guard.
    pub fn guard(&self) -> &GuardCounts {
        &self.guard
    }

    /// Counts a client's connection as closed.
    pub fn record_connection_closed(&self, reason: CloseReason) {
        increment(&self.connections_closed[reason as usize]);
    }

    /// Counts a request of this class as completed.
    pub fn record_completed(&self, class: usize, outcome: RequestOutcome) {
        if let Some(class) = self.classes.get(class) {
            increment(&class.completed[outcome as usize]);
        }
    }

    /// Counts a reload of the configuration, which was applied or rejected.
    pub fn record_reload(&self, applied: bool) {
        increment(if applied {
            &self.reloads_applied
        } else {
            &self.reloads_rejected
        });
    }

    /// The metrics as operators read them, with the current gauges and the state of the memory.
    pub fn render(&self, gauges: &Gauges, memory: &MemoryReport) -> String {
        let mut text = String::new();
        for outcome in RequestOutcome::ALL {
            for class in &self.classes {
                let name = labelled(outcome.metric_name(), "kind", &class.label);
                write_metric(&mut text, &name, class.completed[outcome as usize].get());
            }
        }
        write_metric(&mut text, "tries", self.upstreams.requests_written().get());
        self.render_upstream_connections(&mut text);
        write_metric(&mut text, "active", gauges.active_requests as u64);
        write_metric(&mut text, "pool_size", gauges.endpoints.listed as u64);
        write_metric(&mut text, "pool_ejected", gauges.endpoints.avoided as u64);
        let detections = self.upstreams.surplus_detections();
        write_metric(&mut text, "surplus_detections", detections);
        let single_use = gauges.single_use_upstreams as u64;
        write_metric(&mut text, "single_use_upstreams", single_use);
        write_metric(&mut text, "config_applied", self.reloads_applied.get());
        write_metric(&mut text, "config_rejected", self.reloads_rejected.get());
        for (rule, count) in self.guard.violations() {
            write_metric(
                &mut text,
                &labelled("violations", "rule", rule.name()),
                count,
            );
        }
        for (reason, count) in self.guard.denials() {
            let name = labelled("writes_denied", "reason", reason.name());
            write_metric(&mut text, &name, count);
        }
        for reason in CloseReason::ALL {
            let name = labelled("connections_closed", "reason", reason.name());
            let count = &self.connections_closed[reason as usize];
            write_metric(&mut text, &name, count.get());
        }
        render_memory(&mut text, memory);
        text
    }

    fn render_upstream_connections(&self, text: &mut String) {
        let opened = self.upstreams.connections_opened();
        write_metric(text, "upstream_connections_opened", opened);
        let open = self.upstreams.open_connections() as u64;
        write_metric(text, "upstream_connections_open", open);
    }
}

/// A request that the driver has accepted. Its outcome is counted when this is dropped. If no
/// outcome was set, the client has disconnected, and nothing is counted.
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: usize,
    outcome: Cell<Option<RequestOutcome>>,
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

    /// Sets how the request ends. The last outcome counts.
    pub fn set_outcome(&self, outcome: RequestOutcome) {
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

fn render_memory(text: &mut String, memory: &MemoryReport) {
    let limit = memory.limit_bytes.unwrap_or(0);
    write_metric(text, "memory_limit_bytes", limit as u64);
    let allocated = memory.allocated_bytes;
    write_metric(text, "memory_allocated_bytes", allocated as u64);
    write_metric(text, "connections_open", memory.open_connections as u64);
    write_metric(text, "memory_shortages", memory.shortages);
    write_metric(text, "memory_waits", memory.waits);
    for refusal in MemoryRefusal::ALL {
        let name = labelled("memory_refused", "what", refusal.name());
        write_metric(text, &name, memory.refused[refusal as usize]);
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get().wrapping_add(1));
}

fn write_metric(text: &mut String, name: &str, value: u64) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "node_{name} {value}");
}

fn labelled(name: &str, label: &str, value: &str) -> String {
    format!("{name}{{{label}=\"{value}\"}}")
}

/// Escapes a label's value for use between quotes.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
