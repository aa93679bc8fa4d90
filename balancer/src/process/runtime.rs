//! The runtime of the process.
//!
//! It has one thread, and nothing wakes its event loop from outside that loop: for such a wake-up
//! the runtime writes to a descriptor, and a failure of that write ends the process. Instead,
//! timers and signals have descriptors of their own, which the event loop watches.
use crate::harmless_panic::catch_harmless_panic;
use crate::net::retry_io::retry_io_blocking;
use crate::time::timer_service::TimerService;
use std::io;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

/// Builds the runtime and installs the timer service of this thread. If that fails for a transient
/// reason, retries for up to `retry_limit`.
pub fn start_runtime(retry_limit: Duration) -> io::Result<LocalRuntime> {
    let runtime = retry_io_blocking(retry_limit, build_runtime)?;
    runtime.block_on(async { retry_io_blocking(retry_limit, TimerService::install) })?;
    Ok(runtime)
}

/// Builds the runtime. tokio's builder panics if the system refuses the descriptors for tokio's own
/// signal handling, which every runtime opens even if it is not used; the panic becomes an error.
fn build_runtime() -> io::Result<LocalRuntime> {
    let build = || {
        Builder::new_current_thread()
            .enable_io()
            .build_local(LocalOptions::default())
    };
    catch_harmless_panic(build).unwrap_or_else(|| Err(io::Error::other("its builder panicked")))
}
