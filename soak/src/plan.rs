//! Draws the faults of a run from its seed: several kinds, whose times overlap.
use crate::fault::Fault;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Number of general faults in a run of intensity 1.
const FAULT_COUNT: Range<usize> = 5..10;
/// Number of additional faults of balancers' own descriptors in a run of intensity 1.
const OWN_DESCRIPTOR_FAULT_COUNT: Range<usize> = 1..3;
/// Number of crowds of clients in a run of intensity 1.
const CROWD_COUNT: Range<usize> = 0..2;
/// When faults start, as fractions of the run's length.
const START_FRACTION: Range<f64> = 0.05..0.6;
/// How long faults last, as fractions of the run's length.
const DURATION_FRACTION: Range<f64> = 0.1..0.4;

/// One fault of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// The kind.
    pub fault: Fault,
    /// When it starts, since the start of the run.
    pub start_offset: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Seed of the random choices that it makes.
    pub seed: u64,
}

impl PlannedFault {
    fn draw(random: &mut StdRng, fault: Fault, run_length: Duration) -> PlannedFault {
        let run_seconds = run_length.as_secs_f64();
        PlannedFault {
            fault,
            start_offset: Duration::from_secs_f64(
                run_seconds * random.random_range(START_FRACTION),
            ),
            duration: Duration::from_secs_f64(run_seconds * random.random_range(DURATION_FRACTION)),
            seed: random.random(),
        }
    }
}

/// Draws the faults of a run, ordered by start; `intensity` multiplies their number.
///
/// With `only`, the plan holds just these kinds, each `intensity` + 1 times.
pub fn draw_faults(
    seed: u64,
    run_length: Duration,
    only: &[Fault],
    intensity: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    if only.is_empty() {
        let mut draw = |kinds: &[Fault], count: Range<usize>| {
            for _ in 0..random.random_range(count) * intensity {
                let fault = kinds[random.random_range(0..kinds.len())];
                planned.push(PlannedFault::draw(&mut random, fault, run_length));
            }
        };
        draw(&Fault::GENERAL, FAULT_COUNT);
        // Drawn after the general faults, so that a seed still draws the same general faults, and crowds last.
        draw(&Fault::OWN_DESCRIPTORS, OWN_DESCRIPTOR_FAULT_COUNT);
        draw(&Fault::CROWDS, CROWD_COUNT);
    } else {
        for &fault in only.iter().cycle().take(only.len() * (intensity + 1)) {
            planned.push(PlannedFault::draw(&mut random, fault, run_length));
        }
    }
    planned.sort_by_key(|planned| planned.start_offset);
    planned
}

#[cfg(test)]
mod tests;
