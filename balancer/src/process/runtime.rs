//! The runtime of the process.
//!
//! It has one thread, and nothing wakes its loop from outside: the write that would do so ends the
//! process if it fails. Timers and signals have descriptors of their own instead, which the loop
//! watches.
use crate::contained_panic::contain;
use crate::net::retry_io::retry_io_blocking;
use crate::time::timer_service::TimerService;
use std::io;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

/// Builds the runtime and installs the timers of this thread. Repeats this for `retry_limit` while
/// the system fails.
pub fn start_runtime(retry_limit: Duration) -> io::Result<LocalRuntime> {
    let runtime = retry_io_blocking(retry_limit, build_runtime)?;
    runtime.block_on(async { retry_io_blocking(retry_limit, TimerService::install) })?;
    Ok(runtime)
}

/// The runtime panics where the system refuses the descriptors of its own signal handling, which is
/// part of it even if it is not used.
fn build_runtime() -> io::Result<LocalRuntime> {
    let build = || {
        Builder::new_current_thread()
            .enable_io()
            .build_local(LocalOptions::default())
    };
    contain(build).unwrap_or_else(|| Err(io::Error::other("the runtime could not be built")))
}
