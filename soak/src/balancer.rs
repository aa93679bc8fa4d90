//! Balancers under test: real processes of the deployed program, with the fault injection library loaded into them.
mod address;
mod admin;
mod configuration;
mod error;
mod signal;

pub use admin::AdminClient;
pub use configuration::{Fleet, FleetSettings};
pub use error::{BalancerError, UpgradeError};
pub use signal::Signal;

use crate::ids::BalancerId;
use address::free_address;
use fault_injection::control::{
    Fault as SyscallFault, CONTROL_FILE_VARIABLE, FILE_BYTES, SEED_VARIABLE, WORD_BYTES,
};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Time from SIGTERM to SIGKILL: the longest deadline of the settings plus 0.7 s.
pub const KILL_DELAY: Duration = Duration::from_millis(2700);
/// Time within which a balancer must become ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one readiness request.
const READINESS_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two readiness checks of a process that starts.
const READINESS_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a process with a successor must exit: the longest deadline of the settings
/// (2 s) plus 0.65 s, and a reserve of 1.05 s.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(3700);

/// Folder of the balancer's temporary files, where it keeps the overrides.
const TEMPORARY_FOLDER: &str = "orders";
const CONTROL_FILE_NAME: &str = "faults";
const CONFIGURATION_FILE_NAME: &str = "config.json";
const LOG_FILE_NAME: &str = "log";

/// One balancer, over all of its processes.
pub struct Balancer {
    id: BalancerId,
    address: SocketAddr,
    admin: AdminClient,
    fleet: Fleet,
    folder: PathBuf,
    /// The control file of the fault injection library.
    control_file: File,
    child: Option<Child>,
    /// Number of processes started so far.
    starts: u32,
}

impl Balancer {
    /// Prepares a balancer without starting it.
    pub fn new(id: BalancerId, fleet: &Fleet) -> Result<Balancer, BalancerError> {
        let folder = fleet.folder.join(format!("b{id}"));
        let temporary_folder = folder.join(TEMPORARY_FOLDER);
        fs::create_dir_all(&temporary_folder)
            .map_err(|source| BalancerError::file(temporary_folder, source))?;
        let control_path = folder.join(CONTROL_FILE_NAME);
        let control_file = create_control_file(&control_path)
            .map_err(|source| BalancerError::file(control_path, source))?;
        Ok(Balancer {
            id,
            address: free_address()?,
            admin: AdminClient::new(free_address()?),
            fleet: fleet.clone(),
            folder,
            control_file,
            child: None,
            starts: 0,
        })
    }

    /// Its id.
    pub fn id(&self) -> BalancerId {
        self.id
    }

    /// Where it serves clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the value of a system call fault: its probability in millionths, the number of first calls that fail (as
    /// `fail_first_calls` encodes it), or, for the wall clock, its offset in milliseconds.
    pub fn set_syscall_fault(&self, fault: SyscallFault, value: i64) -> Result<(), BalancerError> {
        self.control_file
            .write_all_at(&value.to_le_bytes(), fault.offset())
            .map_err(|source| self.control_file_error(source))
    }

    /// Clears all system call faults. The offset of the wall clock does not change.
    pub fn clear_syscall_faults(&self) -> Result<(), BalancerError> {
        const CLOCK_OFFSET_AT: usize = SyscallFault::ClockOffset as usize * WORD_BYTES;
        const NEXT_WORD_AT: usize = CLOCK_OFFSET_AT + WORD_BYTES;
        self.control_file
            .write_all_at(&[0; CLOCK_OFFSET_AT], 0)
            .and_then(|()| {
                let words_after = [0; FILE_BYTES - NEXT_WORD_AT];
                self.control_file
                    .write_all_at(&words_after, NEXT_WORD_AT as u64)
            })
            .map_err(|source| self.control_file_error(source))
    }

    fn control_file_error(&self, source: io::Error) -> BalancerError {
        BalancerError::file(self.folder.join(CONTROL_FILE_NAME), source)
    }

    /// Writes a configuration with this address of discovery and this startup list (JSON, `null` for none).
    pub fn configure(
        &self,
        discovery: SocketAddr,
        startup_list: &str,
    ) -> Result<(), BalancerError> {
        let text = configuration::format_configuration(
            &self.fleet,
            self.id,
            configuration::Addresses {
                clients: self.address,
                admin: self.admin.address(),
                discovery,
            },
            startup_list,
        );
        let path = self.folder.join(CONFIGURATION_FILE_NAME);
        let new_path = self.folder.join("config.new");
        fs::write(&new_path, text)
            .and_then(|()| fs::rename(new_path, &path))
            .map_err(|source| BalancerError::file(path, source))
    }

