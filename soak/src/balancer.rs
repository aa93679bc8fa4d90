//! Balancers under test: real processes of the deployed program, with the fault library loaded into them.
use crate::discovery::Mode;
use fault_injection::control::{Fault, CONTROL_FILE, FILE_BYTES, SEED};
use serde_json::json;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// A balancer has this long to become ready.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// SIGKILL comes this long after SIGTERM: the longest deadline of the settings and 0.7 s.
pub const KILLED_AFTER: Duration = Duration::from_millis(2700);
/// Balancers listen on ports from here.
const FIRST_PORT: u16 = 20_000;
const LOOK: Duration = Duration::from_millis(20);
/// A process that has a successor ends within this time: the longest deadline of the settings and 0.65 s, with some room.
const UPGRADED_WITHIN: Duration = Duration::from_millis(3700);
const DOOR_WAIT: Duration = Duration::from_secs(2);

/// What all balancers of a run share.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The program.
    pub program: PathBuf,
    /// The fault library, if it is to be loaded.
    pub library: Option<PathBuf>,
    /// A folder for configurations, logs and orders.
    pub folder: PathBuf,
    /// How they learn of the list.
    pub mode: Mode,
    /// How many there are.
    pub balancers: usize,
    /// The settings that the oracle goes by.
    pub settings: FleetSettings,
}

/// Figures of the settings.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Requests a second of the one tenant, over all balancers.
    pub quota_per_second: f64,
    /// Upstreams discard repeats for this long.
    pub repeat_window: Duration,
    /// Upstreams close idle connections after this time.
    pub idle_close: Duration,
    /// Nothing new goes to an upstream this long after it is known to drain.
    pub drain_grace: Duration,
    /// The share with which a cold upstream starts.
    pub cold_from: f64,
    /// How long it takes to get warm.
    pub ramp: Duration,
    /// How many times what it can do a cold upstream bears.
    pub tip_multiple: f64,
    /// Within this time.
    pub fall: Duration,
}

/// One balancer, over all of its processes.
pub struct Balancer {
    /// Its number.
    pub number: usize,
    /// Where it serves clients.
    pub address: SocketAddr,
    ops: SocketAddr,
    fleet: Fleet,
    folder: PathBuf,
    control: File,
    child: Option<Child>,
    starts: u32,
}

/// An answer at the operators' door that is none.
#[derive(Debug, thiserror::Error)]
pub enum DoorError {
    /// The door cannot be reached or breaks off.
    #[error("the door: {0}")]
    Io(#[from] io::Error),
    /// No answer in time.
    #[error("no answer at the door")]
    NoAnswer,
}

/// Why a process was not replaced.
#[derive(Debug, thiserror::Error)]
pub enum UpgradeError {
    /// A file or process could not be made.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The new process ended.
    #[error("the new process ended: {0}")]
    Ended(String),
    /// The new process did not serve in time.
    #[error("the new process is not ready")]
    NotReady,
    /// The old process did not end as it should.
    #[error("the old process ended with {0:?}")]
    Old(Option<i32>),
}

impl Balancer {
    /// Prepares a balancer, which is not started yet.
    pub fn new(number: usize, fleet: &Fleet) -> io::Result<Balancer> {
        let folder = fleet.folder.join(format!("b{number}"));
        fs::create_dir_all(folder.join("orders"))?;
        let control = folder.join("faults");
        fs::write(&control, [0; FILE_BYTES])?;
        let control = OpenOptions::new().write(true).open(control)?;
        let (address, ops) = (free_address()?, free_address()?);
        let (child, starts) = (None, 0);
        Ok(Balancer {
            number,
            address,
            ops,
            fleet: fleet.clone(),
            folder,
            control,
            child,
            starts,
        })
    }

    /// Sets how likely a fault is, in millionths, or how far the wall clock is off, in milliseconds.
    pub fn fault(&self, fault: Fault, word: i64) -> io::Result<()> {
        self.control
            .write_all_at(&word.to_le_bytes(), fault.offset())
    }

    /// No call fails from now on; the wall clock stays as it is.
    pub fn clear_faults(&self) -> io::Result<()> {
        self.control.write_all_at(&[0; FILE_BYTES - 8], 0)
    }

    /// Writes the configuration, which names this address of discovery and this known list.
    pub fn configure(&self, discovery: SocketAddr, known: &str) -> io::Result<()> {
        let text = self.configuration(discovery, known);
        let fresh = self.folder.join("config.new");
        fs::write(&fresh, text)?;
        fs::rename(fresh, self.folder.join("config.json"))
    }

