//! The subset of endpoints that this replica uses, so that connections stay few; and the pick for an attempt.
use super::*;

/// Requests an endpoint of the subset should get per idle period, so that its connections stay open.
const REQUESTS_PER_IDLE: f64 = 4.0;
/// Endpoints in the subset for each request in flight: two choices then find one that holds none.
const SUBSET_SPREAD: f64 = 2.0;
/// Never fewer endpoints in the subset than this, so that a few that fail leave enough to choose from.
const SUBSET_MIN: usize = 8;
/// A crossing priced below this share of a request's worth costs less than unevenness: zones are ignored.
const CROSSING_CHEAP: f64 = 0.008;
/// Random draws before a search of all candidates, should they miss the few endpoints that will do.
const DRAWS: usize = 6;
/// Ratio of latencies that decides between two equally busy endpoints; how long a learned latency counts.
const SLOWER_RATIO: f64 = 1.25;
const SLOWNESS_KEPT: Millis = 5000.0;
/// Share of what slow start allows that is used; the rest absorbs chance and requests heavier than average.
const SLOW_START_MARGIN: f64 = 0.5;

/// What an attempt needs.
#[derive(Clone, Copy)]
pub(super) struct PickRequest {
    pub(super) now: Millis,
    pub(super) class: usize,
    /// Requests per millisecond that this replica sends each warm endpoint.
    pub(super) even_rate: f64,
    pub(super) avoid: Option<usize>,
    /// Nothing better is left: ejected and unresponsive endpoints will do, but no overloaded ones.
    pub(super) last_resort: bool,
    /// A repeat of a guarded request: only these may discard it.
    pub(super) repeat: Option<(DedupScope, FirstRun)>,
}

/// Whether requests of a class may go to a member at all.
fn admits(class: &Class, member: &Endpoint) -> bool {
    class
        .allowed_zones
        .as_ref()
        .is_none_or(|zones| zones.contains(&member.zone))
        && class
            .allowed_kinds
            .as_ref()
            .is_none_or(|kinds| kinds.contains(&member.kind))
}

