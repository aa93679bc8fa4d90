//! The learned capacity of the next tier, and the requests in flight that it allows.
use crate::policy::latency::{initial_mean_latency, mean_objective, ON_TIME_FRACTION};
use crate::settings::Settings;
use crate::time::Millis;

/// Period at which limits and capacity are recomputed.
pub(super) const ADMISSION_CYCLE: Millis = 1000.0;
/// Weight of a complete cycle in means over cycles: one replica sees few requests of a tenant per cycle.
pub(super) const CYCLE_GAIN: f64 = 0.3;
const MS_PER_SECOND: Millis = 1000.0;

/// Mean latency ratio at which capacity does not change: heavy requests and slow endpoints cause that much in
/// any case.
const STEADY_LATENCY_RATIO: f64 = 0.08;
/// Initial capacity below the first tier, as a multiple of the stated quotas: a rejection there wastes the
/// work of the tiers above.
const INITIAL_MULTIPLE_BELOW_FIRST_TIER: f64 = 4.0;
/// Initial capacity per cycle if no quotas are stated.
const INITIAL_CAPACITY_WITHOUT_QUOTAS: f64 = 1000.0;
const MIN_QUOTA_PER_CYCLE: f64 = 0.1;

/// Growth of capacity per cycle when no response is late.
const CAPACITY_GROWTH: f64 = 0.2;
/// Reduction of capacity per cycle, as a fraction of it, for each unit by which the mean latency ratio exceeds
/// [`STEADY_LATENCY_RATIO`].
const CAPACITY_REDUCTION: f64 = 0.6;
const MAX_CAPACITY_REDUCTION: f64 = 0.35;
/// Fewest responses in a cycle that change capacity.
const MIN_RESPONSES: f64 = 4.0;
/// Capacity is at most this multiple of the recent peak of admitted requests.
const CAPACITY_HEADROOM: f64 = 2.0;
/// Fraction of the peak that is kept each cycle.
const PEAK_RETENTION: f64 = 0.95;

/// Fraction of responses within objective below which the minimum capacity drops below the stated quotas.
const WANTED_WITHIN_OBJECTIVE_FRACTION: f64 = 0.7;
/// Smallest minimum capacity, as a fraction of the stated quotas.
const MIN_CAPACITY_FRACTION: f64 = 0.3;

/// Requests in flight allowed beyond those that capacity needs: a replica cannot send fractions of a request.
const SPARE_IN_FLIGHT: f64 = 1.0;
/// Requests in flight that are always allowed: a replica with little traffic receives some in pairs by chance.
const MIN_IN_FLIGHT: f64 = 2.0;
/// Latency, as a multiple of the unloaded one, that the soft limit allows for. A higher latency shows a queue,
/// and overloaded endpoints stay slow for long.
const SOFT_LATENCY_MULTIPLE: f64 = 1.6;
/// The same for the soft limit where many replicas share the first tier.
const SOFT_LATENCY_MULTIPLE_SHARED: f64 = 1.0;
/// The same for the hard limit.
const HARD_LATENCY_MULTIPLE: f64 = 2.2;
/// The same for the hard limit where many replicas share the first tier.
const HARD_LATENCY_MULTIPLE_SHARED: f64 = 1.3;

/// Factor by which `quota_multiple`, the multiple of its even quota that one of many replicas may use, changes
/// per cycle.
const QUOTA_MULTIPLE_STEP: f64 = 1.5;
/// Growth per cycle of the unloaded latency.
const UNLOADED_LATENCY_GROWTH: f64 = 0.02;
/// Fraction of responses within objective from which the unloaded latency grows.
const MIN_FRACTION_FOR_LATENCY_GROWTH: f64 = 0.92;

/// Limits of requests in flight.
pub(super) struct InFlightLimits {
    /// With this many requests in flight or more, tenants above their limits are rejected.
    pub(super) soft: f64,
    /// With this many requests in flight or more, all requests are rejected.
    pub(super) hard: f64,
}

/// The responses since capacity was last adapted to them.
#[derive(Default)]
struct ResponseSample {
    count: f64,
    within_objective: f64,
    latency_ratio_sum: f64,
}

/// This replica's part of the next tier's capacity. Rates are in requests per cycle.
pub(super) struct Capacity {
    per_cycle: f64,
    /// The stated quotas of all tenants, divided evenly among replicas.
    quota: f64,
    /// Multiple of `quota` that this replica may use, at least one.
    quota_multiple: f64,
    /// Smoothed fraction of responses within objective.
    within_objective_fraction: f64,
    /// Number of endpoints that accept requests and are neither ejected nor overloaded; one in slow start counts
    /// as its fraction of full capacity.
    endpoints: f64,
    max_endpoints: f64,
    admitted_mean: f64,
    admitted_peak: f64,
    responses: ResponseSample,
    /// Mean latency of responses to requests that did not queue.
    unloaded_latency: Millis,
    /// Largest latency that is on time for the mean objective.
    on_time_latency: Millis,
    /// Whether latency showed no queue when it was last recorded.
    has_no_queue: bool,
    /// Whether this replica sends to the first tier and quotas are stated.
    has_first_tier_quotas: bool,
    /// Number of replicas if they share the first tier and quotas are stated; otherwise one.
    sharing_replicas: f64,
}

