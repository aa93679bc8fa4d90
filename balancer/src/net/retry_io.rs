//! Retries I/O calls that fail with a transient error.
use crate::time::sleep;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Retries a call until it succeeds, fails with a permanent error, or `limit` has passed. Returns
/// the last result.
pub async fn retry_io<T>(
    limit: Duration,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Like [`retry_io`], but blocks the thread between two calls. It is used while a process starts,
/// before the process has timers.
pub fn retry_io_blocking<T>(
    limit: Duration,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Whether the same call may succeed shortly after this error.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, NotFound, PermissionDenied, Unsupported};
    !matches!(
        error.kind(),
        InvalidData | InvalidInput | NotFound | PermissionDenied | Unsupported
    )
}

#[cfg(test)]
mod tests;
