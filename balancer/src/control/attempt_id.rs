//! The id of an attempt.
use balancer_core::RequestId;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// The attempt's number among those of its request, from zero.
    pub number: u32,
}
