//! The subset of endpoints that this replica uses, as connections grow with replicas times servers.
use super::*;

/// Requests an endpoint of the subset should get per idle period, so that its connections stay open.
const REQUESTS_PER_IDLE: f64 = 4.0;
/// Endpoints in the subset for each request in flight: two choices then find one that holds none.
const SUBSET_SPREAD: f64 = 2.0;
/// Never fewer endpoints in the subset than this, so that a few that fail leave enough to choose from.
const SUBSET_MIN: usize = 8;
/// A crossing priced below this share of a request's worth costs less than unevenness: zones are ignored.
const CROSSING_CHEAP: f64 = 0.008;

/// Where classes of one placement may go; nothing else is ever a candidate.
#[derive(Default)]
pub(super) struct Pool {
    runs_in: Option<Vec<u16>>,
    kinds_only: Option<Vec<u8>>,
    pub(super) endpoints: [Vec<usize>; 2],
}

impl Pool {
    /// One pool for each placement that classes name, and the position of each class's pool.
    pub(super) fn of_classes(classes: &[Class]) -> (Vec<Pool>, Vec<usize>) {
        let (mut pools, mut pool_of_class): (Vec<Pool>, Vec<usize>) = Default::default();
        for Class { runs_in, kinds_only, .. } in classes.iter().cloned() {
            let same = |pool: &Pool| pool.runs_in == runs_in && pool.kinds_only == kinds_only;
            let known = pools.iter().position(same);
            pool_of_class.push(known.unwrap_or(pools.len()));
            if known.is_none() {
                pools.push(Pool { runs_in, kinds_only, ..Pool::default() });
            }
        }
        (pools, pool_of_class)
    }

    fn admits(&self, member: &Member) -> bool {
        self.runs_in.as_ref().is_none_or(|zones| zones.contains(&member.zone))
            && self.kinds_only.as_ref().is_none_or(|kinds| kinds.contains(&member.kind))
    }
}

/// A stable spread of ids over a ring, the same at every balancer.
fn ring_position(id: UpstreamId) -> u64 {
    let mixed = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn aperture(ring: &[usize], size: usize, settings: &Settings) -> Vec<usize> {
    let start = ring.len() * (settings.index % settings.balancers) as usize / settings.balancers as usize;
    (0..ring.len().min(size)).map(|offset| ring[(start + offset) % ring.len()]).collect()
}

impl Endpoints {
    pub(super) fn choose_subset(&mut self) {
        let mut ring: Vec<usize> =
            self.by_id.values().copied().filter(|&index| self.is_open(index)).collect();
        // Groups stand together on it, so that a guarded request finds others of its group in the subset.
        ring.sort_by_key(|&index| {
            let member = &self.slots[index].member;
            (ring_position(UpstreamId(member.group.into())), ring_position(member.id), member.id)
        });
        self.ready = ring.len();
        self.ready_max = self.ready_max.max(self.ready);
        let settings = &self.settings;
        let zone_of = |index: usize| self.slots[index].member.zone;
        let zones: BTreeSet<u16> = ring.iter().map(|&index| zone_of(index)).collect();
        let local = ring.iter().filter(|&&index| zone_of(index) == settings.zone).count() as f64;
        let shares = f64::from(settings.balancers).min(zones.len() as f64);
        self.local_share = local / (ring.len() as f64).max(1.0) * shares;
        let zoned = settings.cross_zone_price >= CROSSING_CHEAP;
        for pool in &mut self.pools {
            let allowed = ring.iter().copied().filter(|&index| pool.admits(&self.slots[index].member));
            let (local, remote): (Vec<_>, Vec<_>) =
                allowed.partition(|&index| !zoned || zone_of(index) == settings.zone);
            pool.endpoints = [local, remote].map(|ring| aperture(&ring, self.subset_size, settings));
        }
    }

    /// The subset follows the traffic that keeps its connections open; small changes are not worth new ones.
    pub(super) fn resize_subset(&mut self, requests_per_cycle: f64) {
        let per_rate = (self.latency.mean * SUBSET_SPREAD).min(self.settings.idle_close / REQUESTS_PER_IDLE);
        let wanted = ((requests_per_cycle / CYCLE * per_rate).min(1e6) as usize).max(SUBSET_MIN);
        if wanted * 4 < self.subset_size * 3 || wanted * 3 > self.subset_size * 4 {
            self.subset_size = wanted;
            self.choose_subset();
        }
    }
}
