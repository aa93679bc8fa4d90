//! Admission control: which requests are admitted, by tenants' limits, learned capacity and requests in flight.
use crate::policy::capacity::{Capacity, ADMISSION_CYCLE, CYCLE_GAIN};
use crate::policy::endpoints::AdmissionLoad;
use crate::policy::tenant_limits::tenant_limits;
use crate::settings::{Settings, Tenant};
use crate::time::Millis;

/// Fraction of a tenant's default limit that is never lent to other tenants.
const RESERVED_FRACTION: f64 = 0.1;
/// Largest unused limit that a tenant may save, as a number of cycles of its limit: the arrivals of a tenant with
/// few requests vary by chance.
const MAX_SAVED_CYCLES: f64 = 6.0;
/// Shortest part of a cycle from which capacity is learned.
const MIN_LEARNING_CYCLES: f64 = 0.5;

#[derive(Default)]
struct TenantState {
    weight: f64,
    /// Whether the tenant has ever sent a request.
    has_sent_requests: bool,
    /// Requests in this cycle, including rejected ones.
    requests: f64,
    /// Smoothed requests per cycle, including rejected ones.
    demand: f64,
    /// Part of the limit that admitted requests have used; negative if unused limit is saved.
    used_limit: f64,
    limit: f64,
}

impl TenantState {
    fn new(weight: f64) -> Self {
        TenantState {
            weight,
            ..TenantState::default()
        }
    }

    /// Demand from which the limit is computed: the mean plus one standard deviation, which is the square root of
    /// the mean for random arrivals. Counts are small, and a limit at the mean would reject requests of a steady
    /// tenant in half of the cycles.
    fn expected_demand(&self) -> f64 {
        self.demand + self.demand.sqrt()
    }

    fn record_demand(&mut self, elapsed_cycles: f64, gain: f64) {
        let requests = std::mem::take(&mut self.requests);
        self.demand += gain * (per_cycle(requests, elapsed_cycles) - self.demand);
    }

    fn start_cycle(&mut self, limit: f64, elapsed_cycles: f64) {
        let remaining = self.used_limit - self.limit * elapsed_cycles;
        self.used_limit = remaining.clamp(-MAX_SAVED_CYCLES * limit, limit);
        self.limit = limit;
    }
}

/// One replica's admission control within the next tier's capacity.
pub(super) struct Admission {
    /// The listed tenants, and one entry for all others.
    tenants: Vec<TenantState>,
    capacity: Capacity,
    cycle_started_at: Millis,
    /// Requests admitted in this cycle.
    cycle_admitted: f64,
    /// Part of capacity that admitted requests have used.
    used_capacity: f64,
    load: AdmissionLoad,
    /// Number of requests in flight whose connection is probably lost.
    lost_in_flight: f64,
    /// Whether a tenant within its limit was rejected since capacity was last learned.
    rejected_within_limit: bool,
}

