//! Requests and the outcomes of their attempts.
use crate::time::Millis;

/// Identifies a request; never used for a second request at the same balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Position in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// When the client's deadline expires; infinite until the body is complete, see
    /// [`Event::RequestBodyComplete`](crate::Event::RequestBodyComplete).
    pub deadline: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream served the request.
    Success,
    /// The upstream responded with an error; the request may have run.
    Error,
    /// The upstream rejected the request because it is full or draining. The request never ran, unless
    /// [`Settings::rejects_after_start`](crate::Settings::rejects_after_start) is set.
    Rejected,
    /// No response arrived in time; the request may have run or may still run.
    Timeout,
    /// No connection could be established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was not sent; the request never ran.
    NotSent,
    /// The outcome is not known; the request may have run.
    Unknown,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the request never ran. `Rejected` proves it only if
    /// [`Settings::rejects_after_start`](crate::Settings::rejects_after_start) is not set, which the caller checks.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}
