//! Picks the endpoint of an attempt.
use crate::policy::attempt::RetryConstraint;
use crate::policy::endpoints::slow_start::send_rate;
use crate::policy::endpoints::subset::ZoneChoice;
use crate::policy::endpoints::Endpoints;
use crate::policy::random::Random;
use crate::time::Millis;
use std::cmp::Ordering;

/// Number of random draws before all candidates are searched in order.
const DRAWS: usize = 6;
/// Ratio of relative latencies above which the faster of two endpoints with equally many requests in flight is
/// picked.
const SLOWER_RATIO: f64 = 1.25;

/// What an attempt requires of its endpoint.
#[derive(Clone, Copy)]
pub(crate) struct PickCriteria {
    pub(crate) now: Millis,
    pub(crate) class: usize,
    /// Requests per millisecond that this replica sends to an endpoint with full capacity, if it divides them evenly.
    pub(crate) even_rate: f64,
    /// The endpoint of the previous attempt, which is not picked again.
    pub(crate) previous: Option<usize>,
    /// Whether endpoints that requests avoid are acceptable, except for overloaded ones.
    pub(crate) is_last_resort: bool,
    pub(crate) retry_constraint: Option<RetryConstraint>,
}

impl Endpoints {
    /// Picks the less busy of two random candidates that may receive the attempt.
    pub(in crate::policy) fn pick(
        &mut self,
        zone_choice: ZoneChoice,
        criteria: &PickCriteria,
        random: &mut Random,
    ) -> Option<usize> {
        let count = self.subset.candidates(criteria.class, zone_choice).len();
        if count == 0 {
            return None;
        }
        let start = random.index(count);
        if criteria.now < self.slow_start_ends_at {
            let unused = self.find_unused_in_slow_start(start, zone_choice, criteria);
            if unused.is_some() {
                return unused;
            }
        }
        let mut first = None;
        for _ in 0..DRAWS {
            let index = self.candidate(criteria.class, zone_choice, random.index(count));
            let is_repeated = first == Some(index) && count > 1;
            if is_repeated || !self.may_send(index, criteria) {
                continue;
            }
            let Some(other) = first else {
                first = Some(index);
                continue;
            };
            if self.is_less_busy(index, other, criteria.now) {
                return Some(index);
            }
            return first;
        }
        first.or_else(|| self.find_allowed(start + DRAWS, zone_choice, criteria))
    }

    /// Finds an endpoint in slow start without requests in flight. Where traffic is low, its tokens expire
    /// before random draws find it.
    fn find_unused_in_slow_start(
        &mut self,
        start: usize,
        zone_choice: ZoneChoice,
        criteria: &PickCriteria,
    ) -> Option<usize> {
        let count = self.subset.candidates(criteria.class, zone_choice).len();
        for position in start..start + count {
            let index = self.candidate(criteria.class, zone_choice, position);
            let is_unused = self.slots[index].in_flight.count() == 0
                && self.capacity_fraction(index, criteria.now) < 1.0;
            if is_unused && self.may_send(index, criteria) {
                return Some(index);
            }
        }
        None
    }

    /// Finds the first candidate from position `start` on that may receive the attempt.
    fn find_allowed(
        &mut self,
        start: usize,
        zone_choice: ZoneChoice,
        criteria: &PickCriteria,
    ) -> Option<usize> {
        let count = self.subset.candidates(criteria.class, zone_choice).len();
        for position in start..start + count {
            let index = self.candidate(criteria.class, zone_choice, position);
            if self.may_send(index, criteria) {
                return Some(index);
            }
        }
        None
    }

    /// The candidate at a position; positions wrap around at the end of the list.
    fn candidate(&self, class: usize, zone_choice: ZoneChoice, position: usize) -> usize {
        let candidates = self.subset.candidates(class, zone_choice);
        candidates[position % candidates.len()]
    }

    /// Whether an endpoint may receive this attempt now. In slow start, this adds to the endpoint's
    /// send tokens and discards expired ones.
    fn may_send(&mut self, index: usize, criteria: &PickCriteria) -> bool {
        if self.is_excluded(index, criteria) {
            return false;
        }
        let capacity_fraction = self.capacity_fraction(index, criteria.now);
        if capacity_fraction >= 1.0 {
            return true;
        }
        let rate = send_rate(&self.settings, criteria.even_rate, capacity_fraction);
        let window = self.settings.slow_start_overload_window;
        self.slots[index]
            .send_tokens
            .refill(rate, window, criteria.now)
    }

    fn is_excluded(&self, index: usize, criteria: &PickCriteria) -> bool {
        let endpoint = &self.slots[index].endpoint;
        let constraint = criteria.retry_constraint;
        let meets_constraint = constraint.is_none_or(|constraint| constraint.allows(endpoint));
        criteria.previous == Some(index)
            || !meets_constraint
            || self.is_overloaded(index, criteria.now)
            || (!criteria.is_last_resort && self.is_avoided(index, criteria.now))
    }

    /// Compares by requests in flight, then by relative latency, then by the time of last use.
    fn is_less_busy(&self, index: usize, other: usize, now: Millis) -> bool {
        let one = &self.slots[index];
        let two = &self.slots[other];
        match one.in_flight.count().cmp(&two.in_flight.count()) {
            Ordering::Less => return true,
            Ordering::Greater => return false,
            Ordering::Equal => {}
        }
        let one_latency = one.faded_relative_latency(now);
        let two_latency = two.faded_relative_latency(now);
        if one_latency > SLOWER_RATIO * two_latency {
            return false;
        }
        if two_latency > SLOWER_RATIO * one_latency {
            return true;
        }
        one.last_used_at() < two.last_used_at()
    }
}
