//! The metrics of a measurement that the table shows, in the table's order.
use super::measurement::{
    BalancerUsage, CallsMeasurement, ControlMeasurement, GroupTimes, LoadMeasurement,
};
use crate::client::CallKind;
use crate::statistics::{Metric, Percentiles};

/// Names of the metrics of added time: the median, the 99th and the 99.9th percentile.
type PercentileNames = [&'static str; 3];

const ADDED_TO_ALL_CALLS: PercentileNames = ["added_p50_us", "added_p99_us", "added_p999_us"];
const ADDED_TO_READS: PercentileNames = [
    "added_get_idle_p50_us",
    "added_get_idle_p99_us",
    "added_get_idle_p999_us",
];
const ADDED_TO_ORDERS: PercentileNames = [
    "added_post_idle_p50_us",
    "added_post_idle_p99_us",
    "added_post_idle_p999_us",
];

/// Names of the metrics of a [`BalancerUsage`].
struct UsageNames {
    processor_percent: &'static str,
    start_processor_ms: &'static str,
    resident_mb: &'static str,
}

const REAL_USAGE: UsageNames = UsageNames {
    processor_percent: "processor_percent",
    start_processor_ms: "start_processor_ms",
    resident_mb: "resident_mb",
};
const HOLLOW_USAGE: UsageNames = UsageNames {
    processor_percent: "hollow_processor_percent",
    start_processor_ms: "hollow_start_processor_ms",
    resident_mb: "hollow_resident_mb",
};

impl CallsMeasurement {
    /// The metrics that the table shows.
    pub fn metrics(&self) -> Vec<Metric> {
        let mut metrics = self.load_metrics();
        if let Some(attempts) = self.attempts_per_call.last() {
            metrics.push(Metric::new("attempts_at_bottom_per_call", *attempts));
        }
        metrics.extend(self.added_time_metrics());
        metrics
    }

    fn load_metrics(&self) -> Vec<Metric> {
        let load = &self.balanced;
        let outcomes = &load.outcomes;
        let calls = outcomes.calls.max(1) as f64;
        let percent = |count: u64| 100.0 * count as f64 / calls;
        vec![
            Metric::new("calls", outcomes.calls as f64),
            Metric::new("served_percent", percent(outcomes.served)),
            Metric::new("rejected_percent", percent(outcomes.rejected)),
            Metric::new("latency_p50_us", load.latency.p50_us),
            Metric::new("latency_p99_us", load.latency.p99_us),
            Metric::new("send_lateness_p99_us", load.send_delay.p99_us),
            Metric::new("processor_us_per_call", self.processor_us_per_call),
            Metric::new("resident_mb", self.resident_mb),
        ]
    }

    /// The time that the balancers add to calls, where the same load was sent directly.
    fn added_time_metrics(&self) -> Vec<Metric> {
        let Some(direct) = &self.direct else {
            return Vec::new();
        };
        let balanced = &self.balanced;
        let mut metrics = percentile_differences(
            ADDED_TO_ALL_CALLS,
            &balanced.outside_service,
            &direct.outside_service,
        );
        for (kind, names) in [
            (CallKind::Read, ADDED_TO_READS),
            (CallKind::Order, ADDED_TO_ORDERS),
        ] {
            let groups = (balanced.idle_group(kind), direct.idle_group(kind));
            if let (Some(balanced), Some(direct)) = groups {
                metrics.extend(percentile_differences(
                    names,
                    &balanced.outside_service,
                    &direct.outside_service,
                ));
            }
        }
        metrics
    }
}

impl LoadMeasurement {
    /// The times of this class on idle connections, if any of its calls were served.
    fn idle_group(&self, kind: CallKind) -> Option<&GroupTimes> {
        self.groups.iter().find(|group| {
            group.class == kind.class() && !group.new_connection && group.outside_service.count > 0
        })
    }
}

/// Each percentile of the load through the balancers minus the same percentile of the direct load.
fn percentile_differences(
    names: PercentileNames,
    balanced: &Percentiles,
    direct: &Percentiles,
) -> Vec<Metric> {
    let [p50, p99, p999] = names;
    vec![
        Metric::new(p50, balanced.p50_us - direct.p50_us),
        Metric::new(p99, balanced.p99_us - direct.p99_us),
        Metric::new(p999, balanced.p999_us - direct.p999_us),
    ]
}

impl ControlMeasurement {
    /// The metrics that the table shows.
    pub fn metrics(&self) -> Vec<Metric> {
        let mut metrics = usage_metrics(&REAL_USAGE, &self.real);
        metrics.extend(usage_metrics(&HOLLOW_USAGE, &self.hollow));
        metrics.extend(self.discovery_metrics());
        if self.changes > 0 {
            metrics.extend(self.in_force_metrics());
        }
        metrics
    }

    fn discovery_metrics(&self) -> [Metric; 6] {
        let not_in_force = self.changes - self.changes_in_force_at_all;
        [
            Metric::new("all_watch_after_seconds", self.all_watch_after_seconds),
            Metric::new("start_bytes_per_balancer", self.start_bytes_per_balancer),
            Metric::new("bytes_per_second", self.bytes_per_second),
            Metric::new("messages_per_second", self.messages_per_second),
            Metric::new("changes", self.changes as f64),
            Metric::new("changes_not_in_force_at_all", not_in_force as f64),
        ]
    }

    fn in_force_metrics(&self) -> [Metric; 4] {
        let at_99_percent = &self.in_force_at_99_percent;
        let at_all = &self.in_force_at_all;
        [
            Metric::new("in_force_at_99_percent_p50_us", at_99_percent.p50_us),
            Metric::new("in_force_at_99_percent_max_us", at_99_percent.max_us),
            Metric::new("in_force_at_all_p50_us", at_all.p50_us),
            Metric::new("in_force_at_all_max_us", at_all.max_us),
        ]
    }
}

/// The means over these balancers; empty where there are none.
fn usage_metrics(names: &UsageNames, balancers: &[BalancerUsage]) -> Vec<Metric> {
    if balancers.is_empty() {
        return Vec::new();
    }
    let processor = mean(balancers, |usage| usage.processor_percent);
    let start_processor = mean(balancers, |usage| usage.start_processor_ms);
    let resident = mean(balancers, |usage| usage.resident_mb);
    vec![
        Metric::new(names.processor_percent, processor),
        Metric::new(names.start_processor_ms, start_processor),
        Metric::new(names.resident_mb, resident),
    ]
}

fn mean(balancers: &[BalancerUsage], value: fn(&BalancerUsage) -> f64) -> f64 {
    balancers.iter().map(value).sum::<f64>() / balancers.len().max(1) as f64
}
