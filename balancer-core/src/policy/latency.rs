//! Latency: what responses take, and how that compares with the objectives.
use super::*;

/// A response is on time within this share of its class's objective; the rest is room for queues to grow.
pub(super) const ON_TIME: f64 = 0.4;
/// The most that a latency ratio comes to, also that of failures and time-outs.
pub(super) const LATENCY_RATIO_MAX: f64 = 2.0;
/// Smoothing of a class's latency, and of its share of all responses.
const LATENCY_GAIN: f64 = 0.05;
const MIX_GAIN: f64 = 0.02;

/// Expected latency of one class: the mean, the mean deviation from it, and the class's share of responses.
#[derive(Clone, Copy)]
pub(super) struct ExpectedLatency {
    pub(super) mean: Millis,
    pub(super) deviation: Millis,
    share: f64,
}

#[derive(Default)]
pub(super) struct LatencyModel {
    pub(super) classes: Vec<ExpectedLatency>,
    pub(super) mean: Millis,
}

impl LatencyModel {
    pub(super) fn new(settings: &Settings) -> Self {
        let share = 1.0 / settings.classes.len() as f64;
        let aims = settings.classes.iter().map(|class| class.objective);
        let classes = aims.map(|aim| ExpectedLatency {
            mean: aim / 4.0,
            deviation: aim / 8.0,
            share,
        });
        LatencyModel {
            classes: classes.collect(),
            mean: mean_objective(settings) / 4.0,
        }
    }

    pub(super) fn record_response(&mut self, class: usize, duration: Millis) {
        self.classes
            .iter_mut()
            .for_each(|expected| expected.share -= MIX_GAIN * expected.share);
        let expected = &mut self.classes[class];
        expected.share += MIX_GAIN;
        expected.deviation +=
            LATENCY_GAIN * ((duration - expected.mean).abs() - expected.deviation);
        expected.mean += LATENCY_GAIN * (duration - expected.mean);
        self.mean = self
            .classes
            .iter()
            .map(|expected| expected.share * expected.mean)
            .sum();
    }
}

/// How late a response is: 0 while it is on time, 1 at its class's objective.
pub(super) fn latency_ratio(duration: Millis, objective: Millis) -> f64 {
    ((duration / objective - ON_TIME) / (1.0 - ON_TIME)).clamp(0.0, LATENCY_RATIO_MAX)
}

pub(super) fn mean_objective(settings: &Settings) -> Millis {
    settings
        .classes
        .iter()
        .map(|class| class.objective)
        .sum::<f64>()
        / settings.classes.len() as f64
}
