//! Buffers the bodies of small responses, so that nothing is passed on of one that fails.
use crate::body::body_buffer::BodyBuffer;
use crate::body::limits::MAX_BUFFERED_BODY_BYTES;
use crate::net::memory_budget::MemoryBudget;
use crate::outbound::body_pace::BodyPace;
use crate::outbound::response_outcome::outcome_of_read_error;
use crate::time::timeout_at;
use balancer_core::AttemptOutcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::Instant;

/// How long a body of undeclared length is buffered before it is relayed like a large one.
const UNDECLARED_LENGTH_BUFFER_TIME: Duration = Duration::from_secs(1);

/// What was read of a response body before the response was passed on.
pub enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The start of a body that is large or slow, or for which too little memory is left; the rest is
    /// still to be read.
    Partial(Bytes),
}

/// Buffers a body as long as it may be a small one and memory is left. Nothing is read of a body that
/// declares a large length. A body that declares a small length waits for memory and is read to its
/// end, which only the attempt's timeout limits. Records what arrives in `pace`.
pub async fn buffer_body(
    body: &mut Incoming,
    declared_length: Option<u64>,
    memory: &MemoryBudget,
    pace: &mut BodyPace,
) -> Result<BufferedBody, AttemptOutcome> {
    if declares_large_body(declared_length) {
        return Ok(BufferedBody::Partial(Bytes::new()));
    }
    let deadline = match declared_length {
        Some(_) => None,
        None => Some(Instant::now() + UNDECLARED_LENGTH_BUFFER_TIME),
    };
    let mut buffer = BodyBuffer::new(declared_length, memory);
    buffer.allocate_first_bytes().await;
    while buffer.len() <= MAX_BUFFERED_BODY_BYTES {
        pace.begin_wait(Instant::now());
        // Before the first byte there is nothing to relay, so no deadline applies.
        let frame = match deadline {
            Some(deadline) if buffer.len() > 0 => timeout_at(deadline, body.frame()).await,
            _ => Ok(body.frame().await),
        };
        let Ok(frame) = frame else {
            return Ok(BufferedBody::Partial(buffer.into_bytes()));
        };
        let Some(frame) = frame else {
            return Ok(BufferedBody::Complete(buffer.into_bytes()));
        };
        let frame = frame.map_err(|error| outcome_of_read_error(&error))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        pace.record_data(Instant::now(), data.len());
        if buffer.append(data).is_err() {
            buffer.append_beyond_budget(data);
            return Ok(BufferedBody::Partial(buffer.into_bytes()));
        }
    }
    Ok(BufferedBody::Partial(buffer.into_bytes()))
}

/// Whether a body's declared length is too large for buffering.
pub fn declares_large_body(declared_length: Option<u64>) -> bool {
    declared_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64)
}
