//! The driver around the decision module: pending requests, timers, attempts and invariants.

pub(crate) mod clock;
pub(crate) mod driver;
pub(crate) mod invariants;
pub(crate) mod startup;
