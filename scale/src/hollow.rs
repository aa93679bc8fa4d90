//! Hollow balancers: processes of this program that each run many balancers without sockets to clients and upstreams.
use crate::balancer::configuration::Configuration;
use crate::balancer::Workspace;
use crate::error::ScaleError;
use crate::process::ChildProcess;
use balancer::hollow::{HollowBalancer, HollowOptions, SettingsError};
use balancer::process::config::Config;
use balancer::telemetry::log::Log;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use tokio::task::LocalSet;

/// Hollow balancers listen nowhere; their configuration has this address.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running process of hollow balancers; killed when dropped.
pub struct HollowProcess {
    /// The process.
    pub process: ChildProcess,
    /// How many balancers it runs.
    pub balancers: u32,
}

impl HollowProcess {
    /// Starts so many balancers with this configuration, and seeds that count up from its own.
    pub fn start(
        workspace: &Workspace,
        configuration: &Configuration,
        balancers: u32,
    ) -> Result<HollowProcess, ScaleError> {
        let file = workspace.configuration_file(configuration, NOWHERE)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").arg(file).arg(balancers.to_string());
        let process = ChildProcess::start(&configuration.name, &mut command)?;
        Ok(HollowProcess { process, balancers })
    }
}

/// Runs hollow balancers in this process until it is ended from outside.
pub fn serve(configuration: &Path, balancers: u32) -> Result<(), ScaleError> {
    let unreadable = |source| ScaleError::Unreadable {
        path: configuration.to_path_buf(),
        source,
    };
    let json = fs::read(configuration).map_err(unreadable)?;
    let config = Config::parse(&json).map_err(|e| ScaleError::Configuration(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let running = (0..balancers)
            .map(|number| start(&config, number))
            .collect::<Result<Vec<_>, _>>();
        let _running = running.map_err(|e| ScaleError::Configuration(e.to_string()))?;
        std::future::pending().await
    })
}

fn start(config: &Config, number: u32) -> Result<HollowBalancer, SettingsError> {
    let options = HollowOptions {
        deployment: &config.deployment,
        discovery: config.discovery_address,
        cached_snapshot: None,
        seed: config.seed.wrapping_add(u64::from(number)),
        log: Log::Discard,
    };
    // Discovery's stand-in sees when an update is in force: the balancer then watches for what follows it.
    HollowBalancer::start(options, |_| {})
}
