//! Division of capacity among tenants.

/// The limit of each tenant for the next cycle, from its expected demand.
///
/// Each tenant has a default limit by its weight. The part of its default limit that a tenant does not use is lent
/// to the others, except for `reserved_fraction` of the default limit. Limits are not negative, and their sum is at
/// most `capacity`, up to rounding.
pub fn tenant_limits(
    capacity: f64,
    demands: &[f64],
    weights: &[f64],
    reserved_fraction: f64,
) -> Vec<f64> {
    let defaults = default_limits(capacity, weights);
    let wanted: Vec<f64> = demands
        .iter()
        .zip(&defaults)
        .map(|(&demand, &default)| demand.max(default * reserved_fraction))
        .collect();
    // Negative if the tenant wants more than its default limit.
    let spare_limits: Vec<f64> = defaults
        .iter()
        .zip(&wanted)
        .map(|(default, wanted)| default - wanted)
        .collect();
    let deficit: f64 = spare_limits
        .iter()
        .filter(|&&spare| spare < 0.0)
        .map(|spare| -spare)
        .sum();
    let surplus: f64 = spare_limits.iter().filter(|&&spare| spare > 0.0).sum();
    let limit = |tenant: usize| {
        let spare = spare_limits[tenant];
        if spare <= 0.0 {
            let borrowed = fraction_of(-spare, deficit, 0.0) * surplus;
            defaults[tenant] + (-spare).min(borrowed)
        } else {
            let returned = fraction_of(spare, surplus, 0.0) * (surplus - deficit).max(0.0);
            wanted[tenant] + returned
        }
    };
    (0..demands.len()).map(limit).collect()
}

/// Capacity divided in proportion to the weights, or evenly if all weights are zero.
fn default_limits(capacity: f64, weights: &[f64]) -> Vec<f64> {
    let total: f64 = weights.iter().sum();
    let even = 1.0 / weights.len() as f64;
    weights
        .iter()
        .map(|&weight| capacity * fraction_of(weight, total, even))
        .collect()
}

fn fraction_of(part: f64, total: f64, if_total_is_zero: f64) -> f64 {
    if total > 0.0 {
        part / total
    } else {
        if_total_is_zero
    }
}
