//! What one measurement found.
use crate::statistics::Percentiles;
use serde::Serialize;

/// How calls ended, as their clients saw it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Calls sent.
    pub calls: u64,
    /// Status 200.
    pub served: u64,
    /// Status 429 or 503.
    pub rejected: u64,
    /// Any other status.
    pub failed: u64,
    /// No complete response, or none in time.
    #[serde(rename = "unanswered")]
    pub without_response: u64,
}

/// Times of one class of calls on one kind of connections, without the service's own time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GroupTimes {
    /// The class.
    pub class: &'static str,
    /// Whether the clients' connection was new.
    pub new_connection: bool,
    /// From sending to the response's last byte, less the service's own time.
    pub outside_service: Percentiles,
}

/// One load, as its clients saw it.
#[derive(Clone, Debug, Serialize)]
pub struct LoadMeasurement {
    /// How calls ended.
    pub outcomes: Outcomes,
    /// From the planned time until the client sent the call.
    #[serde(rename = "send_lateness")]
    pub send_delay: Percentiles,
    /// From the planned time to the response's last byte; of calls served.
    pub latency: Percentiles,
    /// From sending to the response's last byte, less the service's own time; of calls served.
    pub outside_service: Percentiles,
    /// From sending until the service had the complete request; of calls served.
    #[serde(rename = "request_way")]
    pub request_transit: Percentiles,
    /// `outside_service` by class and connection.
    pub groups: Vec<GroupTimes>,
}

/// One measurement of calls.
#[derive(Clone, Debug, Serialize)]
pub struct CallsMeasurement {
    /// The load through the balancers.
    #[serde(rename = "through")]
    pub balanced: LoadMeasurement,
    /// The same load sent directly to the first service.
    #[serde(rename = "straight")]
    pub direct: Option<LoadMeasurement>,
    /// Processor time of the first balancer for each call of the clients, in microseconds.
    pub processor_us_per_call: f64,
    /// Resident memory of the first balancer at the end, in MiB.
    pub resident_mb: f64,
    /// Attempts that reached each service for each call of the clients, the first service first.
    pub attempts_per_call: Vec<f64>,
}

/// What a balancer used during a measurement of control. Where a process runs several balancers, their mean.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BalancerUsage {
    /// Processor time as a percentage of one core.
    pub processor_percent: f64,
    /// Processor time from the balancer's start until the evaluated time began, in milliseconds.
    pub start_processor_ms: f64,
    /// Resident memory at the end, in MiB.
    pub resident_mb: f64,
}

/// One measurement of control. Messages and bytes are those between a balancer and its discovery, in both directions.
#[derive(Clone, Debug, Serialize)]
pub struct ControlMeasurement {
    /// Each real balancer.
    pub real: Vec<BalancerUsage>,
    /// The mean usage per balancer of each process of hollow balancers.
    pub hollow: Vec<BalancerUsage>,
    /// From the start of the first balancer until all balancers watched discovery, in seconds.
    pub all_watch_after_seconds: f64,
    /// Bytes for each balancer until all balancers watched discovery.
    pub start_bytes_per_balancer: f64,
    /// Bytes per second for each balancer.
    pub bytes_per_second: f64,
    /// Requests to discovery per second for each balancer.
    pub messages_per_second: f64,
    /// Changes that were published during the evaluated time.
    pub changes: u64,
    /// Balancers that follow discovery.
    pub balancers: u64,
    /// Changes that all balancers had in force at the end.
    pub changes_in_force_at_all: u64,
    /// For each change, the time until 99% of the balancers had it in force.
    pub in_force_at_99_percent: Percentiles,
    /// For each change, the time until all balancers had it in force.
    pub in_force_at_all: Percentiles,
}
