//! Errors of a client's request body.
use hyper::StatusCode;
use thiserror::Error;

/// What is wrong with a client's request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The client sent the body too slowly.
    #[error("the request body did not arrive in time")]
    TimedOut,
    /// The body ended early, or is malformed.
    #[error("the request body is incomplete or malformed")]
    Malformed,
    /// The body exceeds [`MAX_BODY_BYTES`](crate::body::limits::MAX_BODY_BYTES).
    #[error("the request body is too large")]
    TooLarge,
}

impl BodyError {
    /// The status of the response to the client.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            BodyError::Malformed => StatusCode::BAD_REQUEST,
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}
