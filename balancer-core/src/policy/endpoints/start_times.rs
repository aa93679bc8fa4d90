//! When endpoints started, on this replica's clock. Discovery reports by its own clock, which may differ.
use crate::endpoint::{Endpoint, UpstreamId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Longest time from a start to the list that first reports it, while this replica follows the list. An
/// earlier start shows that the clocks differ. Slow start's margin covers a difference of this size.
const MAX_REPORT_DELAY: Millis = 3000.0;
/// Start times of endpoints that are gone are kept for this long: one that returns unchanged has not
/// restarted.
const RETENTION: Millis = 600_000.0;

struct Start {
    reported_at: Millis,
    started_at: Millis,
    last_listed_at: Millis,
}

/// The start times of all endpoints that were recently listed.
#[derive(Default)]
pub(super) struct StartTimes {
    by_id: BTreeMap<UpstreamId, Start>,
    /// Whether a list was recorded, so that new entries in the next one are new starts.
    has_list: bool,
}

impl StartTimes {
    /// Records a listed endpoint and returns when it started; zero: long ago.
    pub(super) fn record(&mut self, endpoint: &Endpoint, now: Millis) -> Millis {
        let started_at = self.started_at(endpoint, now);
        self.by_id.insert(
            endpoint.id,
            Start {
                reported_at: endpoint.started_at,
                started_at,
                last_listed_at: now,
            },
        );
        started_at
    }

    fn started_at(&self, endpoint: &Endpoint, now: Millis) -> Millis {
        let reported_at = endpoint.started_at;
        let known = self.by_id.get(&endpoint.id);
        if let Some(start) = known.filter(|start| start.reported_at == reported_at) {
            return start.started_at;
        }
        if reported_at <= 0.0 {
            return 0.0;
        }
        if reported_at > now {
            // The endpoint runs, so it has started.
            return now;
        }
        if self.has_list {
            return reported_at.max(now - MAX_REPORT_DELAY);
        }
        reported_at
    }

    /// Completes the update of a complete list or of a delta.
    pub(super) fn end_update(&mut self, now: Millis, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.has_list = true;
        self.by_id
            .retain(|id, start| now - start.last_listed_at < RETENTION || is_listed(id));
    }
}