/// A stable spread of ids over a ring, the same at every balancer.
fn ring_position(id: UpstreamId) -> u64 {
    let mixed = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn aperture(ring: &[usize], size: usize, settings: &Settings) -> Vec<usize> {
    let start =
        ring.len() * (settings.index % settings.balancers) as usize / settings.balancers as usize;
    (0..ring.len().min(size))
        .map(|offset| ring[(start + offset) % ring.len()])
        .collect()
}

impl Endpoints {
    pub(super) fn choose_subset(&mut self) {
        let mut ring: Vec<usize> = self
            .by_id
            .values()
            .copied()
            .filter(|&i| self.is_open(i))
            .collect();
        // Groups stand together on it, so that a guarded request finds others of its group in the subset.
        ring.sort_by_key(|&index| {
            let member = &self.slots[index].member;
            (
                ring_position(UpstreamId(member.group.into())),
                ring_position(member.id),
                member.id,
            )
        });
        self.ready = ring.len();
        self.ready_max = self.ready_max.max(self.ready);
        let settings = &self.settings;
        let is_local = |&index: &usize| self.slots[index].member.zone == settings.zone;
        let zones: BTreeSet<u16> = ring
            .iter()
            .map(|&index| self.slots[index].member.zone)
            .collect();
        let local = ring.iter().filter(|index| is_local(index)).count() as f64;
        let shares = f64::from(settings.balancers).min(zones.len() as f64);
        self.local_share = local / (ring.len() as f64).max(1.0) * shares;
        let zoned = settings.cross_zone_price >= CROSSING_CHEAP;
        let candidates = settings.classes.iter().map(|class| {
            let allowed = ring
                .iter()
                .copied()
                .filter(|&index| admits(class, &self.slots[index].member));
            let (local, remote): (Vec<_>, Vec<_>) =
                allowed.partition(|index| !zoned || is_local(index));
            [local, remote].map(|ring| aperture(&ring, self.subset_size, settings))
        });
        self.candidates = candidates.collect();
    }

    /// The subset follows the traffic that keeps its connections open; small changes are not worth new ones.
    pub(super) fn resize_subset(&mut self, requests_per_cycle: f64) {
        let per_rate =
            (self.latency.mean * SUBSET_SPREAD).min(self.settings.idle_close / REQUESTS_PER_IDLE);
        let wanted = ((requests_per_cycle / CYCLE * per_rate).min(1e6) as usize).max(SUBSET_MIN);
        if wanted * 4 < self.subset_size * 3 || wanted * 3 > self.subset_size * 4 {
            self.subset_size = wanted;
            self.choose_subset();
        }
    }

    /// Picks from the own zone's endpoints, or from the others if `remote`.
    pub(super) fn pick(
        &mut self,
        remote: bool,
        request: &PickRequest,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let zones = usize::from(remote);
        let count @ 1.. = self.candidates[request.class][zones].len() else {
            return None;
        };
        let start = below(rng, count);
        let at = |this: &Self, k: usize| this.candidates[request.class][zones][k % count];
        // What slow start allows lapses: thin traffic would hardly ever draw such an endpoint in time.
        let searched = if request.now < self.slow_start_ends {
            count
        } else {
            0
        };
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
            match first {
                _ if (first == Some(index) && count > 1) || !self.may_send(index, request) => {}
                Some(other) if self.is_less_busy(index, other, request.now) => return Some(index),
                Some(_) => return first,
                None => first = Some(index),
            }
        }
        let mut rest = start + DRAWS..start + DRAWS + count;
        first
            .or_else(|| rest.find_map(|k| Some(at(self, k)).filter(|&i| self.may_send(i, request))))
    }

    /// Whether an endpoint may be sent this attempt now, also within its slow start.
    fn may_send(&mut self, index: usize, request: &PickRequest) -> bool {
        let now = request.now;
        let member = &self.slots[index].member;
        let discards_repeat = match request.repeat {
            Some((DedupScope::Zone, first_run)) => member.zone == first_run.zone,
            Some((DedupScope::Group, first_run)) => member.group == first_run.group,
            _ => true,
        };
        let excluded =
            request.avoid == Some(index) || !discards_repeat || self.is_overloaded(index, now);
        let avoided = excluded || (!request.last_resort && self.is_avoided(index, now));
        let warmth = self.warmth(index, now);
        if avoided || warmth >= 1.0 {
            return !avoided;
        }
        let rate = request.even_rate
            * (SLOW_START_MARGIN * self.settings.slow_start_overload_factor * warmth).min(1.0);
        let endpoint = &mut self.slots[index];
        endpoint.tokens += rate * (now - endpoint.tokens_at);
        endpoint.tokens_at = now;
        // Unused tokens lapse: saved up, they would be spent at once.
        let excess = endpoint.tokens.fract();
        let token =
            endpoint.tokens >= 1.0 && excess < rate * self.settings.slow_start_overload_window;
        endpoint.tokens = if token { excess + 1.0 } else { excess };
        token
    }

    /// By own requests in flight; of equals the one clearly faster of late, else the one used longest ago.
    fn is_less_busy(&self, index: usize, other: usize, now: Millis) -> bool {
        let (one, two) = (&self.slots[index], &self.slots[other]);
        // What was learned fades, so that one that was slow is tried again.
        let fade = |endpoint: &EndpointState| (-(now - endpoint.last_used) / SLOWNESS_KEPT).exp();
        let slow = |endpoint: &EndpointState| 1.0 + (endpoint.slowness - 1.0) * fade(endpoint);
        match one.inflight.cmp(&two.inflight) {
            Ordering::Equal if slow(one) > SLOWER_RATIO * slow(two) => false,
            Ordering::Equal if slow(two) > SLOWER_RATIO * slow(one) => true,
            Ordering::Equal => one.last_used < two.last_used,
            order => order == Ordering::Less,
        }
    }
}
