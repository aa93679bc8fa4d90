pub(crate) mod control_plane;
pub(crate) mod driver;
pub(crate) mod request_claims;

mod attempt_id;
mod attempts;
mod departed_requests;
mod driver_options;
mod driver_state;
mod pending_requests;
mod prepared_attempt;
mod timers;
