//! The driver around the decision module: pending requests, timers, attempts and invariants.

pub(crate) mod control_plane;
pub(crate) mod driver;
pub(crate) mod invariants;

mod attempt_id;
mod attempts;
mod driver_options;
mod driver_state;
mod pending_requests;
mod timers;
