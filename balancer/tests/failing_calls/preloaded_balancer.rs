//! A balancer process with the fault injection library loaded into it.
use crate::common::{balancer_command, balancer_config, with_admin_endpoint};
use crate::failure::Failure;
use crate::fault_control::FaultControl;
use crate::shared_services::{discovery_address, endpoint_list};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time within which a process must become ready.
const READINESS_LIMIT: Duration = Duration::from_secs(10);
/// Time from SIGTERM to SIGKILL: the deadline of the settings and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(1700);
/// Time within which a reload must be applied after its signal.
const RELOAD_LIMIT: Duration = Duration::from_secs(3);
/// Time for one call of the admin endpoint.
const ADMIN_CALL_LIMIT: Duration = Duration::from_secs(1);
/// Interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SOCKETS: usize = 1024;

/// An address that no other process takes, as a socket that does not listen is bound to it.
pub struct ReservedAddress {
    pub address: SocketAddr,
    _socket: Socket,
}

impl ReservedAddress {
    /// Reserves an address, at which several processes may listen if `is_shared`.
    pub fn new(is_shared: bool) -> ReservedAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creates a socket");
        socket.set_reuse_address(true).expect("sets SO_REUSEADDR");
        socket.set_reuse_port(is_shared).expect("sets SO_REUSEPORT");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&SockAddr::from(any_port)).expect("binds");
        let address = socket.local_addr().expect("an address");
        ReservedAddress {
            address: address.as_socket().expect("an address"),
            _socket: socket,
        }
    }
}

/// A running balancer; killed when dropped.
pub struct PreloadedBalancer {
    child: Child,
    config_path: PathBuf,
    admin: ReservedAddress,
    log: Arc<Mutex<Vec<String>>>,
    log_reader: Option<JoinHandle<()>>,
}

impl PreloadedBalancer {
    /// Starts a balancer that listens at this address and keeps its state in this folder.
    pub fn start(
        address: SocketAddr,
        folder: &Path,
        faults: &FaultControl,
        seed: u64,
    ) -> PreloadedBalancer {
        let admin = ReservedAddress::new(false);
        let config = configuration(address, admin.address);
        let mut command = balancer_command(&config);
        command.env("TMPDIR", folder);
        faults.preload(&mut command, seed);
        let config_path = command
            .get_envs()
            .find(|(name, _)| *name == "NODE_CONFIG")
            .and_then(|(_, path)| path)
            .expect("a configuration")
            .into();
        let mut child = command.spawn().expect("starts the balancer");
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().expect("the balancer's log is a pipe");
        let lines = log.clone();
        PreloadedBalancer {
            child,
            config_path,
            admin,
            log,
            log_reader: Some(thread::spawn(move || read_log(stderr, &lines))),
        }
    }

    /// Waits until it serves.
    pub fn wait_until_ready(&mut self) -> Result<(), Failure> {
        let started_at = Instant::now();
        while self.call_admin("STATUS").as_deref() != Some("YES serving\n") {
            self.check_running()?;
            if started_at.elapsed() > READINESS_LIMIT {
                return Err(Failure::NotReady);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Fails if it has exited.
    pub fn check_running(&mut self) -> Result<(), Failure> {
        match self.child.try_wait().expect("its status") {
            Some(status) => Err(Failure::ExitedEarly(status)),
            None => Ok(()),
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let process_id = i32::try_from(self.child.id()).expect("a process id");
        // The process has not been waited for, or the play has failed already.
        let _ = kill(Pid::from_raw(process_id), signal);
    }

    /// Sends SIGHUP, and waits until the balancer has applied this many reloads.
    pub fn reload(&mut self, number: u64) -> Result<(), Failure> {
        self.signal(Signal::SIGHUP);
        let sent_at = Instant::now();
        while self.metric("node_config_applied ") != Some(number) {
            self.check_running()?;
            if sent_at.elapsed() > RELOAD_LIMIT {
                return Err(Failure::ReloadNotApplied(number));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Waits until it has exited, which it must by the time at which it would be killed.
    pub fn wait_for_exit(&mut self, terminated_at: Instant) -> Result<(), Failure> {
        loop {
            match self.child.try_wait().expect("its status") {
                Some(status) if status.success() => return Ok(()),
                Some(status) => return Err(Failure::ExitedWithError(status)),
                None if terminated_at.elapsed() > KILL_DELAY => {
                    return Err(Failure::StillRunning(terminated_at.elapsed()));
                }
                None => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// The violations of invariants in its metrics; none if its admin endpoint does not respond any more.
    pub fn violations_in_metrics(&self) -> Vec<Failure> {
        let metrics = self.call_admin("METRICS").unwrap_or_default();
        metrics
            .lines()
            .filter(|line| line.starts_with("node_violations") && !line.ends_with(" 0"))
            .map(|line| Failure::Violation(line.into()))
            .collect()
    }

    /// Kills it if it still runs. Returns its log.
    pub fn into_log(mut self) -> Vec<String> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("the log is read");
        }
        let log = self
            .log
            .lock()
            .expect("no thread panicked while it held the lock");
        log.clone()
    }

    fn metric(&self, name: &str) -> Option<u64> {
        let metrics = self.call_admin("METRICS")?;
        let value = metrics.lines().find_map(|line| line.strip_prefix(name))?;
        value.parse().ok()
    }

    /// The response of its admin endpoint; `None` if it does not respond.
    fn call_admin(&self, command: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.admin.address).ok()?;
        stream.set_read_timeout(Some(ADMIN_CALL_LIMIT)).ok()?;
        stream.write_all(format!("{command}\n").as_bytes()).ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        Some(response)
    }
}

impl Drop for PreloadedBalancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// A configuration with deadlines of 1 s, so that the process exits soon.
fn configuration(address: SocketAddr, admin: SocketAddr) -> String {
    let config = balancer_config(discovery_address(), SOCKETS, endpoint_list());
    with_admin_endpoint(&config)
        .replace("\"ops\":\"127.0.0.1:0\"", &format!("\"ops\":\"{admin}\""))
        .replace(
            "\"listen\":\"127.0.0.1:0\"",
            &format!("\"listen\":\"{address}\""),
        )
        .replace("\"deadline\":20000", "\"deadline\":1000")
}

fn read_log(stderr: ChildStderr, lines: &Mutex<Vec<String>>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        lines
            .lock()
            .expect("no thread panicked while it held the lock")
            .push(line);
    }
}
