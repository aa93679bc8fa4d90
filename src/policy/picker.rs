//! Picks the endpoint of an attempt: the less busy of two random ones that may be sent it.
use super::*;

/// Random draws before a search of the whole pool, should they miss the few endpoints that will do.
const DRAWS: usize = 6;
/// Ratio of latencies that decides between two endpoints that hold as many requests.
const SLOWER_RATIO: f64 = 1.25;
/// How long what was learned of an endpoint's latency counts.
const SLOWNESS_KEPT: Millis = 5000.0;
/// Share of what slow start allows that is used; the rest absorbs chance and requests heavier than average.
const SLOW_START_MARGIN: f64 = 0.5;

/// What an attempt needs.
#[derive(Clone, Copy)]
pub(super) struct PickRequest {
    pub(super) now: Millis,
    pub(super) pool: usize,
    /// Requests per millisecond that this replica sends each warm endpoint.
    pub(super) even_rate: f64,
    pub(super) avoid: Option<usize>,
    /// Nothing better is left: ejected and unresponsive endpoints will do, but no overloaded ones.
    pub(super) last_resort: bool,
    /// A repeat of a guarded request: only these may discard it.
    pub(super) repeat: Option<(DedupScope, FirstRun)>,
}

impl Endpoints {
    /// Picks from the own zone's endpoints, or from the others if `remote`.
    pub(super) fn pick(&mut self, remote: bool, request: &PickRequest, rng: &mut Pcg64Mcg) -> Option<usize> {
        let zones = usize::from(remote);
        let count = self.pools[request.pool].endpoints[zones].len();
        if count == 0 {
            return None;
        }
        let start = below(rng, count);
        let at = |this: &Self, k: usize| this.pools[request.pool].endpoints[zones][k % count];
        // What slow start allows lapses: thin traffic would hardly ever draw such an endpoint in time.
        let searched = if request.now < self.slow_start_ends { count } else { 0 };
        for k in start..start + searched {
            let index = at(self, k);
            let unused = self.slots[index].inflight == 0 && self.warmth(index, request.now) < 1.0;
            if unused && self.may_send(index, request) {
                return Some(index);
            }
        }
        let mut first = None;
        for _ in 0..DRAWS {
            let index = at(self, below(rng, count));
            if (first == Some(index) && count > 1) || !self.may_send(index, request) {
                continue;
            }
            match first {
                Some(other) if self.is_less_busy(index, other, request.now) => return Some(index),
                Some(_) => return first,
                None => first = Some(index),
            }
        }
        let mut rest = start + DRAWS..start + DRAWS + count;
        first.or_else(|| rest.find_map(|k| Some(at(self, k)).filter(|&i| self.may_send(i, request))))
    }

    /// Whether an endpoint may be sent this attempt now, also within its slow start.
    fn may_send(&mut self, index: usize, request: &PickRequest) -> bool {
        let now = request.now;
        let member = &self.slots[index].member;
        let discards_repeat = match request.repeat {
            Some((DedupScope::Zone, first_run)) => member.zone == first_run.zone,
            Some((DedupScope::Cell, first_run)) => member.group == first_run.group,
            _ => true,
        };
        if request.avoid == Some(index) || !discards_repeat || self.is_overloaded(index, now) {
            return false;
        }
        let avoided = !request.last_resort && self.is_avoided(index, now);
        let warmth = self.warmth(index, now);
        if avoided || warmth >= 1.0 {
            return !avoided;
        }
        let rate = request.even_rate * (SLOW_START_MARGIN * self.settings.tip_multiple * warmth).min(1.0);
        let endpoint = &mut self.slots[index];
        endpoint.tokens += rate * (now - endpoint.tokens_at);
        endpoint.tokens_at = now;
        // Unused tokens lapse: saved up, they would be spent at once.
        let excess = endpoint.tokens.fract();
        let token = endpoint.tokens >= 1.0 && excess < rate * self.settings.tip_window;
        endpoint.tokens = if token { excess + 1.0 } else { excess };
        token
    }

    /// By own requests in flight. A replica that carries little mostly compares zeros: then the one whose
    /// responses took clearly less of late, for slow and overloaded servers; else the one used longest ago.
    fn is_less_busy(&self, index: usize, other: usize, now: Millis) -> bool {
        let (one, two) = (&self.slots[index], &self.slots[other]);
        // What was learned fades, so that one that was slow is tried again.
        let fade = |endpoint: &Endpoint| (-(now - endpoint.last_used) / SLOWNESS_KEPT).exp();
        let slow = |endpoint: &Endpoint| 1.0 + (endpoint.slowness - 1.0) * fade(endpoint);
        match one.inflight.cmp(&two.inflight) {
            Ordering::Equal if slow(one) > SLOWER_RATIO * slow(two) => false,
            Ordering::Equal if slow(two) > SLOWER_RATIO * slow(one) => true,
            Ordering::Equal => one.last_used < two.last_used,
            order => order == Ordering::Less,
        }
    }
}
