//! Periods of a run: outages, and times in which a balancer may not use an upstream.
use crate::ids::{BalancerId, UpstreamId};
use tokio::time::Instant;

/// Why an upstream may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnavailabilityCause {
    /// The endpoint list states that it drains or has been removed.
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

/// The use of an upstream by a balancer, as one cause may restrict it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamUse {
    /// The balancer.
    pub balancer: BalancerId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The cause. Each cause makes the upstream unavailable independently of the other.
    pub cause: UnavailabilityCause,
}

/// Why a balancer is considered notified that it may not use an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// Discovery has sent the list to one of the balancer's processes.
    ListResponse,
    /// The list was in the configuration that the balancer's process started with.
    StartupList,
    /// Discovery has had the change, and has been reachable, for as long as a notification may take.
    Deadline,
    /// The balancer has confirmed an operator's command.
    OperatorCommand,
}

/// A period in which an upstream may not be used.
#[derive(Clone, Copy, Debug)]
pub struct UnavailablePeriod {
    /// When the balancer was considered notified.
    pub start: Instant,
    /// Why it was considered notified then.
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
