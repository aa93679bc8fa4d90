//! When endpoints started, on this replica's clock. Discovery reports start times on its own clock, which may
//! differ.
use crate::endpoint::{Endpoint, UpstreamId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Longest time between a start and the list that first reports it, once this replica has received a list. A
/// longer time shows that the clocks differ. Slow start's margin covers a difference of this size.
const MAX_REPORT_DELAY: Millis = 3000.0;
/// Start times of endpoints that are gone are kept for this long: an endpoint that returns with the same start
/// time has not restarted.
const RETENTION: Millis = 600_000.0;

struct Start {
    /// The start time on discovery's clock.
    reported_start: Millis,
    /// The start time on this replica's clock.
    started_at: Millis,
    last_listed_at: Millis,
}

/// The start times of all endpoints that were recently listed.
#[derive(Default)]
pub(super) struct StartTimes {
    by_id: BTreeMap<UpstreamId, Start>,
    /// Whether a list was recorded: a start time that appears first in a later list is that of a recent start.
    has_list: bool,
}

impl StartTimes {
    /// Records an endpoint of a list or delta and returns when it started; zero: long ago.
    pub(super) fn record(&mut self, endpoint: &Endpoint, now: Millis) -> Millis {
        let started_at = self.started_at(endpoint, now);
        self.by_id.insert(
            endpoint.id,
            Start {
                reported_start: endpoint.started_at,
                started_at,
                last_listed_at: now,
            },
        );
        started_at
    }

    fn started_at(&self, endpoint: &Endpoint, now: Millis) -> Millis {
        let reported_start = endpoint.started_at;
        let known = self.by_id.get(&endpoint.id);
        if let Some(start) = known.filter(|start| start.reported_start == reported_start) {
            return start.started_at;
        }
        if reported_start <= 0.0 {
            return 0.0;
        }
        if reported_start > now {
            // A listed endpoint is running, so it cannot have started later than now.
            return now;
        }
        if self.has_list {
            return reported_start.max(now - MAX_REPORT_DELAY);
        }
        reported_start
    }

    /// Ends an update by a complete list or a delta, and forgets endpoints that were not listed for long.
    pub(super) fn end_update(&mut self, now: Millis, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.has_list = true;
        self.by_id
            .retain(|id, start| now - start.last_listed_at < RETENTION || is_listed(id));
    }
}