impl Capacity {
    pub(super) fn new(settings: &Settings, quota_per_second: f64) -> Self {
        let replicas = f64::from(settings.replica_count);
        let replica_quota_per_second = quota_per_second / replicas;
        let multiple = if settings.tier == 0 {
            1.0
        } else {
            INITIAL_MULTIPLE_BELOW_FIRST_TIER
        };
        let initial = multiple * replica_quota_per_second * ADMISSION_CYCLE / MS_PER_SECOND;
        let has_first_tier_quotas = settings.tier == 0 && initial > 0.0;
        let quota = replica_quota_per_second * ADMISSION_CYCLE / MS_PER_SECOND;
        Capacity {
            per_cycle: if initial > 0.0 {
                initial
            } else {
                INITIAL_CAPACITY_WITHOUT_QUOTAS
            },
            quota: quota.max(MIN_QUOTA_PER_CYCLE),
            quota_multiple: 1.0,
            within_objective_fraction: 1.0,
            endpoints: 0.0,
            max_endpoints: 0.0,
            admitted_mean: initial,
            admitted_peak: initial,
            responses: ResponseSample::default(),
            unloaded_latency: initial_mean_latency(settings),
            on_time_latency: ON_TIME_FRACTION * mean_objective(settings),
            has_no_queue: false,
            has_first_tier_quotas,
            sharing_replicas: if has_first_tier_quotas { replicas } else { 1.0 },
        }
    }

    pub(super) fn per_cycle(&self) -> f64 {
        self.per_cycle
    }

    /// Smoothed number of requests admitted per cycle.
    pub(super) fn admitted_mean(&self) -> f64 {
        self.admitted_mean
    }

    /// Whether so many responses are late or failed that capacity may drop below the stated quotas.
    pub(super) fn is_degraded(&self) -> bool {
        self.within_objective_fraction < WANTED_WITHIN_OBJECTIVE_FRACTION
    }

    /// Limits of requests in flight. Requests beyond those that capacity needs at the unloaded latency wait in
    /// queues, long before a late response shows a queue.
    pub(super) fn in_flight_limits(&self) -> InFlightLimits {
        let soft_multiple = self.blend(SOFT_LATENCY_MULTIPLE, SOFT_LATENCY_MULTIPLE_SHARED);
        let hard_alone = (self.unloaded_latency * HARD_LATENCY_MULTIPLE).max(self.on_time_latency);
        let hard_shared = self.unloaded_latency * HARD_LATENCY_MULTIPLE_SHARED;
        InFlightLimits {
            soft: self.in_flight_limit(self.unloaded_latency * soft_multiple),
            hard: self.in_flight_limit(self.blend(hard_alone, hard_shared)),
        }
    }

    /// Number of requests in flight at the allowed rate and this latency.
    fn in_flight_limit(&self, latency: Millis) -> f64 {
        let quota_rate = self.quota * self.endpoint_fraction() * self.quota_multiple;
        let rate = if self.has_first_tier_quotas {
            self.per_cycle.min(quota_rate)
        } else {
            self.per_cycle
        };
        let spare = self.blend(SPARE_IN_FLIGHT, 0.0);
        (rate / ADMISSION_CYCLE * latency + spare).max(MIN_IN_FLIGHT)
    }

    /// Blends the value for a single replica with that for many. One replica spreads its requests evenly over
    /// endpoints; many replicas load them unevenly by chance, and each may use its full limit.
    fn blend(&self, alone: f64, shared: f64) -> f64 {
        shared + (alone - shared) / self.sharing_replicas
    }

    /// Whether requests should go to other zones, because the endpoints in this replica's zone have as many
    /// requests in flight as their part of the quota needs. `local_endpoint_ratio` is that part; it may exceed one.
    pub(super) fn exceeds_local_quota(
        &self,
        local_in_flight: f64,
        local_endpoint_ratio: f64,
    ) -> bool {
        let even_in_flight = self.quota * self.endpoint_fraction() * local_endpoint_ratio
            / ADMISSION_CYCLE
            * self.unloaded_latency;
        self.has_first_tier_quotas && local_in_flight >= even_in_flight.max(MIN_IN_FLIGHT)
    }

    /// Requests per cycle that this replica sends to all endpoints: the mean of the admitted ones, but no more
    /// than the stated quotas.
    pub(super) fn sent_per_cycle(&self, accepting_fraction: f64) -> f64 {
        let quota_limit = if self.has_first_tier_quotas {
            self.quota * accepting_fraction
        } else {
            f64::INFINITY
        };
        quota_limit.min(self.admitted_mean)
    }

