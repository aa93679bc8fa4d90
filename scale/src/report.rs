//! What a run found: JSON with every repeat, and a table of each figure's spread.
mod growth;
mod table;

use crate::client::CallKind;
use crate::experiment::{CallsSize, ControlSize, Experiment};
use crate::machine::Machine;
use crate::statistics::spreads;
pub use growth::Growth;
use serde::Serialize;

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment as it was run.
    pub experiment: Experiment,
    /// The commit of the repository, with `-dirty` where files differ from it; none outside of one.
    pub commit: Option<String>,
    /// Where it ran.
    pub machine: Machine,
    /// Wall time of the whole run.
    pub seconds: f64,
    /// Measurements of calls.
    pub calls: Vec<Point<CallsSize, CallsFigures>>,
    /// How attempts grow with depth, where depths enough were measured.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub growth: Vec<Growth>,
    /// Measurements of control.
    pub control: Vec<Point<ControlSize, ControlFigures>>,
}

impl Report {
    /// Fits what is worked out from all points together.
    pub fn fit(&mut self) {
        self.growth = growth::growths(&self.calls);
    }
}

/// One combination of sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Point<S, F> {
    /// The sizes.
    pub size: S,
    /// The spread of each main figure over the repeats.
    pub spread: Vec<Spread>,
    /// Every measurement.
    pub repeats: Vec<F>,
}

/// A figure that is compared between repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Its name, with its unit.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
}

/// A figure over all repeats.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Spread {
    /// The figure's name, with its unit.
    pub name: &'static str,
    /// Its least value.
    pub least: f64,
    /// Its median.
    pub median: f64,
    /// Its greatest value.
    pub most: f64,
}

/// A distribution of times.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// How many times there are.
    pub count: u64,
    /// Median.
    pub p50_us: f64,
    /// 99 in 100 are no longer.
    pub p99_us: f64,
    /// 999 in 1000 are no longer.
    pub p999_us: f64,
    /// The longest.
    pub max_us: f64,
}

/// How calls ended, as their clients saw it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Sent.
    pub calls: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub rejected: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Not answered whole, or not in time.
    pub unanswered: u64,
}

/// Times of one kind of calls on one kind of connections, without the time that the service had them.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GroupTimes {
    /// The class.
    pub class: &'static str,
    /// Whether the clients' connection was new.
    pub new_connection: bool,
    /// From sending to the answer's last byte, less the service's own time.
    pub outside_service: Percentiles,
}

/// The clients' view of one load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadFigures {
    /// How calls ended.
    pub outcomes: Outcomes,
    /// How much later than planned the clients sent.
    pub send_lateness: Percentiles,
    /// From the planned time to the answer's last byte; of calls served.
    pub latency: Percentiles,
    /// From sending to the answer's last byte, less the service's own time; of calls served.
    pub outside_service: Percentiles,
    /// From sending until the service had the whole request; of calls served.
    pub request_way: Percentiles,
    /// The same by class and connection.
    pub groups: Vec<GroupTimes>,
}

/// One measurement of calls.
#[derive(Clone, Debug, Serialize)]
pub struct CallsFigures {
    /// Through the balancers.
    pub through: LoadFigures,
    /// The same load straight to the first service.
    pub straight: Option<LoadFigures>,
    /// Processor time of the first balancer for each call at the top.
    pub processor_us_per_call: f64,
    /// Memory of the first balancer.
    pub resident_mb: f64,
    /// Calls that came to each service for each call at the top, the first service first.
    pub attempts_per_call: Vec<f64>,
}

