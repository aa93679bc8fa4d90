//! Repeats what the system may fail for a moment.
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Tries until it succeeds, or fails for good, or `limit` has passed; the last error counts.
pub async fn retry_io<T>(
    limit: Duration,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let until = Instant::now() + limit;
    loop {
        match attempt() {
            Err(error) if may_pass(&error) && Instant::now() < until => sleep(PAUSE).await,
            done => return done,
        }
    }
}

/// Whether the same call may succeed a little later.
pub fn may_pass(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, NotFound, PermissionDenied, Unsupported};
    !matches!(
        error.kind(),
        InvalidData | InvalidInput | NotFound | PermissionDenied | Unsupported
    )
}

#[cfg(test)]
mod tests;
