//! Identifiers of the balancers and upstreams of a run. Both count from zero.
use std::fmt;

/// Identifies a balancer, over all of its processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BalancerId(pub usize);

/// Identifies an upstream, over all of its restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub usize);

impl UpstreamId {
    /// The id of this upstream in endpoint lists and admin commands.
    pub fn endpoint_id(self) -> String {
        format!("s-{:08x}", self.0)
    }
}

impl fmt::Display for BalancerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
