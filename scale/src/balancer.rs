//! Real balancers: processes of the deployed program, started as the deployment file says.
pub mod configuration;

use crate::client::Pool;
use crate::error::ScaleError;
use crate::experiment::read_toml;
use crate::process::ChildProcess;
use configuration::Configuration;
use hyper::StatusCode;
use serde::Deserialize;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The platform's deployment file, below the root.
const DEPLOYMENT: &str = "deploy/balancer.toml";
/// A balancer has this long to become ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
const READY_PAUSE: Duration = Duration::from_millis(20);
/// Balancers listen on this address, where connections that go out take no port.
const LISTEN: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const READY: &str = "/-/ready";

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
        let file: DeploymentFile = read_toml(&root.join(DEPLOYMENT))?;
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

/// A directory for the files of a run; removed when dropped.
pub struct Workspace {
    path: PathBuf,
}

impl Workspace {
    /// An empty directory of this process's own.
    pub fn create() -> io::Result<Workspace> {
        let path = std::env::temp_dir().join(format!("scale-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Workspace { path })
    }

    /// Writes a configuration into a directory of its balancer's own.
    pub fn configuration_file(
        &self,
        configuration: &Configuration,
        listen: SocketAddr,
    ) -> Result<PathBuf, ScaleError> {
        let directory = self.path.join(&configuration.name);
        let file = directory.join("config.json");
        let written = fs::create_dir_all(&directory)
            .and_then(|()| fs::write(&file, configuration.to_json(listen)));
        written.map_err(|source| ScaleError::Unwritable {
            path: file.clone(),
            source,
        })?;
        Ok(file)
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        // What is left over is only a few files in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A running balancer; killed when dropped.
pub struct BalancerProcess {
    /// The process.
    pub process: ChildProcess,
    /// Where it serves callers.
    pub address: SocketAddr,
}

impl BalancerProcess {
    /// Starts a balancer; [`BalancerProcess::ready`] tells when it serves.
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
    pub async fn ready(&mut self) -> Result<(), ScaleError> {
        let pool = Pool::new(self.address, 0);
        let started = Instant::now();
        while !matches!(pool.status(READY).await, Ok(StatusCode::OK)) {
            self.process.ensure_running()?;
            if started.elapsed() > READY_WITHIN {
                let (name, seconds) = (self.process.name().to_string(), READY_WITHIN.as_secs());
                return Err(ScaleError::NotReady { name, seconds });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Ok(())
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((LISTEN, 0))?.local_addr()
}
