//! Real balancers: processes of the deployed program, started as the deployment file says.
pub mod configuration;

use crate::client::ConnectionPool;
use crate::error::ScaleError;
use crate::process::ChildProcess;
use crate::toml_file::read_toml;
use configuration::Configuration;
use hyper::StatusCode;
use serde::Deserialize;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The platform's deployment file, relative to the repository's root.
const DEPLOYMENT_FILE: &str = "deploy/balancer.toml";
/// Time allowed for a balancer to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_PATH: &str = "/-/ready";
/// Balancers listen on this address. Outgoing connections have another source address, so they take none of its ports.
const LISTEN_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// How the platform builds and starts the program.
#[derive(Clone, Debug)]
pub struct Deployment {
    root: PathBuf,
    run: String,
}

#[derive(Deserialize)]
struct DeploymentFile {
    build: String,
    run: String,
}

impl Deployment {
    /// Reads the deployment file below `root` and makes sure that its program has been built.
    pub fn read(root: &Path) -> Result<Deployment, ScaleError> {
        let file: DeploymentFile = read_toml(&root.join(DEPLOYMENT_FILE))?;
        let command = file.run.strip_prefix("exec ").unwrap_or(&file.run);
        let program = root.join(command.split_whitespace().next().unwrap_or_default());
        if !program.is_file() {
            return Err(ScaleError::MissingBuild {
                program,
                build: file.build,
            });
        }
        Ok(Deployment {
            root: root.to_path_buf(),
            run: file.run,
        })
    }
}

/// A directory for the files of a run. It is removed when dropped.
pub struct Workspace {
    path: PathBuf,
}

impl Workspace {
    /// Creates the directory of this process.
    pub fn create() -> io::Result<Workspace> {
        let path = std::env::temp_dir().join(format!("scale-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Workspace { path })
    }

    /// Writes a configuration into the directory of its balancer.
    pub fn configuration_file(
        &self,
        configuration: &Configuration,
        listen: SocketAddr,
    ) -> Result<PathBuf, ScaleError> {
        let directory = self.path.join(&configuration.name);
        let file = directory.join("config.json");
        let unwritable = |source| ScaleError::Unwritable {
            path: file.clone(),
            source,
        };
        fs::create_dir_all(&directory).map_err(unwritable)?;
        fs::write(&file, configuration.to_json(listen)).map_err(unwritable)?;
        Ok(file)
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        // On failure only a few files remain in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A running balancer. It is killed when dropped.
pub struct BalancerProcess {
    /// The process.
    pub process: ChildProcess,
    /// Where it serves clients.
    pub address: SocketAddr,
}

impl BalancerProcess {
    /// Starts a balancer. [`BalancerProcess::wait_until_ready`] returns when it serves.
    pub fn start(
        deployment: &Deployment,
        workspace: &Workspace,
        configuration: &Configuration,
    ) -> Result<BalancerProcess, ScaleError> {
        let name = &configuration.name;
        let address = free_address()?;
        let file = workspace.configuration_file(configuration, address)?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &deployment.run])
            .current_dir(&deployment.root)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", configuration.discovery.to_string())
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", file.parent().unwrap_or(&workspace.path));
        let process = ChildProcess::start(name, &mut command)?;
        Ok(BalancerProcess { process, address })
    }

    /// Waits until the balancer serves.
    pub async fn wait_until_ready(&mut self) -> Result<(), ScaleError> {
        let pool = ConnectionPool::new(self.address, 0);
        let started_at = Instant::now();
        while !matches!(pool.status(READY_PATH).await, Ok(StatusCode::OK)) {
            self.process.ensure_running()?;
            if started_at.elapsed() > READY_TIMEOUT {
                return Err(ScaleError::NotReady {
                    balancers: self.process.name().to_string(),
                    seconds: READY_TIMEOUT.as_secs(),
                });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((LISTEN_ADDRESS, 0))?.local_addr()
}
