//! Waiting for points in time.
//!
//! The balancer's process fires its timers through a timer descriptor of its own
//! ([`timer_service`]), because the runtime's timers wake the event loop by a write, and a failure
//! of that write ends the process (see `process::runtime`). Where no such service is installed, as
//! in tests and in programs that embed this library, the runtime's timers are used.
pub mod sleep;
pub mod timeout;
pub mod timer_service;

mod timer_queue;

pub use sleep::{sleep, sleep_until, Sleep};
pub use timeout::{timeout, timeout_at};
