//! Hollow balancers: processes of this program that each run many balancers without sockets to clients and upstreams.
use crate::balancer::configuration::Configuration;
use crate::balancer::Workspace;
use crate::error::ScaleError;
use crate::process::ChildProcess;
use balancer::hollow::{HollowBalancer, HollowOptions};
use balancer::process::config::Config;
use balancer::telemetry::log::LogOutput;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use tokio::task::LocalSet;

/// A placeholder in the configuration: hollow balancers do not listen.
const UNUSED_LISTEN_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running process of hollow balancers. It is killed when dropped.
pub struct HollowProcess {
    /// The process.
    pub process: ChildProcess,
    /// How many balancers it runs.
    pub balancers: u32,
}

impl HollowProcess {
    /// Starts this number of balancers. Each has the configuration, but with its own seed: the configuration's seed
    /// plus the balancer's number in this process.
    pub fn start(
        workspace: &Workspace,
        configuration: &Configuration,
        balancers: u32,
    ) -> Result<HollowProcess, ScaleError> {
        let file = workspace.configuration_file(configuration, UNUSED_LISTEN_ADDRESS)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").arg(file).arg(balancers.to_string());
        let process = ChildProcess::start(&configuration.name, &mut command)?;
        Ok(HollowProcess { process, balancers })
    }
}

/// Runs hollow balancers in this process until it is killed.
pub fn serve(configuration: &Path, balancers: u32) -> Result<(), ScaleError> {
    let unreadable = |source| ScaleError::Unreadable {
        path: configuration.to_path_buf(),
        source,
    };
    let json = fs::read(configuration).map_err(unreadable)?;
    let config = Config::parse(&json).map_err(|error| ScaleError::Configuration(error.into()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let _running = (0..balancers)
            .map(|number| start(&config, number))
            .collect::<Result<Vec<_>, _>>()?;
        std::future::pending().await
    })
}

fn start(config: &Config, number: u32) -> Result<HollowBalancer, ScaleError> {
    let options = HollowOptions {
        deployment: &config.deployment,
        discovery: config.discovery_address,
        cached_snapshot: None,
        seed: config.seed.wrapping_add(u64::from(number)),
        log: LogOutput::Discard,
    };
    // The callback ignores updates: the stand-in of discovery learns from a balancer's next watch which version the
    // balancer has in force.
    HollowBalancer::start(options, |_| {}).map_err(|error| ScaleError::Configuration(error.into()))
}