impl CallsFigures {
    /// The figures that the table shows.
    pub fn figures(&self) -> Vec<Figure> {
        let load = &self.through;
        let calls = load.outcomes.calls.max(1) as f64;
        let percent = |count: u64| 100.0 * count as f64 / calls;
        let mut figures = vec![
            Figure {
                name: "calls",
                value: load.outcomes.calls as f64,
            },
            Figure {
                name: "served_percent",
                value: percent(load.outcomes.served),
            },
            Figure {
                name: "rejected_percent",
                value: percent(load.outcomes.rejected),
            },
            Figure {
                name: "latency_p50_us",
                value: load.latency.p50_us,
            },
            Figure {
                name: "latency_p99_us",
                value: load.latency.p99_us,
            },
            Figure {
                name: "send_lateness_p99_us",
                value: load.send_lateness.p99_us,
            },
            Figure {
                name: "processor_us_per_call",
                value: self.processor_us_per_call,
            },
            Figure {
                name: "resident_mb",
                value: self.resident_mb,
            },
        ];
        if let Some(last) = self.attempts_per_call.last() {
            figures.push(Figure {
                name: "attempts_at_bottom_per_call",
                value: *last,
            });
        }
        if let Some(straight) = &self.straight {
            figures.extend(added(
                ADDED,
                &load.outside_service,
                &straight.outside_service,
            ));
            for (group, names) in [
                (READ_ON_IDLE, ADDED_TO_READS),
                (ORDER_ON_IDLE, ADDED_TO_ORDERS),
            ] {
                if let (Some(through), Some(straight)) = (load.group(group), straight.group(group))
                {
                    figures.extend(added(
                        names,
                        &through.outside_service,
                        &straight.outside_service,
                    ));
                }
            }
        }
        figures
    }
}

/// A class, and whether the clients' connection was new.
type Group = (CallKind, bool);

const READ_ON_IDLE: Group = (CallKind::Read, false);
const ORDER_ON_IDLE: Group = (CallKind::Order, false);
/// Names of the figures of added time: median, 99 in 100 and 999 in 1000.
const ADDED: [&str; 3] = ["added_p50_us", "added_p99_us", "added_p999_us"];
const ADDED_TO_READS: [&str; 3] = [
    "added_get_idle_p50_us",
    "added_get_idle_p99_us",
    "added_get_idle_p999_us",
];
const ADDED_TO_ORDERS: [&str; 3] = [
    "added_post_idle_p50_us",
    "added_post_idle_p99_us",
    "added_post_idle_p999_us",
];

impl LoadFigures {
    /// The times of a group, if any of its calls were served.
    fn group(&self, (kind, new_connection): Group) -> Option<&GroupTimes> {
        let mut groups = self
            .groups
            .iter()
            .filter(|group| group.outside_service.count > 0);
        groups.find(|group| group.class == kind.class() && group.new_connection == new_connection)
    }
}

/// What the balancer adds: each percentile through it less the same straight to the service.
fn added(names: [&'static str; 3], through: &Percentiles, straight: &Percentiles) -> [Figure; 3] {
    let [p50, p99, p999] = names;
    [
        Figure {
            name: p50,
            value: through.p50_us - straight.p50_us,
        },
        Figure {
            name: p99,
            value: through.p99_us - straight.p99_us,
        },
        Figure {
            name: p999,
            value: through.p999_us - straight.p999_us,
        },
    ]
}

/// What a balancer used during a measurement of control; the mean of a process's balancers where there are many.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BalancerUse {
    /// Share of a core.
    pub processor_percent: f64,
    /// Processor time from its start until the measurement began.
    pub start_processor_ms: f64,
    /// Memory at the end.
    pub resident_mb: f64,
}

/// One measurement of control. Messages and bytes are those between a balancer and its discovery, both ways.
#[derive(Clone, Debug, Serialize)]
pub struct ControlFigures {
    /// Each real balancer.
    pub real: Vec<BalancerUse>,
    /// A balancer of each process of hollow ones.
    pub hollow: Vec<BalancerUse>,
    /// From the start of the first balancer until all watched.
    pub all_watch_after_seconds: f64,
    /// Bytes for each balancer until all were ready.
    pub start_bytes_per_balancer: f64,
    /// Bytes a second for each balancer.
    pub bytes_per_second: f64,
    /// Requests to discovery a second for each balancer.
    pub messages_per_second: f64,
    /// Changes of which the time in force was measured.
    pub changes: u64,
    /// Balancers that were to be told.
    pub balancers: u64,
    /// Changes that all balancers had in force at the end.
    pub changes_in_force_at_all: u64,
    /// For each change, until 99 in 100 balancers had it in force.
    pub in_force_at_99_percent: Percentiles,
    /// For each change, until all balancers had it in force.
    pub in_force_at_all: Percentiles,
}

