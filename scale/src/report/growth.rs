//! The law by which attempts grow with depth, fitted to the measurements and carried to the deepest calls.
use super::{CallsFigures, Point};
use crate::experiment::CallsSize;
use serde::Serialize;

/// The deepest calls of the system that is coming.
const DEEPEST: u32 = 25;
/// Fewer depths than this determine no line.
const MIN_DEPTHS: usize = 3;
/// Half the width of an interval that holds 95 in 100 of normally distributed errors, in standard errors.
const NORMAL_95: f64 = 1.96;

/// Attempts at the last service for each call at the top, as `at_depth_1 * per_hop ^ (depth - 1)`: least squares on
/// the logarithm over all repeats.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Growth {
    /// Share of calls that the last service fails.
    pub leaf_failing_percent: f64,
    /// Calls from the clients.
    pub calls_per_second: f64,
    /// Attempts at depth 1 by the fitted line.
    pub at_depth_1: f64,
    /// Factor from each depth to the next.
    pub per_hop: f64,
    /// The 95% interval of that factor.
    pub per_hop_95: [f64; 2],
    /// Attempts at depth 25 by the fitted line, outside of what was measured.
    pub at_depth_25: f64,
    /// The same with the ends of the factor's interval.
    pub at_depth_25_95: [f64; 2],
}

/// One growth for each share of failing calls and rate that was measured at depths enough.
pub(super) fn growths(points: &[Point<CallsSize, CallsFigures>]) -> Vec<Growth> {
    let mut growths = Vec::new();
    let mut seen = Vec::new();
    for point in points {
        let key = (point.size.leaf_failing_percent, point.size.calls_per_second);
        if !seen.contains(&key) {
            seen.push(key);
            growths.extend(growth(key, points));
        }
    }
    growths
}

fn growth(key: (f64, f64), points: &[Point<CallsSize, CallsFigures>]) -> Option<Growth> {
    let (leaf_failing_percent, calls_per_second) = key;
    let of_key = |point: &&Point<CallsSize, CallsFigures>| {
        (point.size.leaf_failing_percent, point.size.calls_per_second) == key
    };
    let points: Vec<_> = points.iter().filter(of_key).collect();
    if points.len() < MIN_DEPTHS {
        return None;
    }
    let samples: Vec<Sample> = points.iter().flat_map(|point| samples(point)).collect();
    let line = Line::fit(&samples)?;
    let carried = |slope: f64| (line.start + slope * f64::from(DEEPEST - 1)).exp();
    let ends = [
        line.slope - NORMAL_95 * line.slope_error,
        line.slope + NORMAL_95 * line.slope_error,
    ];
    Some(Growth {
        leaf_failing_percent,
        calls_per_second,
        at_depth_1: line.start.exp(),
        per_hop: line.slope.exp(),
        per_hop_95: ends.map(f64::exp),
        at_depth_25: carried(line.slope),
        at_depth_25_95: ends.map(carried),
    })
}

struct Sample {
    hops: f64,
    log_attempts: f64,
}

fn samples(point: &Point<CallsSize, CallsFigures>) -> impl Iterator<Item = Sample> + '_ {
    let hops = f64::from(point.size.depth.saturating_sub(1));
    let attempts = point
        .repeats
        .iter()
        .filter_map(|repeat| repeat.attempts_per_call.last());
    attempts.filter(|a| **a > 0.0).map(move |attempts| Sample {
        hops,
        log_attempts: attempts.ln(),
    })
}

struct Line {
    start: f64,
    slope: f64,
    slope_error: f64,
}

impl Line {
    /// Least squares; none where the samples lie at one depth or are too few for an error.
    fn fit(samples: &[Sample]) -> Option<Line> {
        let count = samples.len() as f64;
        let mean_hops = samples.iter().map(|s| s.hops).sum::<f64>() / count;
        let mean_log = samples.iter().map(|s| s.log_attempts).sum::<f64>() / count;
        let spread = samples
            .iter()
            .map(|s| (s.hops - mean_hops).powi(2))
            .sum::<f64>();
        if spread <= 0.0 || samples.len() < MIN_DEPTHS {
            return None;
        }
        let common = samples
            .iter()
            .map(|s| (s.hops - mean_hops) * (s.log_attempts - mean_log))
            .sum::<f64>();
        let slope = common / spread;
        let start = mean_log - slope * mean_hops;
        let residual = |s: &Sample| (s.log_attempts - start - slope * s.hops).powi(2);
        let variance = samples.iter().map(residual).sum::<f64>() / (count - 2.0);
        Some(Line {
            start,
            slope,
            slope_error: (variance / spread).sqrt(),
        })
    }
}

#[cfg(test)]
mod tests;
