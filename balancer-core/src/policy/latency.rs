//! Latency of responses, and how it compares with the objectives.
use crate::settings::Settings;
use crate::time::Millis;

/// A response is on time within this fraction of its objective; the rest is a margin for queues to grow.
pub(super) const ON_TIME_FRACTION: f64 = 0.4;
/// Largest latency ratio; also that of failures and timeouts.
pub(super) const MAX_LATENCY_RATIO: f64 = 2.0;
/// Weight of the newest response in a class's latency.
const LATENCY_GAIN: f64 = 0.05;
/// Weight of the newest response in the classes' fractions of all responses.
const MIX_GAIN: f64 = 0.02;
/// The objective divided by this is the mean latency expected before any response.
const INITIAL_MEAN_DIVISOR: f64 = 4.0;
/// The objective divided by this is the deviation expected before any response.
const INITIAL_DEVIATION_DIVISOR: f64 = 8.0;
/// Number of mean deviations above the mean latency from which a response is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;

/// Expected latency of one class.
#[derive(Clone, Copy)]
pub(super) struct ExpectedLatency {
    mean: Millis,
    /// Mean deviation from the mean.
    deviation: Millis,
    /// The class's fraction of all responses.
    fraction: f64,
}

impl ExpectedLatency {
    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    /// Margin above the mean within which nearly all responses arrive.
    pub(super) fn margin(&self) -> Millis {
        OVERDUE_DEVIATIONS * self.deviation
    }
}

/// Expected latency of each class and of the mix of all.
pub(super) struct LatencyModel {
    classes: Vec<ExpectedLatency>,
    mean: Millis,
}

impl LatencyModel {
    pub(super) fn new(settings: &Settings) -> Self {
        let fraction = 1.0 / settings.classes.len() as f64;
        let classes = settings.classes.iter().map(|class| ExpectedLatency {
            mean: class.objective / INITIAL_MEAN_DIVISOR,
            deviation: class.objective / INITIAL_DEVIATION_DIVISOR,
            fraction,
        });
        LatencyModel {
            classes: classes.collect(),
            mean: initial_mean_latency(settings),
        }
    }

    pub(super) fn class(&self, class: usize) -> ExpectedLatency {
        self.classes[class]
    }

    /// Mean latency over the mix of classes.
    pub(super) fn mean(&self) -> Millis {
        self.mean
    }

    pub(super) fn record_response(&mut self, class: usize, duration: Millis) {
        for expected in &mut self.classes {
            expected.fraction -= MIX_GAIN * expected.fraction;
        }
        let expected = &mut self.classes[class];
        expected.fraction += MIX_GAIN;
        let deviation = (duration - expected.mean).abs();
        expected.deviation += LATENCY_GAIN * (deviation - expected.deviation);
        expected.mean += LATENCY_GAIN * (duration - expected.mean);
        self.mean = self
            .classes
            .iter()
            .map(|expected| expected.fraction * expected.mean)
            .sum();
    }
}

/// How late a response is: its time beyond [`ON_TIME_FRACTION`] of the objective, divided by the rest of the
/// objective. 0 while the response is on time, 1 at its objective, at most [`MAX_LATENCY_RATIO`].
pub(super) fn latency_ratio(duration: Millis, objective: Millis) -> f64 {
    let excess = duration / objective - ON_TIME_FRACTION;
    (excess / (1.0 - ON_TIME_FRACTION)).clamp(0.0, MAX_LATENCY_RATIO)
}

/// Mean objective of all classes.
pub(super) fn mean_objective(settings: &Settings) -> Millis {
    let sum = settings
        .classes
        .iter()
        .map(|class| class.objective)
        .sum::<f64>();
    sum / settings.classes.len() as f64
}

/// Mean latency expected before any response.
pub(super) fn initial_mean_latency(settings: &Settings) -> Millis {
    mean_objective(settings) / INITIAL_MEAN_DIVISOR
}
