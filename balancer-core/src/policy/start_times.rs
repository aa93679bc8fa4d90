//! When endpoints started, on this replica's clock, which may be off from the one that discovery reports by.
use super::*;

/// A start that the list reports for the first time while this replica follows it is at most this long ago: a
/// clock that says more is ahead. Within this time slow start's margin covers the difference.
const REPORT_DELAY: Millis = 3000.0;
/// What is known of endpoints that are gone is kept for this long: one that comes back unchanged has not
/// started anew.
const KEPT: Millis = 600_000.0;

#[derive(Clone, Copy)]
struct Start {
    reported: Millis,
    started: Millis,
    seen: Millis,
}

/// The starts of all endpoints that were listed of late.
#[derive(Default)]
pub(super) struct StartTimes {
    by_id: BTreeMap<UpstreamId, Start>,
    /// Whether a list is followed, so that what is new in the next one is new.
    follows: bool,
}

impl StartTimes {
    /// When a listed endpoint started; zero: long ago.
    pub(super) fn record(&mut self, member: &Endpoint, now: Millis) -> Millis {
        let reported = member.started_at;
        let known = self
            .by_id
            .get(&member.id)
            .filter(|start| start.reported == reported);
        let started = match known {
            Some(start) => start.started,
            None if reported <= 0.0 => 0.0,
            // It runs, so that it has started.
            None if reported > now => now,
            None if self.follows => reported.max(now - REPORT_DELAY),
            None => reported,
        };
        self.by_id.insert(
            member.id,
            Start {
                reported,
                started,
                seen: now,
            },
        );
        started
    }

    /// A whole list, or what changed in one, has been recorded.
    pub(super) fn end_update(&mut self, now: Millis, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.follows = true;
        self.by_id
            .retain(|id, start| now - start.seen < KEPT || is_listed(id));
    }
}
