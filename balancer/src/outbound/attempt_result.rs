//! How an attempt ended, and why one ended before it had a response.
use crate::body::body_error::BodyError;
use crate::outbound::message::FinalResponse;
use balancer_core::AttemptOutcome;

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the core.
    pub outcome: AttemptOutcome,
    /// The final response for the client. `None` if the attempt has none, or has passed it on
    /// already.
    pub response: Option<FinalResponse>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            response: None,
        }
    }
}

/// Why an attempt ended before it received the head of a response.
pub enum SendRequestError {
    /// The outcome that is reported to the core.
    Outcome(AttemptOutcome),
    /// The request body could not be read from the client to its end.
    RequestBody(BodyError),
}

impl From<AttemptOutcome> for SendRequestError {
    fn from(outcome: AttemptOutcome) -> SendRequestError {
        SendRequestError::Outcome(outcome)
    }
}

impl From<SendRequestError> for AttemptResult {
    fn from(error: SendRequestError) -> AttemptResult {
        match error {
            SendRequestError::Outcome(outcome) => outcome.into(),
            SendRequestError::RequestBody(error) => AttemptResult {
                outcome: AttemptOutcome::Cancelled,
                response: Some(FinalResponse::RequestBodyFailed(error)),
            },
        }
    }
}