impl Admission {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        let single_tenant = [Tenant {
            weight: 1.0,
            quota_per_second: 0.0,
        }];
        let listed: &[Tenant] = if settings.tenants.is_empty() {
            &single_tenant
        } else {
            &settings.tenants
        };
        let smallest_weight = listed
            .iter()
            .map(|tenant| tenant.weight)
            .fold(f64::INFINITY, f64::min);
        let weights = listed.iter().map(|tenant| tenant.weight);
        let quota_per_second = listed.iter().map(|tenant| tenant.quota_per_second).sum();
        Admission {
            tenants: weights
                .chain([smallest_weight])
                .map(TenantState::new)
                .collect(),
            capacity: Capacity::new(settings, quota_per_second),
            cycle_started_at: now,
            cycle_admitted: 0.0,
            used_capacity: 0.0,
            load: AdmissionLoad::default(),
            lost_in_flight: 0.0,
            rejected_within_limit: false,
        }
    }

    pub(super) fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// Whether requests should go to other zones; see [`Capacity::exceeds_local_quota`].
    pub(super) fn exceeds_local_quota(&self, local_endpoint_ratio: f64) -> bool {
        self.capacity
            .exceeds_local_quota(self.load.local_in_flight, local_endpoint_ratio)
    }

    pub(super) fn record_load(&mut self, load: AdmissionLoad) {
        self.capacity.record_endpoints(load.endpoints);
        self.load = load;
    }

    pub(super) fn record_lost_in_flight(&mut self, lost_in_flight: f64) {
        self.lost_in_flight = lost_in_flight;
    }

    pub(super) fn record_latency(&mut self, latency: Millis) {
        self.capacity.record_latency(latency);
    }

    pub(super) fn record_response(&mut self, latency_ratio: f64) {
        self.capacity.record_response(latency_ratio);
    }

    /// Counts the request as demand and decides whether to admit it.
    pub(super) fn admit(&mut self, tenant: usize, now: Millis) -> bool {
        let tenant = tenant.min(self.tenants.len() - 1);
        if !self.tenants[tenant].has_sent_requests {
            // A new tenant ends the cycle early, so that it has a limit at once.
            self.tenants[tenant].has_sent_requests = true;
            self.end_cycle(now);
        }
        let limits = self.capacity.in_flight_limits();
        let in_flight = self.load.in_flight - self.lost_in_flight;
        let is_full = self.used_capacity >= self.capacity.per_cycle() || in_flight >= limits.soft;
        let tenant = &mut self.tenants[tenant];
        tenant.requests += 1.0;
        let is_within_limit = tenant.used_limit < tenant.limit;
        if in_flight >= limits.hard || (is_full && !is_within_limit) {
            self.rejected_within_limit |= is_within_limit;
            return false;
        }
        tenant.used_limit += 1.0;
        self.used_capacity += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    /// Ends a cycle: learns demand and capacity, and computes the limits of the next cycle.
    pub(super) fn end_cycle(&mut self, now: Millis) {
        // A cycle that a new tenant ended early counts as the elapsed fraction of a complete one.
        let elapsed_cycles = ((now - self.cycle_started_at) / ADMISSION_CYCLE).clamp(0.0, 1.0);
        self.cycle_started_at = now;
        let gain = elapsed_cycles * CYCLE_GAIN;
        for tenant in self
            .tenants
            .iter_mut()
            .filter(|tenant| tenant.has_sent_requests)
        {
            tenant.record_demand(elapsed_cycles, gain);
        }
        let cycle_admitted = std::mem::take(&mut self.cycle_admitted);
        let admitted = per_cycle(cycle_admitted, elapsed_cycles);
        self.capacity.record_admitted(admitted, gain);
        if elapsed_cycles >= MIN_LEARNING_CYCLES {
            let rejected_within_limit = std::mem::take(&mut self.rejected_within_limit);
            self.capacity.end_cycle(admitted, rejected_within_limit);
        }
        self.assign_limits(elapsed_cycles);
        let capacity = self.capacity.per_cycle();
        self.used_capacity = (self.used_capacity - capacity * elapsed_cycles).clamp(0.0, capacity);
    }

    fn assign_limits(&mut self, elapsed_cycles: f64) {
        let mut active: Vec<&mut TenantState> = self
            .tenants
            .iter_mut()
            .filter(|tenant| tenant.has_sent_requests)
            .collect();
        let demands: Vec<f64> = active
            .iter()
            .map(|tenant| tenant.expected_demand())
            .collect();
        let weights: Vec<f64> = active.iter().map(|tenant| tenant.weight).collect();
        let limits = tenant_limits(
            self.capacity.per_cycle(),
            &demands,
            &weights,
            RESERVED_FRACTION,
        );
        for (tenant, limit) in active.iter_mut().zip(limits) {
            tenant.start_cycle(limit, elapsed_cycles);
        }
    }
}

fn per_cycle(count: f64, elapsed_cycles: f64) -> f64 {
    if elapsed_cycles > 0.0 {
        count / elapsed_cycles
    } else {
        0.0
    }
}
