//! Attempts of a request.
use crate::class::DedupScope;
use crate::endpoint::Endpoint;
use crate::time::Millis;

/// An attempt in flight.
pub(super) struct Attempt {
    /// Number in the order of sends, from zero.
    pub(super) number: u32,
    pub(super) class: usize,
    /// Index of the endpoint in the table.
    pub(super) endpoint: usize,
    /// Idle bucket of the connection it uses; zero for a new connection.
    pub(super) idle_bucket: usize,
    /// When the request was completely sent; infinite until then.
    pub(super) sent_at: Millis,
    /// Whether its timeout is before the request expires, which leaves time for a retry.
    pub(super) has_early_timeout: bool,
    /// Whether the endpoint is expected to respond now.
    pub(super) is_awaited: bool,
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub(super) struct FirstPossibleRun {
    pub(super) attempt: u32,
    pub(super) sent_at: Millis,
    pub(super) zone: u16,
    pub(super) group: u16,
}

/// Restricts a retry to endpoints that discard it as a repeat if the first attempt ran.
#[derive(Clone, Copy)]
pub(super) struct RetryConstraint {
    pub(super) scope: DedupScope,
    pub(super) first_possible_run: FirstPossibleRun,
}

impl RetryConstraint {
    pub(super) fn allows(&self, endpoint: &Endpoint) -> bool {
        match self.scope {
            DedupScope::All => true,
            DedupScope::Zone => endpoint.zone == self.first_possible_run.zone,
            DedupScope::Group => endpoint.group == self.first_possible_run.group,
        }
    }
}
