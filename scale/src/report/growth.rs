//! The growth of attempts with the depth of calls: fitted to the measurements and extrapolated to the deepest calls.
use super::measurement::CallsMeasurement;
use super::point::Point;
use crate::experiment::CallsSize;
use serde::Serialize;

/// The depth that the growth is extrapolated to.
const EXTRAPOLATED_DEPTH: u32 = 25;
/// Minimum number of depths, and of samples, that allow a standard error of the fitted slope.
const MIN_DEPTHS: usize = 3;
/// Half the width of a 95% confidence interval of normally distributed errors, in standard errors.
const NORMAL_95: f64 = 1.96;

type CallsPoint = Point<CallsSize, CallsMeasurement>;

/// Attempts at the last service for each call of the clients, as `at_depth_1 * per_hop ^ (depth - 1)`: least squares on
/// the logarithm over all repeats.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Growth {
    /// Percentage of calls that the last service fails.
    pub leaf_failing_percent: f64,
    /// Calls per second from all clients.
    pub calls_per_second: f64,
    /// Attempts at depth 1 by the fitted line.
    pub at_depth_1: f64,
    /// Factor from each depth to the next.
    pub per_hop: f64,
    /// The 95% confidence interval of that factor.
    pub per_hop_95: [f64; 2],
    /// Attempts at depth 25 by the fitted line, extrapolated.
    pub at_depth_25: f64,
    /// Attempts at depth 25 computed with each end of the factor's 95% confidence interval.
    pub at_depth_25_95: [f64; 2],
}

/// The sizes other than depth.
#[derive(Clone, Copy, PartialEq)]
struct Conditions {
    leaf_failing_percent: f64,
    calls_per_second: f64,
}

impl Conditions {
    fn of(point: &CallsPoint) -> Conditions {
        Conditions {
            leaf_failing_percent: point.size.leaf_failing_percent,
            calls_per_second: point.size.calls_per_second,
        }
    }
}

/// One growth for each failure percentage and rate that was measured at enough depths.
pub(super) fn fit_all(points: &[CallsPoint]) -> Vec<Growth> {
    let mut fitted = Vec::new();
    let mut seen = Vec::new();
    for point in points {
        let conditions = Conditions::of(point);
        if seen.contains(&conditions) {
            continue;
        }
        seen.push(conditions);
        fitted.extend(fit(conditions, points));
    }
    fitted
}

fn fit(conditions: Conditions, points: &[CallsPoint]) -> Option<Growth> {
    let points: Vec<_> = points
        .iter()
        .filter(|point| Conditions::of(point) == conditions)
        .collect();
    if points.len() < MIN_DEPTHS {
        return None;
    }
    let samples: Vec<Sample> = points.iter().flat_map(|point| samples(point)).collect();
    let line = Line::fit(&samples)?;
    let hops = f64::from(EXTRAPOLATED_DEPTH - 1);
    let extrapolated = |slope: f64| (line.intercept + slope * hops).exp();
    let slope_interval = [
        line.slope - NORMAL_95 * line.slope_error,
        line.slope + NORMAL_95 * line.slope_error,
    ];
    Some(Growth {
        leaf_failing_percent: conditions.leaf_failing_percent,
        calls_per_second: conditions.calls_per_second,
        at_depth_1: line.intercept.exp(),
        per_hop: line.slope.exp(),
        per_hop_95: slope_interval.map(f64::exp),
        at_depth_25: extrapolated(line.slope),
        at_depth_25_95: slope_interval.map(extrapolated),
    })
}

/// One repeat of a point.
struct Sample {
    hops: f64,
    log_attempts: f64,
}

fn samples(point: &CallsPoint) -> impl Iterator<Item = Sample> + '_ {
    let hops = f64::from(point.size.depth.saturating_sub(1));
    let attempts = point
        .repeats
        .iter()
        .filter_map(|repeat| repeat.attempts_per_call.last());
    attempts
        .filter(|attempts| **attempts > 0.0)
        .map(move |attempts| Sample {
            hops,
            log_attempts: attempts.ln(),
        })
}

/// A fitted line with the standard error of its slope.
struct Line {
    intercept: f64,
    slope: f64,
    slope_error: f64,
}

impl Line {
    /// A least-squares fit; none where all samples have the same depth or there are too few of them for a standard
    /// error of the slope.
    fn fit(samples: &[Sample]) -> Option<Line> {
        let count = samples.len() as f64;
        let mean_hops = samples.iter().map(|s| s.hops).sum::<f64>() / count;
        let mean_log = samples.iter().map(|s| s.log_attempts).sum::<f64>() / count;
        let hops_variation = samples
            .iter()
            .map(|s| (s.hops - mean_hops).powi(2))
            .sum::<f64>();
        if hops_variation <= 0.0 || samples.len() < MIN_DEPTHS {
            return None;
        }
        let covariation = samples
            .iter()
            .map(|s| (s.hops - mean_hops) * (s.log_attempts - mean_log))
            .sum::<f64>();
        let slope = covariation / hops_variation;
        let intercept = mean_log - slope * mean_hops;
        let squared_residual = |s: &Sample| (s.log_attempts - intercept - slope * s.hops).powi(2);
        let variance = samples.iter().map(squared_residual).sum::<f64>() / (count - 2.0);
        Some(Line {
            intercept,
            slope,
            slope_error: (variance / hops_variation).sqrt(),
        })
    }
}

#[cfg(test)]
mod tests;
