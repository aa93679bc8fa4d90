//! Limits on the time that a future may take.
use crate::time::sleep::{sleep, sleep_until, Sleep};
use std::future::{poll_fn, Future, IntoFuture};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The future took too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the time limit has passed")]
pub struct Elapsed;

/// Runs a future for at most this long, from the call on.
pub fn timeout<F: IntoFuture>(
    limit: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    run_until(sleep(limit), future)
}

/// Runs a future until a point in time.
pub fn timeout_at<F: IntoFuture>(
    deadline: Instant,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    run_until(sleep_until(deadline), future)
}

/// Polls the future before the timer: a result that is ready at the deadline still counts.
async fn run_until<F: IntoFuture>(end: Sleep, future: F) -> Result<F::Output, Elapsed> {
    let mut end = pin!(end);
    let mut future = pin!(future.into_future());
    poll_fn(|cx| {
        let result = future.as_mut().poll(cx);
        if result.is_ready() {
            return result.map(Ok);
        }
        end.as_mut().poll(cx).map(|()| Err(Elapsed))
    })
    .await
}
