//! Periods of a run: outages, and times in which a balancer may not use an upstream.
use crate::ids::{BalancerId, UpstreamId};
use tokio::time::Instant;

/// Why an upstream may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnavailabilityCause {
    /// The endpoint list says that it drains or removes it.
    EndpointList,
    /// An operator has suspended it.
    Suspension,
}

impl UnavailabilityCause {
    /// All causes.
    pub const ALL: [UnavailabilityCause; 2] = [
        UnavailabilityCause::EndpointList,
        UnavailabilityCause::Suspension,
    ];
}

/// The use of an upstream by a balancer, restricted by one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// The balancer.
    pub balancer: BalancerId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The cause that may make the upstream unavailable to the balancer.
    pub cause: UnavailabilityCause,
}

/// Why a balancer counts as knowing that it may not use an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// Discovery has written a list to one of its processes.
    ListResponse,
    /// The list in the configuration that its process started with.
    StartupList,
    /// Discovery had the change and could be reached for as long as a notification may take.
    Deadline,
    /// It has confirmed an operator's command.
    OperatorCommand,
}

/// A period in which an upstream may not be used.
#[derive(Clone, Copy, Debug)]
pub struct UnavailablePeriod {
    /// When the balancer counts as knowing.
    pub start: Instant,
    /// Why it counts as knowing since then.
    pub source: NoticeSource,
    /// When the upstream is available again; none while it is not.
    pub end: Option<Instant>,
}

/// A period that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// Its start.
    pub start: Instant,
    /// Its end.
    pub end: Instant,
}

impl Period {
    /// Whether two periods have an instant in common.
    pub fn overlaps(&self, other: &Period) -> bool {
        self.start <= other.end && self.end >= other.start
    }
}
