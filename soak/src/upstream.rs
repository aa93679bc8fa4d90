//! Stand-ins for upstreams, which misbehave in the ways that the protocol allows for real upstreams.
mod connection;
mod profile;
mod state;

pub use profile::UpstreamProfile;

use crate::ids::UpstreamId;
use crate::loopback::loopback_address;
use crate::recorder::Recorder;
use state::State;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// An upstream, over all of its restarts. It listens at one address.
pub struct Upstream {
    address: SocketAddr,
    state: Arc<State>,
    /// Accepts connections while the upstream runs.
    accept_task: Mutex<Option<AbortHandle>>,
}

impl Upstream {
    /// Starts an upstream on a free port of the loopback address.
    pub async fn start(
        id: UpstreamId,
        seed: u64,
        profile: UpstreamProfile,
        recorder: Arc<Recorder>,
    ) -> io::Result<Upstream> {
        let listener = TcpListener::bind((loopback_address(), 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(id, seed, profile, recorder));
        let accept_task = tokio::spawn(accept_connections(listener, state.clone()));
        Ok(Upstream {
            address,
            state,
            accept_task: Mutex::new(Some(accept_task.abort_handle())),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How it responds.
    pub fn profile(&self) -> UpstreamProfile {
        self.state.profile()
    }

    /// Sets how it responds from now on.
    pub fn set_profile(&self, profile: UpstreamProfile) {
        self.state.set_profile(profile);
    }

    /// Sets whether it rejects new requests.
    pub fn set_rejecting(&self, rejecting: bool) {
        self.state.set_rejecting(rejecting);
    }

    /// Stops it until [`Upstream::restart`]: new connections are refused, and open ones are reset at their next request.
    pub fn stop(&self) {
        self.state.start_generation();
        if let Some(accept_task) = self.accept_task().take() {
            accept_task.abort();
        }
    }

    /// Starts it again at the same address.
    pub async fn restart(&self) -> io::Result<()> {
        self.set_rejecting(false);
        let listener = TcpListener::bind(self.address).await?;
        let accept_task = tokio::spawn(accept_connections(listener, self.state.clone()));
        *self.accept_task() = Some(accept_task.abort_handle());
        Ok(())
    }

    fn accept_task(&self) -> MutexGuard<'_, Option<AbortHandle>> {
        self.accept_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let random = state.next_connection_random();
        tokio::spawn(connection::serve(stream, state.clone(), random));
    }
}
