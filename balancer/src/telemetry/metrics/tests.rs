//! The text of the metrics.
use super::*;

const GAUGES: Gauges = Gauges {
    active_requests: 2,
    endpoints: EndpointCounts {
        listed: 4,
        avoided: 1,
    },
    single_use_upstreams: 3,
};

const EXPECTED: [&str; 41] = [
    "node_ok{kind=\"read\"} 0",
    "node_ok{kind=\"odd \\\"\\\\\\n\"} 0",
    "node_shed{kind=\"read\"} 0",
    "node_shed{kind=\"odd \\\"\\\\\\n\"} 1",
    "node_errors{kind=\"read\"} 1",
    "node_errors{kind=\"odd \\\"\\\\\\n\"} 0",
    "node_tries 7",
    "node_upstream_connections_opened 2",
    "node_upstream_connections_open 1",
    "node_active 2",
    "node_pool_size 4",
    "node_pool_ejected 1",
    "node_surplus_detections 1",
    "node_single_use_upstreams 3",
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
    "node_connections_closed{reason=\"memory\"} 0",
    "node_memory_limit_bytes 33554432",
    "node_memory_allocated_bytes 5000",
    "node_connections_open 6",
    "node_memory_shortages 1",
    "node_memory_waits 2",
    "node_memory_refused{what=\"head\"} 3",
    "node_memory_refused{what=\"body\"} 4",
    "node_memory_refused{what=\"attempt\"} 5",
    "node_memory_refused{what=\"body_copy\"} 6",
];

const MEMORY: MemoryReport = MemoryReport {
    limit_bytes: Some(32 << 20),
    allocated_bytes: 5000,
    open_connections: 6,
    shortages: 1,
    waits: 2,
    refused: [3, 4, 5, 6],
};

#[test]
fn counts_each_request_once_with_its_last_outcome() {
    let metrics = Metrics::new(&["read".into(), "odd \"\\\n".into()]);
    let answered = InFlightRequest::new(&metrics, 0);
    let disconnected = InFlightRequest::new(&metrics, 1);
    answered.set_outcome(RequestOutcome::Served);
    assert!(
        metrics
            .render(&GAUGES, &MEMORY)
            .contains("node_ok{kind=\"read\"} 0\n"),
        "a request is not counted before its end"
    );
    answered.set_outcome(RequestOutcome::Failed);
    drop(answered);
    drop(disconnected);
    metrics.record_completed(1, RequestOutcome::Rejected);
    metrics.upstreams().requests_written().set(7);
    metrics.upstreams().record_surplus();
    let _open = metrics.upstreams().record_connection_opened();
    drop(metrics.upstreams().record_connection_opened());
    metrics.record_reload(false);
    metrics.record_connection_closed(CloseReason::TimedOut);
    assert_eq!(
        metrics.render(&GAUGES, &MEMORY).lines().collect::<Vec<_>>(),
        EXPECTED
    );
}
