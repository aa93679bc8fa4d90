//! Reads a client's request body, with a limit on the time spent waiting for the client.
use crate::body::body_error::BodyError;
use crate::body::limits::MAX_BODY_BYTES;
use crate::time::{sleep, Sleep};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time spent waiting for the client to send one request, or to send more of its body.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// Each byte received restores the time that it takes at this rate, which is half of the 64 kB/s at
/// which clients are promised not to time out.
const MIN_BODY_BYTES_PER_SECOND: f64 = 32_000.0;

/// A client's request body with a budget of time for waiting for the client. Waiting uses the budget
/// up, bytes restore it, and it is never more than [`REQUEST_READ_TIMEOUT`].
pub struct TimeLimitedBody {
    body: Incoming,
    bytes_received: u64,
    /// The budget at the start of the current wait.
    wait_budget: Duration,
    current_wait: Option<Wait>,
}

/// A wait for the client.
struct Wait {
    started_at: Instant,
    timeout: Pin<Box<Sleep>>,
}

impl TimeLimitedBody {
    /// A body of a client for which the balancer has already waited `time_waited`.
    pub fn new(body: Incoming, time_waited: Duration) -> TimeLimitedBody {
        TimeLimitedBody {
            body,
            bytes_received: 0,
            wait_budget: REQUEST_READ_TIMEOUT.saturating_sub(time_waited),
            current_wait: None,
        }
    }

    /// Length of the unread rest, if the client stated a length.
    pub fn remaining_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Bytes received so far.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    /// The next data of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next data of the body. Fails if the client takes too long.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                ready!(self.poll_timeout(cx));
                return Poll::Ready(Some(Err(BodyError::TimedOut)));
            };
            if let Some(wait) = self.current_wait.take() {
                let waited = wait.started_at.elapsed();
                self.wait_budget = self.wait_budget.saturating_sub(waited);
            }
            let Some(frame) = frame else {
                return Poll::Ready(None);
            };
            let Ok(frame) = frame else {
                return Poll::Ready(Some(Err(BodyError::Malformed)));
            };
            if let Some(data) = data_of_frame(frame) {
                return Poll::Ready(Some(self.count_bytes(data)));
            }
        }
    }

    fn count_bytes(&mut self, data: Bytes) -> Result<Bytes, BodyError> {
        self.bytes_received += data.len() as u64;
        let restored = Duration::from_secs_f64(data.len() as f64 / MIN_BODY_BYTES_PER_SECOND);
        self.wait_budget = (self.wait_budget + restored).min(REQUEST_READ_TIMEOUT);
        if self.bytes_received > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        Ok(data)
    }

    /// Ready once the budget is used up.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let wait_budget = self.wait_budget;
        let wait = self.current_wait.get_or_insert_with(|| Wait {
            started_at: Instant::now(),
            timeout: Box::pin(sleep(wait_budget)),
        });
        wait.timeout.as_mut().poll(cx)
    }
}

/// The data of a frame that has any. Trailers are not forwarded.
fn data_of_frame(frame: Frame<Bytes>) -> Option<Bytes> {
    frame.into_data().ok().filter(|data| !data.is_empty())
}

#[cfg(test)]
mod tests;
