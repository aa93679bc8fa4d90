//! Maps an upstream's response, or the error that ended it, to the outcome of the attempt.
use crate::outbound::headers::REJECTED_HEADER;
use balancer_core::AttemptOutcome;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use std::error::Error;
use std::io;

/// Outcome of an attempt, from the head of its response. Only the rejection header proves that the
/// request has not run.
pub fn outcome_of_response<B>(response: &Response<B>) -> AttemptOutcome {
    let rejected = response
        .headers()
        .get(REJECTED_HEADER)
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            AttemptOutcome::Rejected
        }
        // A forwarded 429 would tell the client that the request has not run, which is not known.
        StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Error,
        status if status.is_client_error() => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Error,
    }
}

/// Outcome of an attempt whose response could not be read to its end: a reset if the connection
/// broke, an error if the response is malformed. A malformed response is no evidence that idle
/// connections to the same upstream are stale.
pub fn outcome_of_read_error(error: &(dyn Error + 'static)) -> AttemptOutcome {
    if is_malformed_response(error) {
        AttemptOutcome::Error
    } else {
        AttemptOutcome::Reset
    }
}

fn is_malformed_response(error: &(dyn Error + 'static)) -> bool {
    let Some(error) = error.downcast_ref::<hyper::Error>() else {
        return false;
    };
    if error.is_parse() {
        return true;
    }
    // hyper reports malformed chunks as I/O errors of these kinds.
    error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|source| {
            matches!(
                source.kind(),
                io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
            )
        })
}

/// Whether the end of a response's body is unambiguous: the head declares one length, or chunked
/// coding, or that the connection closes. A body without any of these may be truncated unnoticed,
/// and one with two framings may be misread.
pub fn has_unambiguous_end<B>(response: &Response<B>) -> bool {
    let values = |name: HeaderName| -> Vec<&HeaderValue> {
        response.headers().get_all(name).iter().collect()
    };
    let codings = values(header::TRANSFER_ENCODING);
    let lengths = values(header::CONTENT_LENGTH);
    match (codings.as_slice(), lengths.as_slice()) {
        ([], [length]) => length.as_bytes().iter().all(u8::is_ascii_digit),
        ([], []) => values(header::CONNECTION)
            .iter()
            .any(|option| option.as_bytes().eq_ignore_ascii_case(b"close")),
        ([coding], []) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}
