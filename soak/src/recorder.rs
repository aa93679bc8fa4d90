//! Shares the [`Observations`] of a run between the stand-ins, which all record into them.
use crate::observations::Observations;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Records a run from several tasks.
#[derive(Debug, Default)]
pub struct Recorder {
    observations: Mutex<Observations>,
}

impl Recorder {
    /// Starts the record of a run.
    pub fn new() -> Recorder {
        Recorder::default()
    }

    /// Locks the observations, to record one or to check them.
    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
