//! Real balancers: processes of the deployed program, started as the deployment file says.
pub mod configuration;

use crate::client::Pool;
use crate::error::ScaleError;
use crate::experiment::read_toml;
use crate::machine::Usage;
use configuration::Configuration;
use hyper::StatusCode;
use serde::Deserialize;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
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
            return Err(ScaleError::MissingBuild { program, build: file.build });
        }
        Ok(Deployment { root: root.to_path_buf(), run: file.run })
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
}

impl Drop for Workspace {
    fn drop(&mut self) {
        // What is left over is only a few files in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A running balancer; killed when dropped.
pub struct BalancerProcess {
    name: String,
    child: Child,
    /// Where it serves callers.
    pub address: SocketAddr,
    last_log_line: Arc<Mutex<String>>,
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        // Both fail only for a process that has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl BalancerProcess {
    /// Starts a balancer; [`BalancerProcess::ready`] tells when it serves.
    pub fn start(
        deployment: &Deployment,
        workspace: &Workspace,
        configuration: &Configuration,
    ) -> Result<BalancerProcess, ScaleError> {
        let name = configuration.name.clone();
        let not_started = |source| ScaleError::NotStarted { name: name.clone(), source };
        let address = free_address().map_err(not_started)?;
        let directory = workspace.path.join(&name);
        fs::create_dir_all(&directory).map_err(not_started)?;
        let file = directory.join("config.json");
        fs::write(&file, configuration.to_json(address)).map_err(not_started)?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &deployment.run])
            .current_dir(&deployment.root)
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", configuration.discovery.to_string())
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", &directory)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(not_started)?;
        let last_log_line = follow_log(&name, &mut child);
        tracing::info!(balancer = name, pid = child.id(), %address, "balancer started");
        Ok(BalancerProcess { name, child, address, last_log_line })
    }

    /// Waits until the balancer serves.
    pub async fn ready(&mut self) -> Result<(), ScaleError> {
        let pool = Pool::new(self.address, 0);
        let started = Instant::now();
        while !matches!(pool.status(READY).await, Ok(StatusCode::OK)) {
            self.ensure_running()?;
            if started.elapsed() > READY_WITHIN {
                let seconds = READY_WITHIN.as_secs();
                return Err(ScaleError::NotReady { name: self.name.clone(), seconds });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Ok(())
    }

    /// Fails if the balancer has ended.
    pub fn ensure_running(&mut self) -> Result<(), ScaleError> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(status) => Err(ScaleError::Ended {
                name: self.name.clone(),
                status: status.to_string(),
                log: self.last_log_line.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            }),
        }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it has used since its start.
    pub fn usage(&self) -> Result<Usage, ScaleError> {
        Usage::of(self.pid())
    }
}

/// Reads a balancer's log until its end, so that it never waits for a reader; the last line is kept.
fn follow_log(name: &str, child: &mut Child) -> Arc<Mutex<String>> {
    let last = Arc::new(Mutex::new(String::new()));
    if let Some(log) = child.stderr.take() {
        let (name, last) = (name.to_string(), last.clone());
        thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                tracing::debug!(balancer = name, line, "balancer log");
                *last.lock().unwrap_or_else(PoisonError::into_inner) = line;
            }
        });
    }
    last
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((LISTEN, 0))?.local_addr()
}
