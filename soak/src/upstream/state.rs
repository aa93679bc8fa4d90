//! What the connections of an upstream share.
use super::profile::UpstreamProfile;
use crate::ids::UpstreamId;
use crate::recorder::Recorder;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Multiplier of an upstream's seed, to which the connection's number is added.
const SEED_MULTIPLIER: u64 = 1_000_003;

/// What the connections of an upstream share, over all of its restarts.
pub(super) struct State {
    id: UpstreamId,
    recorder: Arc<Recorder>,
    profile: Mutex<UpstreamProfile>,
    /// Whether new requests are rejected.
    rejecting: AtomicBool,
    /// Number of stops so far. A connection of an earlier generation is reset when its next request has
    /// arrived.
    generation: AtomicU64,
    seed: u64,
    accepted_connections: AtomicU64,
}

impl State {
    pub(super) fn new(
        id: UpstreamId,
        seed: u64,
        profile: UpstreamProfile,
        recorder: Arc<Recorder>,
    ) -> State {
        State {
            id,
            recorder,
            profile: Mutex::new(profile),
            rejecting: AtomicBool::new(false),
            generation: AtomicU64::new(0),
            seed,
            accepted_connections: AtomicU64::new(0),
        }
    }

    pub(super) fn id(&self) -> UpstreamId {
        self.id
    }

    pub(super) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    pub(super) fn profile(&self) -> UpstreamProfile {
        *self.profile.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_profile(&self, profile: UpstreamProfile) {
        *self.profile.lock().unwrap_or_else(PoisonError::into_inner) = profile;
    }

    pub(super) fn is_rejecting(&self) -> bool {
        self.rejecting.load(Ordering::Relaxed)
    }

    pub(super) fn set_rejecting(&self, rejecting: bool) {
        self.rejecting.store(rejecting, Ordering::Relaxed);
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    /// Starts a new generation, so that the connections of the current one are reset at their next request.
    pub(super) fn start_generation(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// The generator of the next connection's random choices.
    pub(super) fn next_connection_random(&self) -> StdRng {
        let number = self.accepted_connections.fetch_add(1, Ordering::Relaxed);
        let seed = self.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(number);
        StdRng::seed_from_u64(seed)
    }
}
