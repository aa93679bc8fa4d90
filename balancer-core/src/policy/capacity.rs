//! The learned capacity of the next tier, and the requests in flight that it allows.
use super::*;

/// Mean latency ratio at which capacity stays: the tail that heavy work and slow servers have anyway.
const LATENCY_RATIO_STEADY: f64 = 0.08;
/// Capacity before anything was learned: in the first tier the stated quotas, below it this multiple of them.
const INITIAL_MULTIPLE_BELOW: f64 = 4.0;
/// Growth of capacity per cycle when no response is late; its fall per unit of latency ratio, and at most.
const CAPACITY_GROWTH: f64 = 0.2;
const CAPACITY_FALL: f64 = 0.6;
const CAPACITY_FALL_MAX: f64 = 0.35;
/// Share of responses in time below which the floor at the stated quotas gives way; and its least share.
pub(super) const SUCCESS_WANTED: f64 = 0.7;
const FLOOR_MIN: f64 = 0.3;
const RESPONSES_MIN: f64 = 4.0;
/// Requests in flight allowed beyond what capacity takes, since a replica cannot send parts of a request.
const INFLIGHT_SPARE: f64 = 1.0;
/// Latency, as a multiple of the unloaded one, at which requests in flight are what capacity takes, and at
/// which tenants within limits are rejected too. More is a queue, and overloaded servers slow for long.
const INFLIGHT_FULL: f64 = 1.6;
const INFLIGHT_HARD: f64 = 2.2;
/// The latter where many replicas share the first tier; there the former is the unloaded latency itself.
const INFLIGHT_HARD_SHARED: f64 = 1.3;
/// Requests in flight always allowed: a replica that carries little gets them in pairs by chance.
const INFLIGHT_MIN: f64 = 2.0;
/// Growth per cycle of what one of many replicas may carry beyond an even share of the quotas, and its fall.
const QUOTA_MULTIPLE_STEP: f64 = 1.5;
/// Growth per cycle of the unloaded latency, the least mean of late; share of responses in time for that.
const UNLOADED_GROWTH: f64 = 0.02;
const UNLOADED_SUCCESS: f64 = 0.92;
/// Capacity stays within this multiple of the recent peak admitted, of which this much is kept each cycle.
const CAPACITY_HEADROOM: f64 = 2.0;
const PEAK_KEPT: f64 = 0.95;

/// This replica's share of the next tier's capacity. Rates are in requests per cycle.
#[derive(Default)]
pub(super) struct Capacity {
    pub(super) per_cycle: f64,
    pub(super) quota: f64,
    pub(super) success: f64,
    endpoints: f64,
    endpoints_max: f64,
    pub(super) admitted_mean: f64,
    admitted_peak: f64,
    responses: f64,
    latency_ratios: f64,
    in_time: f64,
    /// Mean latency of responses that did not queue; latency on time for a mean class; whether none queue.
    unloaded: Millis,
    on_time: Millis,
    unqueued: bool,
    /// Whether clients come here first, with quotas stated; and the replicas that share these.
    pub(super) first_tier: bool,
    replicas: f64,
    quota_multiple: f64,
}

impl Capacity {
    pub(super) fn new(settings: &Settings, quota_per_s: f64) -> Self {
        let replicas = f64::from(settings.balancers);
        let quota = quota_per_s / replicas;
        // Tiers below start with more room: a rejection there wastes the work done above.
        let multiple = if settings.tier == 0 {
            1.0
        } else {
            INITIAL_MULTIPLE_BELOW
        };
        let stated = multiple * quota * CYCLE / 1000.0;
        let first_tier = settings.tier == 0 && stated > 0.0;
        let objective = mean_objective(settings);
        let (unloaded, on_time) = (objective / 4.0, ON_TIME * objective);
        // Without stated quotas nothing is known: the first cycle rejects no one, shows what is carried.
        let per_cycle = if stated > 0.0 { stated } else { 1000.0 };
        let quota = (quota * CYCLE / 1000.0).max(0.1);
        let replicas = if first_tier { replicas } else { 1.0 };
        let ratios = Capacity {
            success: 1.0,
            quota_multiple: 1.0,
            ..Capacity::default()
        };
        let rates = Capacity {
            per_cycle,
            quota,
            admitted_mean: stated,
            admitted_peak: stated,
            ..ratios
        };
        Capacity {
            unloaded,
            on_time,
            first_tier,
            replicas,
            ..rates
        }
    }

