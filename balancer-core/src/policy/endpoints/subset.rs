//! The subset of endpoints that this replica uses, so that it keeps few connections open.
use crate::class::Class;
use crate::endpoint::{Endpoint, UpstreamId};
use crate::policy::capacity::ADMISSION_CYCLE;
use crate::settings::Settings;
use crate::time::Millis;
use std::collections::BTreeSet;

/// Requests that each endpoint of the subset should receive per `idle_close` period, so that its connections
/// stay open.
const REQUESTS_PER_IDLE_PERIOD: f64 = 4.0;
/// Endpoints of the subset per request in flight, so that random picks find an endpoint without requests in
/// flight.
const ENDPOINTS_PER_REQUEST_IN_FLIGHT: f64 = 2.0;
/// Smallest subset, so that enough endpoints remain when a few fail.
const MIN_SUBSET: usize = 8;
const MAX_SUBSET: f64 = 1e6;
/// Below this price, as a fraction of a request's value, a zone crossing costs less than uneven load: zones are
/// ignored.
const CHEAP_CROSSING_PRICE: f64 = 0.008;

/// An endpoint that accepts requests, with its index in the table.
pub(super) struct RingEntry<'a> {
    pub(super) index: usize,
    pub(super) endpoint: &'a Endpoint,
}

impl RingEntry<'_> {
    /// Position on the ring, the same at every balancer. Endpoints of a group are neighbours, so that the
    /// subset holds other endpoints of the group for retries with an idempotency key.
    fn ring_key(&self) -> (u64, u64, UpstreamId) {
        let group = UpstreamId(self.endpoint.group.into());
        let id = self.endpoint.id;
        (ring_position(group), ring_position(id), id)
    }
}

/// Which endpoints of the subset to pick from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneChoice {
    /// Endpoints in this replica's zone; all endpoints if zones are ignored.
    Preferred,
    /// Endpoints in other zones; none if zones are ignored.
    Other,
}

/// The endpoints of the subset that one class may be sent to, as indices in the table.
struct Candidates {
    preferred: Vec<usize>,
    other: Vec<usize>,
}

/// The endpoints that this replica uses.
#[derive(Default)]
pub(super) struct Subset {
    /// Wanted number of endpoints per class and zone choice.
    size: usize,
    by_class: Vec<Candidates>,
    /// Number of endpoints in this replica's zone, divided by the number that it would have if the zones with
    /// replicas divided all endpoints evenly.
    local_endpoint_ratio: f64,
}

impl Subset {
    pub(super) fn candidates(&self, class: usize, zone_choice: ZoneChoice) -> &[usize] {
        let candidates = &self.by_class[class];
        match zone_choice {
            ZoneChoice::Preferred => &candidates.preferred,
            ZoneChoice::Other => &candidates.other,
        }
    }

    /// The largest number of candidates of a class, at least one.
    pub(super) fn max_candidates(&self) -> usize {
        self.by_class
            .iter()
            .map(|candidates| candidates.preferred.len() + candidates.other.len())
            .fold(1, usize::max)
    }

    pub(super) fn local_endpoint_ratio(&self) -> f64 {
        self.local_endpoint_ratio
    }

    /// Adapts the size so that the traffic keeps the connections open, and returns whether it changed. The size
    /// stays if the change is small: that is not worth new connections.
    pub(super) fn resize(
        &mut self,
        requests_per_cycle: f64,
        mean_latency: Millis,
        settings: &Settings,
    ) -> bool {
        let endpoints_per_request_per_ms = (mean_latency * ENDPOINTS_PER_REQUEST_IN_FLIGHT)
            .min(settings.idle_close / REQUESTS_PER_IDLE_PERIOD);
        let wanted = requests_per_cycle / ADMISSION_CYCLE * endpoints_per_request_per_ms;
        let wanted = (wanted.min(MAX_SUBSET) as usize).max(MIN_SUBSET);
        let is_resized = wanted * 4 < self.size * 3 || wanted * 3 > self.size * 4;
        if is_resized {
            self.size = wanted;
        }
        is_resized
    }

    /// Chooses the subset among the endpoints that accept requests.
    pub(super) fn choose(&mut self, mut ring: Vec<RingEntry>, settings: &Settings) {
        ring.sort_by_key(RingEntry::ring_key);
        self.local_endpoint_ratio = local_endpoint_ratio(&ring, settings);
        self.by_class = settings
            .classes
            .iter()
            .map(|class| self.class_candidates(class, &ring, settings))
            .collect();
    }

    fn class_candidates(
        &self,
        class: &Class,
        ring: &[RingEntry],
        settings: &Settings,
    ) -> Candidates {
        let respects_zones = settings.cross_zone_price >= CHEAP_CROSSING_PRICE;
        let mut preferred = Vec::new();
        let mut other = Vec::new();
        for entry in ring
            .iter()
            .filter(|entry| is_allowed(class, entry.endpoint))
        {
            if !respects_zones || entry.endpoint.zone == settings.zone {
                preferred.push(entry.index);
            } else {
                other.push(entry.index);
            }
        }
        Candidates {
            preferred: section(&preferred, self.size, settings),
            other: section(&other, self.size, settings),
        }
    }
}

/// Whether requests of a class may be sent to an endpoint.
fn is_allowed(class: &Class, endpoint: &Endpoint) -> bool {
    let zones = class.allowed_zones.as_ref();
    let kinds = class.allowed_kinds.as_ref();
    zones.is_none_or(|zones| zones.contains(&endpoint.zone))
        && kinds.is_none_or(|kinds| kinds.contains(&endpoint.kind))
}

fn local_endpoint_ratio(ring: &[RingEntry], settings: &Settings) -> f64 {
    let zones: BTreeSet<u16> = ring.iter().map(|entry| entry.endpoint.zone).collect();
    let local = ring
        .iter()
        .filter(|entry| entry.endpoint.zone == settings.zone)
        .count() as f64;
    let zones_with_replicas = f64::from(settings.replica_count).min(zones.len() as f64);
    local / (ring.len() as f64).max(1.0) * zones_with_replicas
}

/// This replica's section of the ring. The sections of all replicas cover the ring evenly.
fn section(ring: &[usize], size: usize, settings: &Settings) -> Vec<usize> {
    let replica = (settings.replica_index % settings.replica_count) as usize;
    let start = ring.len() * replica / settings.replica_count as usize;
    (0..ring.len().min(size))
        .map(|offset| ring[(start + offset) % ring.len()])
        .collect()
}

/// A stable position on the ring: a hash of an upstream's id, or of a group in the place of an id (the finalizer of
/// SplitMix64).
fn ring_position(id: UpstreamId) -> u64 {
    let mixed = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