    /// Starts its process.
    pub fn start(&mut self, seed: u64) -> Result<(), BalancerError> {
        self.starts += 1;
        let log_path = self.folder.join(LOG_FILE_NAME);
        let log = self
            .open_log(&log_path)
            .map_err(|source| BalancerError::file(log_path, source))?;
        let mut command = Command::new(&self.fleet.program);
        command
            .env("NODE_CONFIG", self.folder.join(CONFIGURATION_FILE_NAME))
            .env("NODE_LOG", "debug")
            .env("TMPDIR", self.folder.join(TEMPORARY_FOLDER))
            .env("LD_PRELOAD", &self.fleet.library)
            .env(CONTROL_FILE_VARIABLE, self.folder.join(CONTROL_FILE_NAME))
            .env(SEED_VARIABLE, (seed ^ u64::from(self.starts)).to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        let child = command.spawn().map_err(|source| BalancerError::Spawn {
            program: self.fleet.program.clone(),
            source,
        })?;
        self.child = Some(child);
        Ok(())
    }

    /// Opens the log and marks the start of a process in it.
    fn open_log(&self, path: &Path) -> io::Result<File> {
        let mut log = OpenOptions::new().create(true).append(true).open(path)?;
        writeln!(log, "--- start {}", self.starts)?;
        Ok(log)
    }

    /// Replaces its process: starts a successor beside it, terminates it once the successor serves, and waits until it has
    /// exited.
    pub async fn upgrade(
        &mut self,
        discovery: SocketAddr,
        startup_list: &str,
        seed: u64,
    ) -> Result<(), UpgradeError> {
        let successor_admin = AdminClient::new(free_address()?);
        let old_admin = std::mem::replace(&mut self.admin, successor_admin);
        self.configure(discovery, startup_list)?;
        let old_child = self.child.take();
        let started_at = Instant::now();
        self.start(seed)?;
        while !self.admin.is_serving().await {
            if let Some(status) = self.take_exit_status() {
                self.child = old_child;
                self.admin = old_admin;
                return Err(UpgradeError::SuccessorExited { status });
            }
            if started_at.elapsed() > READINESS_TIMEOUT {
                return Err(UpgradeError::SuccessorNotReady);
            }
            sleep(READINESS_INTERVAL).await;
        }
        let successor = std::mem::replace(&mut self.child, old_child);
        self.signal(Signal::Terminate);
        let exit_code = self.wait_for_exit(HANDOFF_TIMEOUT).await;
        self.kill().await;
        self.child = successor;
        match exit_code {
            Some(0) => Ok(()),
            exit_code => Err(UpgradeError::OldProcessFailed { exit_code }),
        }
    }

    /// Waits until it is ready, up to a time limit. Returns whether it is.
    pub async fn wait_until_ready(&mut self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < READINESS_TIMEOUT {
            if self.is_ready().await {
                return true;
            }
            sleep(READINESS_INTERVAL).await;
        }
        false
    }

    async fn is_ready(&self) -> bool {
        let request = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            let mut response = String::new();
            stream.read_to_string(&mut response).await?;
            Ok::<_, io::Error>(response.starts_with("HTTP/1.1 200"))
        };
        matches!(
            timeout(READINESS_REQUEST_TIMEOUT, request).await,
            Ok(Ok(true))
        )
    }

    /// Sends its process a signal.
    pub fn signal(&self, signal: Signal) {
        // Until the child has been waited for, its process id cannot belong to another process.
        if let Some(process_id) = self.child.as_ref().and_then(Child::id) {
            signal.send(process_id);
        }
    }

    /// Waits until its process has exited. Returns the exit code; none if it was killed or still runs at the time limit.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = timeout(limit, child.wait()).await.ok()?.ok()?;
        self.child = None;
        status.code()
    }

    /// Kills its process with SIGKILL.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// The anonymous memory of its process, in kB; none without a process.
    pub fn anonymous_memory_kb(&self) -> Option<usize> {
        let process_id = self.child.as_ref().and_then(Child::id)?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        value.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Whether it has a process.
    pub fn has_process(&self) -> bool {
        self.child.is_some()
    }

    /// Takes the exit status of its process, if that has exited by itself. The balancer has no process then.
    pub fn take_exit_status(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// The client of its admin endpoint.
    pub fn admin(&self) -> &AdminClient {
        &self.admin
    }
}

/// Creates a control file in which no fault is set.
fn create_control_file(path: &Path) -> io::Result<File> {
    fs::write(path, [0; FILE_BYTES])?;
    OpenOptions::new().write(true).open(path)
}
