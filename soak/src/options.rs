//! The options of a run.
use crate::discovery_mode::DiscoveryMode;
use crate::fault::Fault;
use std::path::PathBuf;
use std::time::Duration;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed of everything that the run draws.
    pub seed: u64,
    /// Length of the run: clients send requests for this long, and faults are spread over it.
    pub length: Duration,
    /// How balancers learn of the endpoint list.
    pub mode: DiscoveryMode,
    /// Number of balancers.
    pub balancers: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// The kinds of fault to inject; all if empty.
    pub only: Vec<Fault>,
    /// The kinds of fault to leave out of what the seed draws.
    pub without: Vec<Fault>,
    /// Multiplies the number of faults.
    pub intensity: usize,
    /// The balancer program.
    pub program: PathBuf,
    /// The fault injection library.
    pub library: PathBuf,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
}
