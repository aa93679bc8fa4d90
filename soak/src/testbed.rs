//! The balancers of a run and the stand-ins around them.
mod error;
mod lifecycle;
mod setup;

pub use error::SetupError;

use crate::balancer::Balancer;
use crate::client::ClientGroup;
use crate::discovery::Discovery;
use crate::discovery_mode::DiscoveryMode;
use crate::ids::{BalancerId, UpstreamId};
use crate::limits::Limits;
use crate::recorder::Recorder;
use crate::rules::Rule;
use crate::upstream::Upstream;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::{Mutex, MutexGuard, TryLockError};

/// An upstream of a run.
struct ManagedUpstream {
    upstream: Upstream,
    /// Held by a fault that stops the upstream, until the upstream has restarted.
    reservation: Mutex<()>,
}

/// A balancer of a run.
struct ManagedBalancer {
    balancer: Mutex<Balancer>,
    /// Held while operators suspend and restore endpoints at the balancer.
    overrides_reservation: Mutex<()>,
    clients: Arc<ClientGroup>,
    /// Two addresses of discovery. A reload switches from one to the other.
    discovery_addresses: [SocketAddr; 2],
    uses_second_address: AtomicBool,
}

impl ManagedBalancer {
    fn discovery_address(&self) -> SocketAddr {
        let index = usize::from(self.uses_second_address.load(Ordering::Relaxed));
        self.discovery_addresses[index]
    }

    fn change_discovery_address(&self) {
        self.uses_second_address.fetch_xor(true, Ordering::Relaxed);
    }
}

/// The balancers of a run and the stand-ins around them.
pub struct Testbed {
    seed: u64,
    limits: Limits,
    mode: DiscoveryMode,
    recorder: Arc<Recorder>,
    discovery: Arc<Discovery>,
    upstreams: Vec<ManagedUpstream>,
    balancers: Vec<ManagedBalancer>,
    /// Set when clients send no more requests.
    clients_stopped: Arc<AtomicBool>,
}

impl Testbed {
    /// The limits in the settings of the run.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// How balancers learn of the endpoint list.
    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// The record of the run.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// The stand-in for discovery.
    pub fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// Number of upstreams.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// An upstream.
    pub fn upstream(&self, id: UpstreamId) -> &Upstream {
        &self.upstreams[id.0].upstream
    }

    /// Reserves an upstream for a fault that stops it. Fails while another fault has reserved it.
    pub fn try_reserve_upstream(&self, id: UpstreamId) -> Result<MutexGuard<'_, ()>, TryLockError> {
        self.upstreams[id.0].reservation.try_lock()
    }

    /// Number of balancers.
    pub fn balancer_count(&self) -> usize {
        self.balancers.len()
    }

    /// All balancers.
    pub fn balancer_ids(&self) -> impl Iterator<Item = BalancerId> {
        (0..self.balancers.len()).map(BalancerId)
    }

    /// Waits for exclusive use of a balancer.
    pub async fn lock_balancer(&self, id: BalancerId) -> MutexGuard<'_, Balancer> {
        self.balancers[id.0].balancer.lock().await
    }

    /// Gets exclusive use of a balancer unless another task has it.
    pub fn try_lock_balancer(
        &self,
        id: BalancerId,
    ) -> Result<MutexGuard<'_, Balancer>, TryLockError> {
        self.balancers[id.0].balancer.try_lock()
    }

    /// Reserves the overrides of a balancer. Fails while another fault has reserved them.
    pub fn try_reserve_overrides(
        &self,
        id: BalancerId,
    ) -> Result<MutexGuard<'_, ()>, TryLockError> {
        self.balancers[id.0].overrides_reservation.try_lock()
    }

    /// The clients of a balancer.
    pub fn clients(&self, id: BalancerId) -> &Arc<ClientGroup> {
        &self.balancers[id.0].clients
    }

    /// Tells the clients to send no more requests.
    pub fn stop_clients(&self) {
        self.clients_stopped.store(true, Ordering::Relaxed);
    }

    fn record_violation(&self, rule: Rule, details: String) {
        self.recorder.lock().record_violation(rule, details);
    }
}
