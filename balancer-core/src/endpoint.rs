//! Endpoints, and the events by which discovery reports them.
use crate::time::Millis;

/// Identifies an upstream; opaque, and the same value at every balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new requests.
    #[default]
    Ready,
    /// Completes the requests in flight and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The upstream.
    pub id: UpstreamId,
    /// The zone it runs in.
    pub zone: u16,
    /// Its machine kind.
    pub kind: u8,
    /// The group whose upstreams share their record of idempotency keys.
    pub group: u16,
    /// Whether it accepts new requests.
    pub availability: Availability,
    /// When its process last started; zero: long ago.
    pub started_at: Millis,
}

/// Numbers of endpoints that a balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Listed endpoints: ready or draining.
    pub listed: usize,
    /// Listed endpoints that requests avoid now: suspended, ejected, possibly draining, unresponsive or
    /// overloaded.
    pub avoided: usize,
}

/// A change of the endpoint list, or the result of a call to discovery that brought no change.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
    /// The complete list; endpoints that it lacks are gone.
    Snapshot(Vec<Endpoint>),
    /// The complete list from this balancer's own cache, possibly outdated.
    CachedSnapshot(Vec<Endpoint>),
    /// Changed endpoints only.
    Delta(Vec<Endpoint>),
    /// Discovery confirmed that nothing changed.
    Unchanged,
    /// A call to discovery failed or the subscription broke; the current list stays valid.
    DiscoveryFailed,
    /// Discovery migrated to another address; the current list stays valid.
    DiscoveryMigrated,
    /// Discovery rejected a call or ended the subscription: it is overloaded or down.
    DiscoveryRejected,
}
