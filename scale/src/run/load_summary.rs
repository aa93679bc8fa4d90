//! Summarizes the records of a load.
use crate::client::{CallKind, ConnectionUse};
use crate::load::{CallOutcome, CallRecord};
use crate::report::{GroupTimes, LoadMeasurement, Outcomes};
use crate::statistics::{Distribution, Percentiles};
use std::time::Duration;

/// A summary of the calls that were planned after the warm-up.
pub(super) fn summarize(records: &[CallRecord], warmup: Duration) -> LoadMeasurement {
    let evaluated: Vec<&CallRecord> = records
        .iter()
        .filter(|record| record.planned_at >= warmup)
        .collect();
    let served: Vec<&CallRecord> = evaluated
        .iter()
        .copied()
        .filter(|record| record.outcome == CallOutcome::Served)
        .collect();
    LoadMeasurement {
        outcomes: count_outcomes(&evaluated),
        send_delay: percentiles(evaluated.iter().map(|record| record.send_delay)),
        latency: percentiles(served.iter().map(|record| record.latency)),
        outside_service: percentiles(served.iter().filter_map(|record| record.outside_service)),
        request_transit: percentiles(served.iter().filter_map(|record| record.request_transit)),
        groups: group_times(&served),
    }
}

fn count_outcomes(records: &[&CallRecord]) -> Outcomes {
    let count = |outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count() as u64
    };
    Outcomes {
        calls: records.len() as u64,
        served: count(CallOutcome::Served),
        rejected: count(CallOutcome::Rejected),
        failed: count(CallOutcome::Failed),
        without_response: count(CallOutcome::WithoutResponse),
    }
}

fn group_times(served: &[&CallRecord]) -> Vec<GroupTimes> {
    let mut groups = Vec::new();
    for kind in [CallKind::Read, CallKind::Order] {
        for connection in [ConnectionUse::Idle, ConnectionUse::New] {
            let group = served
                .iter()
                .filter(|record| record.kind == kind && record.connection == connection);
            groups.push(GroupTimes {
                class: kind.class(),
                new_connection: connection == ConnectionUse::New,
                outside_service: percentiles(group.filter_map(|record| record.outside_service)),
            });
        }
    }
    groups
}

fn percentiles(times: impl Iterator<Item = Duration>) -> Percentiles {
    times.collect::<Distribution>().percentiles()
}