impl ControlFigures {
    /// The figures that the table shows.
    pub fn figures(&self) -> Vec<Figure> {
        let mut figures = use_figures(USE, &self.real);
        figures.extend(use_figures(HOLLOW_USE, &self.hollow));
        figures.extend(self.exchange_figures());
        if self.changes > 0 {
            figures.extend(self.in_force_figures());
        }
        figures
    }

    fn exchange_figures(&self) -> [Figure; 6] {
        let not_in_force = (self.changes - self.changes_in_force_at_all) as f64;
        [
            Figure {
                name: "all_watch_after_seconds",
                value: self.all_watch_after_seconds,
            },
            Figure {
                name: "start_bytes_per_balancer",
                value: self.start_bytes_per_balancer,
            },
            Figure {
                name: "bytes_per_second",
                value: self.bytes_per_second,
            },
            Figure {
                name: "messages_per_second",
                value: self.messages_per_second,
            },
            Figure {
                name: "changes",
                value: self.changes as f64,
            },
            Figure {
                name: "changes_not_in_force_at_all",
                value: not_in_force,
            },
        ]
    }

    fn in_force_figures(&self) -> [Figure; 4] {
        let (widely, all) = (&self.in_force_at_99_percent, &self.in_force_at_all);
        [
            Figure {
                name: "in_force_at_99_percent_p50_us",
                value: widely.p50_us,
            },
            Figure {
                name: "in_force_at_99_percent_max_us",
                value: widely.max_us,
            },
            Figure {
                name: "in_force_at_all_p50_us",
                value: all.p50_us,
            },
            Figure {
                name: "in_force_at_all_max_us",
                value: all.max_us,
            },
        ]
    }
}

/// Names of the figures of [`BalancerUse`], for real and for hollow balancers.
const USE: [&str; 3] = ["processor_percent", "start_processor_ms", "resident_mb"];
const HOLLOW_USE: [&str; 3] = [
    "hollow_processor_percent",
    "hollow_start_processor_ms",
    "hollow_resident_mb",
];

/// The means over these balancers; none where there are none.
fn use_figures(names: [&'static str; 3], balancers: &[BalancerUse]) -> Vec<Figure> {
    if balancers.is_empty() {
        return Vec::new();
    }
    let [processor, start, resident] = names;
    vec![
        Figure {
            name: processor,
            value: mean(balancers, |b| b.processor_percent),
        },
        Figure {
            name: start,
            value: mean(balancers, |b| b.start_processor_ms),
        },
        Figure {
            name: resident,
            value: mean(balancers, |b| b.resident_mb),
        },
    ]
}

fn mean(balancers: &[BalancerUse], of: fn(&BalancerUse) -> f64) -> f64 {
    balancers.iter().map(of).sum::<f64>() / balancers.len().max(1) as f64
}

impl<S> Point<S, CallsFigures> {
    /// A point of calls with its spread.
    pub fn of_calls(size: S, repeats: Vec<CallsFigures>) -> Self {
        let figures: Vec<_> = repeats.iter().map(CallsFigures::figures).collect();
        Point {
            size,
            spread: spreads(&figures),
            repeats,
        }
    }
}

impl<S> Point<S, ControlFigures> {
    /// A point of control with its spread.
    pub fn of_control(size: S, repeats: Vec<ControlFigures>) -> Self {
        let figures: Vec<_> = repeats.iter().map(ControlFigures::figures).collect();
        Point {
            size,
            spread: spreads(&figures),
            repeats,
        }
    }
}
