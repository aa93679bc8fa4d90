//! Distributions of times, and the spread of metrics over repeats.
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Longest time that a distribution records; longer ones count as this time.
const MAX_TIME: Duration = Duration::from_secs(120);
const SIGNIFICANT_DIGITS: u8 = 3;
const NANOS_PER_MICRO: f64 = 1000.0;

/// A summary of a distribution of times.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// How many times there are.
    pub count: u64,
    /// Median.
    pub p50_us: f64,
    /// 99th percentile.
    pub p99_us: f64,
    /// 99.9th percentile.
    pub p999_us: f64,
    /// The longest time.
    pub max_us: f64,
}

/// A distribution of times.
#[derive(Clone, Debug)]
pub struct Distribution {
    nanoseconds: Histogram<u64>,
}

impl Default for Distribution {
    #[expect(clippy::expect_used, reason = "the bounds are constants and valid")]
    fn default() -> Distribution {
        let max_nanos = MAX_TIME.as_nanos() as u64;
        let histogram = Histogram::new_with_bounds(1, max_nanos, SIGNIFICANT_DIGITS);
        Distribution {
            nanoseconds: histogram.expect("the bounds are constants and valid"),
        }
    }
}

impl FromIterator<Duration> for Distribution {
    fn from_iter<I: IntoIterator<Item = Duration>>(times: I) -> Distribution {
        let mut distribution = Distribution::default();
        for time in times {
            distribution.record(time);
        }
        distribution
    }
}

impl Distribution {
    /// Adds one time. A time above the maximum counts as the maximum.
    pub fn record(&mut self, time: Duration) {
        self.nanoseconds.saturating_record(time.as_nanos() as u64);
    }

    /// How many times there are.
    pub fn count(&self) -> u64 {
        self.nanoseconds.len()
    }

    /// The percentiles of all times.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.nanoseconds.value_at_quantile(quantile) as f64 / NANOS_PER_MICRO;
        Percentiles {
            count: self.count(),
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: self.nanoseconds.max() as f64 / NANOS_PER_MICRO,
        }
    }
}

/// A number that is compared between repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Metric {
    /// Its name, with its unit.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
}

impl Metric {
    /// A metric with this value.
    pub fn new(name: &'static str, value: f64) -> Metric {
        Metric { name, value }
    }
}

/// A metric over all repeats.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Spread {
    /// The metric's name, with its unit.
    pub name: &'static str,
    /// Its smallest value.
    #[serde(rename = "least")]
    pub min: f64,
    /// Its median.
    pub median: f64,
    /// Its greatest value.
    #[serde(rename = "most")]
    pub max: f64,
}

/// The spread of each metric over repeats, in the order of the first repeat.
pub fn spreads(repeats: &[Vec<Metric>]) -> Vec<Spread> {
    let Some(first) = repeats.first() else {
        return Vec::new();
    };
    first
        .iter()
        .map(|metric| spread(metric.name, repeats))
        .collect()
}

fn spread(name: &'static str, repeats: &[Vec<Metric>]) -> Spread {
    let value_of = |metrics: &Vec<Metric>| {
        let metric = metrics.iter().find(|metric| metric.name == name)?;
        Some(metric.value)
    };
    let mut values: Vec<f64> = repeats.iter().filter_map(value_of).collect();
    values.sort_by(f64::total_cmp);
    Spread {
        name,
        min: values.first().copied().unwrap_or(f64::NAN),
        median: median(&values),
        max: values.last().copied().unwrap_or(f64::NAN),
    }
}

/// The median of sorted values; NaN where there are none.
fn median(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => f64::NAN,
        count if count % 2 == 1 => sorted[middle],
        _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
    }
}
