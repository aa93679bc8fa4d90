//! Admission control: which requests pass, by tenants' limits, learned capacity and requests in flight.
use super::*;

/// Length of a cycle. The published 10 s is too slow for capacity that is learned instead of benchmarked.
pub(super) const CYCLE: Millis = 1000.0;
/// Share of a tenant's default that is never lent (as published).
const RESERVATION: f64 = 0.1;
/// Weight of the newest cycle in a tenant's demand: one replica sees few requests of a tenant per cycle.
pub(super) const DEMAND_GAIN: f64 = 0.3;
/// Cycles' worth of limit that a tenant may save up; evens out the chance arrivals of tiny counts.
const BURST_CYCLES: f64 = 6.0;

/// A new limit for each tenant from last cycle's demand, lending what others leave unused of their share
/// by `weights` (alike as published). Limits are not negative and sum to `capacity` at most, up to rounding.
pub fn limits(capacity: f64, demands: &[f64], weights: &[f64], reservation: f64) -> Vec<f64> {
    let share = |of: f64, total: f64, other: f64| if total > 0.0 { of / total } else { other };
    let total: f64 = weights.iter().sum();
    let even = 1.0 / weights.len() as f64;
    let defaults: Vec<f64> = weights
        .iter()
        .map(|&weight| capacity * share(weight, total, even))
        .collect();
    let reserved = |(&demand, &default): (&f64, &f64)| demand.max(default * reservation);
    let wanted: Vec<f64> = demands.iter().zip(&defaults).map(reserved).collect();
    let gaps: Vec<f64> = defaults
        .iter()
        .zip(&wanted)
        .map(|(default, wanted)| default - wanted)
        .collect();
    let deficit: f64 = gaps.iter().filter(|&&gap| gap < 0.0).map(|gap| -gap).sum();
    let surplus: f64 = gaps.iter().filter(|&&gap| gap > 0.0).sum();
    let limit = |i: usize| match gaps[i] {
        gap if gap <= 0.0 => defaults[i] + (-gap).min(share(-gap, deficit, 0.0) * surplus),
        gap => wanted[i] + share(gap, surplus, 0.0) * (surplus - deficit).max(0.0),
    };
    (0..demands.len()).map(limit).collect()
}

#[derive(Default)]
struct TenantState {
    weight: f64,
    seen: bool,
    /// Requests this cycle, also rejected ones; and their smoothed number per cycle.
    requests: f64,
    demand: f64,
    admitted: f64,
    limit: f64,
}

/// One replica's view of the tenants' limits within the next tier's capacity.
#[derive(Default)]
pub(super) struct Admission {
    tenants: Vec<TenantState>,
    pub(super) capacity: Capacity,
    admitted: f64,
    cycle_start: Millis,
    cycle_admitted: f64,
    pub(super) load: AdmissibleLoad,
    pub(super) inflight_lost: f64,
    rejected_within_limit: bool,
}

impl Admission {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        let unnamed = [Tenant {
            weight: 1.0,
            quota_per_s: 0.0,
        }];
        let listed: &[Tenant] = if settings.tenants.is_empty() {
            &unnamed
        } else {
            &settings.tenants
        };
        // One further entry for tenants that the settings do not list, however many they are.
        let least = listed
            .iter()
            .map(|tenant| tenant.weight)
            .fold(f64::INFINITY, f64::min);
        let weights = listed.iter().map(|tenant| tenant.weight).chain([least]);
        let tenants = weights
            .map(|weight| TenantState {
                weight,
                ..TenantState::default()
            })
            .collect();
        let capacity = Capacity::new(
            settings,
            listed.iter().map(|tenant| tenant.quota_per_s).sum(),
        );
        Admission {
            tenants,
            capacity,
            cycle_start: now,
            ..Admission::default()
        }
    }

    /// Counts the request as demand and decides whether it passes.
    pub(super) fn admit(&mut self, tenant: usize, now: Millis) -> bool {
        let tenant = tenant.min(self.tenants.len() - 1);
        if !std::mem::replace(&mut self.tenants[tenant].seen, true) {
            // A new tenant ends the cycle early, so that it has a limit at once (as published).
            self.end_cycle(now);
        }
        let (soft, hard) = self.capacity.inflight_limits();
        let tenant = &mut self.tenants[tenant];
        tenant.requests += 1.0;
        let inflight = self.load.inflight - self.inflight_lost;
        let full = self.admitted >= self.capacity.per_cycle || inflight >= soft;
        let within_limit = tenant.admitted < tenant.limit;
        if inflight >= hard || (full && !within_limit) {
            self.rejected_within_limit |= within_limit;
            return false;
        }
        tenant.admitted += 1.0;
        self.admitted += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    pub(super) fn end_cycle(&mut self, now: Millis) {
        // A cycle that a new tenant cut short counts for the share of it that passed.
        let elapsed = ((now - self.cycle_start) / CYCLE).clamp(0.0, 1.0);
        self.cycle_start = now;
        let per_cycle = |count: f64| if elapsed > 0.0 { count / elapsed } else { 0.0 };
        let gain = elapsed * DEMAND_GAIN;
        for tenant in self.tenants.iter_mut().filter(|tenant| tenant.seen) {
            tenant.demand +=
                gain * (per_cycle(std::mem::take(&mut tenant.requests)) - tenant.demand);
        }
        let admitted = per_cycle(std::mem::take(&mut self.cycle_admitted));
        self.capacity.admitted_mean += gain * (admitted - self.capacity.admitted_mean);
        if elapsed >= 0.5 {
            self.capacity
                .end_cycle(admitted, std::mem::take(&mut self.rejected_within_limit));
        }
        let capacity = self.capacity.per_cycle;
        let mut seen: Vec<&mut TenantState> = self
            .tenants
            .iter_mut()
            .filter(|tenant| tenant.seen)
            .collect();
        // Tiny counts: a limit at the mean rejects half the cycles of a steady tenant, so one deviation more.
        let demands: Vec<f64> = seen
            .iter()
            .map(|tenant| tenant.demand + tenant.demand.sqrt())
            .collect();
        let weights: Vec<f64> = seen.iter().map(|tenant| tenant.weight).collect();
        for (tenant, limit) in
            seen.iter_mut()
                .zip(limits(capacity, &demands, &weights, RESERVATION))
        {
            tenant.admitted =
                (tenant.admitted - tenant.limit * elapsed).clamp(-BURST_CYCLES * limit, limit);
            tenant.limit = limit;
        }
        self.admitted = (self.admitted - capacity * elapsed).clamp(0.0, capacity);
    }
}