    /// Updates the unloaded latency, which is the smallest mean latency of the recent past, and reduces the
    /// multiple of the quota in an overload. The unloaded latency grows only while enough responses are within
    /// objective: in an overload, higher limits would keep endpoints overloaded.
    pub(super) fn record_latency(&mut self, latency: Millis) {
        let enough_within_objective =
            self.within_objective_fraction >= MIN_FRACTION_FOR_LATENCY_GROWTH;
        self.has_no_queue = enough_within_objective
            && latency <= self.unloaded_latency * HARD_LATENCY_MULTIPLE_SHARED;
        let is_overloaded =
            !enough_within_objective || latency > self.unloaded_latency * SOFT_LATENCY_MULTIPLE;
        if is_overloaded {
            self.quota_multiple = (self.quota_multiple / QUOTA_MULTIPLE_STEP).max(1.0);
        }
        if enough_within_objective {
            self.unloaded_latency *= 1.0 + UNLOADED_LATENCY_GROWTH;
        }
        self.unloaded_latency = self.unloaded_latency.min(latency);
    }

    /// Changes capacity at once in proportion to the number of endpoints that accept requests and are neither
    /// ejected nor overloaded.
    pub(super) fn record_endpoints(&mut self, endpoints: f64) {
        if endpoints > 0.0 {
            if self.endpoints > 0.0 {
                let change = endpoints / self.endpoints;
                self.per_cycle *= change;
                self.admitted_peak *= change;
            }
            self.endpoints = endpoints;
            self.max_endpoints = self.max_endpoints.max(endpoints);
        }
    }

    pub(super) fn record_response(&mut self, latency_ratio: f64) {
        self.responses.within_objective += f64::from(latency_ratio < 1.0);
        self.responses.latency_ratio_sum += latency_ratio;
        self.responses.count += 1.0;
    }

    /// Updates the mean of admitted requests per cycle; `gain` is the weight of the newest cycle.
    pub(super) fn record_admitted(&mut self, admitted: f64, gain: f64) {
        self.admitted_mean += gain * (admitted - self.admitted_mean);
    }

    /// Computes the capacity of the next cycle. `rejected_within_limit`: whether a tenant within its limit was
    /// rejected.
    pub(super) fn end_cycle(&mut self, admitted: f64, rejected_within_limit: bool) {
        self.admitted_peak = admitted.max(self.admitted_peak * PEAK_RETENTION);
        if self.responses.count >= MIN_RESPONSES {
            self.adapt(admitted);
        }
        if rejected_within_limit {
            self.record_rejection_within_limit(admitted);
        }
        self.per_cycle = self
            .per_cycle
            .min(self.admitted_peak * CAPACITY_HEADROOM + 1.0)
            .max(self.minimum());
    }

    fn record_rejection_within_limit(&mut self, admitted: f64) {
        if self.has_no_queue && self.quota_multiple < self.sharing_replicas {
            // Clients are spread unevenly over replicas: this one has more than its quota, and endpoints have
            // spare capacity.
            self.quota_multiple =
                (self.quota_multiple * QUOTA_MULTIPLE_STEP).min(self.sharing_replicas);
            self.per_cycle = self.per_cycle.max(self.admitted_peak) * QUOTA_MULTIPLE_STEP;
        } else {
            // The limits together exceed what the tier can serve. Reduce capacity, and the limits with it, so that
            // the limits decide which tenant is rejected.
            self.per_cycle = self.per_cycle.min(admitted);
        }
    }

    /// Changes capacity according to the latency of the responses since the last change.
    fn adapt(&mut self, admitted: f64) {
        let responses = std::mem::take(&mut self.responses);
        let mean = responses.latency_ratio_sum / responses.count;
        let within_objective_fraction = responses.within_objective / responses.count;
        self.within_objective_fraction +=
            CYCLE_GAIN * (within_objective_fraction - self.within_objective_fraction);
        if mean > STEADY_LATENCY_RATIO {
            let reduction = CAPACITY_REDUCTION * (mean - STEADY_LATENCY_RATIO);
            let kept = 1.0 - reduction.min(MAX_CAPACITY_REDUCTION);
            self.per_cycle = (self.per_cycle * kept).max(self.minimum());
        } else {
            let growth = 1.0 + CAPACITY_GROWTH * (1.0 - mean / STEADY_LATENCY_RATIO);
            self.per_cycle = self.per_cycle.max(admitted) * growth;
        }
    }

    /// `endpoints` as a fraction of its largest value so far; 1 while both are zero.
    fn endpoint_fraction(&self) -> f64 {
        // `min` returns 1 for the NaN of zero divided by zero.
        (self.endpoints / self.max_endpoints).min(1.0)
    }

    /// The minimum capacity: the stated quotas, reduced if many responses are late or endpoints are missing.
    fn minimum(&self) -> f64 {
        let fraction = (self.within_objective_fraction / WANTED_WITHIN_OBJECTIVE_FRACTION)
            .clamp(MIN_CAPACITY_FRACTION, 1.0);
        self.quota * self.endpoint_fraction() * fraction
    }
}
