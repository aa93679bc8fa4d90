//! Repeats I/O calls that fail for a transient reason.
use crate::time::sleep;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Repeats a call until it succeeds, fails permanently, or `limit` has passed. Returns the last
/// result.
pub async fn retry_io<T>(
    limit: Duration,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Like [`retry_io`], but blocks the thread between two attempts: for the start of a process that has
/// no timers yet.
pub fn retry_io_blocking<T>(
    limit: Duration,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Whether the same call may succeed a little later.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, NotFound, PermissionDenied, Unsupported};
    !matches!(
        error.kind(),
        InvalidData | InvalidInput | NotFound | PermissionDenied | Unsupported
    )
}

#[cfg(test)]
mod tests;