    fn configuration(&self, discovery: SocketAddr, known: &str) -> String {
        let settings = &self.fleet.settings;
        let known: serde_json::Value = serde_json::from_str(known).unwrap_or_default();
        let mode = match self.fleet.mode {
            Mode::Push => "pushed",
            Mode::Ask => "on_request",
        };
        let class = |name: &str, effect: &str| {
            json!({
                "name": name, "objective": 600, "deadline": 2000, "effect": effect, "dedup_scope": "all",
                "repeat_window": settings.repeat_window.as_millis() as u64, "late_worth": 0.5,
            })
        };
        json!({
            "name": format!("b{}", self.number), "listen": self.address, "discovery": discovery, "ops": self.ops,
            "seed": format!("{:016x}", self.number as u64 + 1),
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 512 },
            "known": known,
            "settings": {
                "balancers": self.fleet.balancers, "index": self.number, "stage": 0, "membership_mode": mode,
                "dcs": ["a"], "kinds": ["m"],
                "classes": [class("read", "free"), class("order", "guarded"), class("pay", "single_shot")],
                "tenants": [{ "name": "club", "share": 1.0, "quota_per_s": settings.quota_per_second }],
                "permissions": {
                    "attempts_cap": 5, "cancel": true, "retry_after": true, "max_retry_after": 2000,
                    "idle_close": settings.idle_close.as_millis() as u64, "dial_timeout": 250,
                },
                "invariants": {
                    "cold_from": settings.cold_from, "ramp_time": settings.ramp.as_millis() as u64,
                    "tip_multiple": settings.tip_multiple, "fall": settings.fall.as_millis() as u64,
                    "drain_grace": settings.drain_grace.as_millis() as u64,
                },
            },
        })
        .to_string()
    }

    /// Starts another process beside its own, tells the old one to end once the new one serves, and waits until it has.
    pub async fn upgrade(
        &mut self,
        discovery: SocketAddr,
        known: &str,
        seed: u64,
    ) -> Result<(), UpgradeError> {
        let old_ops = std::mem::replace(&mut self.ops, free_address()?);
        self.configure(discovery, known)?;
        let old = self.child.take();
        let started = Instant::now();
        self.start(seed)?;
        while !self
            .ask("STATUS")
            .await
            .is_ok_and(|status| status.starts_with("YES"))
        {
            if let Some(how) = self.ended() {
                (self.child, self.ops) = (old, old_ops);
                return Err(UpgradeError::Ended(how));
            }
            if started.elapsed() > READY_WITHIN {
                return Err(UpgradeError::NotReady);
            }
            sleep(LOOK).await;
        }
        let new = std::mem::replace(&mut self.child, old);
        self.signal(Signal::Terminate);
        let code = self.exited(UPGRADED_WITHIN).await;
        self.kill().await;
        self.child = new;
        match code {
            Some(0) => Ok(()),
            code => Err(UpgradeError::Old(code)),
        }
    }

    /// Starts its process.
    pub fn start(&mut self, seed: u64) -> io::Result<()> {
        self.starts += 1;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let mut marker = log.try_clone()?;
        writeln!(marker, "--- start {}", self.starts)?;
        let mut command = Command::new(&self.fleet.program);
        command
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("NODE_LOG", "debug")
            .env("TMPDIR", self.folder.join("orders"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if let Some(library) = &self.fleet.library {
            command
                .env("LD_PRELOAD", library)
                .env(CONTROL_FILE, self.folder.join("faults"))
                .env(SEED, (seed ^ u64::from(self.starts)).to_string());
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Waits until it is ready; how long that took, or none if it was not ready in time.
    pub async fn ready(&mut self) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < READY_WITHIN {
            if self.is_ready().await {
                return Some(started.elapsed());
            }
            sleep(LOOK).await;
        }
        None
    }

    async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok::<_, io::Error>(answer.starts_with("HTTP/1.1 200"))
        };
        timeout(Duration::from_secs(1), asked)
            .await
            .is_ok_and(|ready| ready.unwrap_or(false))
    }

    /// Sends its process a signal.
    pub fn signal(&self, signal: Signal) {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return;
        };
        // The process was started here and not waited for yet, so that the id is still its own.
        let name = signal.name();
        let _ = std::process::Command::new("kill")
            .args([name, &pid.to_string()])
            .status();
    }

    /// Waits until its process has ended, for so long at most. Tells the exit code; none if it was killed or still runs.
    pub async fn exited(&mut self, most: Duration) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = timeout(most, child.wait()).await.ok()?.ok()?;
        self.child = None;
        status.code()
    }

    /// Kills its process outright.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Whether it has a process.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Whether its process has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// What the door answers to a call.
    pub async fn ask(&self, call: &str) -> Result<String, DoorError> {
        let asked = async {
            let mut stream = TcpStream::connect(self.ops).await?;
            stream.write_all(format!("{call}\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok::<_, io::Error>(answer)
        };
        Ok(timeout(DOOR_WAIT, asked)
            .await
            .map_err(|_| DoorError::NoAnswer)??)
    }

    /// The violations that it has counted itself.
    pub async fn violations(&self) -> Vec<String> {
        let metrics = self.ask("METRICS").await.unwrap_or_default();
        let broken = |line: &&str| line.starts_with("node_violations") && !line.ends_with(" 0");
        metrics.lines().filter(broken).map(str::to_string).collect()
    }

    /// Where its log is.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }
}

/// A signal that a run sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Hangup,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Hangup => "-HUP",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// An address of loopback that other runs at the same time do not use.
fn own_address() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high % 200 + 10, low, 3)
}

/// An address that nobody else in this process is given, where connections that go out take no port.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed).max(FIRST_PORT);
        match std::net::TcpListener::bind((own_address(), port)) {
            Ok(listener) => return listener.local_addr(),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
}

/// Finds a file that the workspace's build has made, beside this program.
pub fn built(name: &str) -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder: &Path| folder.join(name))
        .find(|path| path.is_file())
}