    /// Requests in flight at which tenants above their limits are rejected, and at which all are. More than
    /// capacity takes in the unloaded latency wait somewhere, long before late responses tell of it.
    pub(super) fn inflight_limits(&self) -> (f64, f64) {
        let stated = self.quota * self.endpoint_share() * self.quota_multiple;
        let rate = if self.first_tier {
            self.per_cycle.min(stated)
        } else {
            self.per_cycle
        };
        // One replica keeps endpoints level; many load them by chance, and all hold as much as they may.
        let blend = |alone: f64, shared: f64| shared + (alone - shared) / self.replicas;
        let limit = |latency: Millis| {
            (rate / CYCLE * latency + blend(INFLIGHT_SPARE, 0.0)).max(INFLIGHT_MIN)
        };
        let hard_alone = (self.unloaded * INFLIGHT_HARD).max(self.on_time);
        let hard = blend(hard_alone, self.unloaded * INFLIGHT_HARD_SHARED);
        (
            limit(self.unloaded * blend(INFLIGHT_FULL, 1.0)),
            limit(hard),
        )
    }

    /// Whether the own zone is full for this replica: others idle where clients come unevenly.
    pub(super) fn spills(&self, local_inflight: f64, local_share: f64) -> bool {
        let even = self.quota * self.endpoint_share() * local_share / CYCLE * self.unloaded;
        self.first_tier && local_inflight >= even.max(INFLIGHT_MIN)
    }

    /// Unloaded latency: the least mean of late. Let up in a jam, it would keep overloaded servers so.
    pub(super) fn record_latency(&mut self, latency: Millis) {
        let succeeds = self.success >= UNLOADED_SUCCESS;
        self.unqueued = succeeds && latency <= self.unloaded * INFLIGHT_HARD_SHARED;
        let jams = !succeeds || latency > self.unloaded * INFLIGHT_FULL;
        let fallen = (self.quota_multiple / QUOTA_MULTIPLE_STEP).max(1.0);
        self.quota_multiple = if jams { fallen } else { self.quota_multiple };
        let growth = if succeeds { 1.0 + UNLOADED_GROWTH } else { 1.0 };
        self.unloaded = (self.unloaded * growth).min(latency);
    }

    /// Capacity goes at once with the endpoints that take requests.
    pub(super) fn record_endpoints(&mut self, endpoints: f64) {
        if endpoints > 0.0 {
            let change = if self.endpoints > 0.0 {
                endpoints / self.endpoints
            } else {
                1.0
            };
            (self.per_cycle, self.admitted_peak) =
                (self.per_cycle * change, self.admitted_peak * change);
            (self.endpoints, self.endpoints_max) = (endpoints, self.endpoints_max.max(endpoints));
        }
    }

    pub(super) fn record_response(&mut self, latency_ratio: f64) {
        self.in_time += f64::from(u8::from(latency_ratio < 1.0));
        self.latency_ratios += latency_ratio;
        self.responses += 1.0;
    }

    pub(super) fn end_cycle(&mut self, admitted: f64, rejected_within_limit: bool) {
        self.admitted_peak = admitted.max(self.admitted_peak * PEAK_KEPT);
        if self.responses >= RESPONSES_MIN {
            self.adapt(admitted);
        }
        if rejected_within_limit && self.unqueued && self.quota_multiple < self.replicas {
            // Clients come unevenly: more than an even share, and endpoints have room.
            self.quota_multiple = (self.quota_multiple * QUOTA_MULTIPLE_STEP).min(self.replicas);
            self.per_cycle = self.per_cycle.max(self.admitted_peak) * QUOTA_MULTIPLE_STEP;
        } else if rejected_within_limit {
            // More is lent than can be carried: back to that, so that limits decide who is rejected.
            self.per_cycle = self.per_cycle.min(admitted);
        }
        self.per_cycle = self
            .per_cycle
            .min(self.admitted_peak * CAPACITY_HEADROOM + 1.0)
            .max(self.floor());
    }

    fn adapt(&mut self, admitted: f64) {
        let mean = self.latency_ratios / self.responses;
        self.success += DEMAND_GAIN * (self.in_time / self.responses - self.success);
        if mean > LATENCY_RATIO_STEADY {
            let fall = (CAPACITY_FALL * (mean - LATENCY_RATIO_STEADY)).min(CAPACITY_FALL_MAX);
            self.per_cycle = (self.per_cycle * (1.0 - fall)).max(self.floor());
        } else {
            let growth = 1.0 + CAPACITY_GROWTH * (1.0 - mean / LATENCY_RATIO_STEADY);
            self.per_cycle = self.per_cycle.max(admitted) * growth;
        }
        (self.latency_ratios, self.in_time, self.responses) = (0.0, 0.0, 0.0);
    }

    /// What takes requests, as a share of the most that did. (`min` passes over the NaN before any did.)
    fn endpoint_share(&self) -> f64 {
        (self.endpoints / self.endpoints_max).min(1.0)
    }

    /// Least capacity: the stated quotas, less where most responses are late and where endpoints went away.
    fn floor(&self) -> f64 {
        self.quota * self.endpoint_share() * (self.success / SUCCESS_WANTED).clamp(FLOOR_MIN, 1.0)
    }
}
