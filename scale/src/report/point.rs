//! A point: one combination of sizes with its measurements.
use super::measurement::{CallsMeasurement, ControlMeasurement};
use crate::statistics::{spreads, Metric, Spread};
use serde::Serialize;

/// One combination of sizes with its measurements.
#[derive(Clone, Debug, Serialize)]
pub struct Point<S, M> {
    /// The sizes.
    pub size: S,
    /// The spread over the repeats of each metric that the table shows.
    pub spread: Vec<Spread>,
    /// Every measurement.
    pub repeats: Vec<M>,
}

impl<S> Point<S, CallsMeasurement> {
    /// A point of calls with its spread.
    pub fn of_calls(size: S, repeats: Vec<CallsMeasurement>) -> Self {
        Point::new(size, repeats, CallsMeasurement::metrics)
    }
}

impl<S> Point<S, ControlMeasurement> {
    /// A point of control with its spread.
    pub fn of_control(size: S, repeats: Vec<ControlMeasurement>) -> Self {
        Point::new(size, repeats, ControlMeasurement::metrics)
    }
}

impl<S, M> Point<S, M> {
    fn new(size: S, repeats: Vec<M>, metrics: fn(&M) -> Vec<Metric>) -> Self {
        let metrics: Vec<_> = repeats.iter().map(metrics).collect();
        Point {
            size,
            spread: spreads(&metrics),
            repeats,
        }
    }
}
