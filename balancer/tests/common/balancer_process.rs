//! The balancer under test, as a process.
use super::{
    active_endpoints, balancer_command, balancer_config, call_admin, connect, memory_kb,
    wait_for_metric, with_admin_endpoint, with_read_timeout, Client, MemorySampler, StubDiscovery,
    TEST_TIMEOUT,
};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How many log lines a failed test prints.
const PRINTED_LOG_LINES: usize = 40;

/// Interval between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running balancer; killed when dropped.
pub struct BalancerProcess {
    child: Child,
    /// The path of its configuration file.
    pub config_path: PathBuf,
    pub address: SocketAddr,
    /// Its admin endpoint, if it has one.
    pub admin_address: Option<SocketAddr>,
    /// Its discovery service, which runs as long as the balancer, and does not respond to a call
    /// for which no response is prepared.
    pub discovery: StubDiscovery,
    log: Arc<Mutex<Vec<String>>>,
    log_reader: Option<thread::JoinHandle<()>>,
    /// The pipe with its log after the start; `None` once a thread reads it.
    unread_log: Option<BufReader<ChildStderr>>,
}

/// The addresses that a balancer logs when it starts.
struct Addresses {
    serving: SocketAddr,
    admin: Option<SocketAddr>,
}

impl BalancerProcess {
    /// Starts a balancer with this limit of sockets and this endpoint list (JSON, or `null`).
    pub fn start(sockets: usize, known: &str) -> BalancerProcess {
        let discovery = StubDiscovery::start();
        let config = balancer_config(discovery.address, sockets, known);
        BalancerProcess::run(balancer_command(&config), discovery)
    }

    /// Runs a command that starts a balancer, and waits until it serves.
    pub fn run(command: Command, discovery: StubDiscovery) -> BalancerProcess {
        let mut process = BalancerProcess::run_with_unread_log(command, discovery);
        let unread_log = process.unread_log.take().expect("an unread log");
        let lines = process.log.clone();
        let log_reader = thread::spawn(move || {
            for line in unread_log.lines().map_while(Result::ok) {
                lines
                    .lock()
                    .expect("no thread panicked while it held the lock")
                    .push(line);
            }
        });
        process.log_reader = Some(log_reader);
        process
    }

    /// Like [`BalancerProcess::run`], but nothing reads its log once it serves.
    pub fn run_with_unread_log(mut command: Command, discovery: StubDiscovery) -> BalancerProcess {
        let config_path = command
            .get_envs()
            .find(|(name, _)| *name == "NODE_CONFIG")
            .and_then(|(_, path)| path)
            .expect("a configuration")
            .into();
        let mut child = command.spawn().expect("starts the balancer");
        let mut stderr = BufReader::new(child.stderr.take().expect("the balancer's log is a pipe"));
        let addresses = read_addresses(&mut stderr);
        BalancerProcess {
            child,
            config_path,
            address: addresses.serving,
            admin_address: addresses.admin,
            discovery,
            log: Arc::default(),
            log_reader: None,
            unread_log: Some(stderr),
        }
    }

    /// A balancer that starts with these upstreams. Its discovery does not respond.
    pub fn with_upstreams(upstreams: &[SocketAddr]) -> BalancerProcess {
        BalancerProcess::start(1024, &active_endpoints(upstreams))
    }

    /// A balancer that has an admin endpoint and starts with these upstreams. Its discovery does not
    /// respond.
    pub fn with_admin(upstreams: &[SocketAddr]) -> BalancerProcess {
        let discovery = StubDiscovery::start();
        let config = balancer_config(discovery.address, 1024, &active_endpoints(upstreams));
        let command = balancer_command(&with_admin_endpoint(&config));
        BalancerProcess::run(command, discovery)
    }

    /// A balancer that has an admin endpoint, stores its state in this folder, and listens at the
    /// address of `predecessor` if there is one. It starts with these upstreams, and its discovery
    /// sends them again in response to the first call.
    pub fn in_state_folder(
        folder: &Path,
        predecessor: Option<&BalancerProcess>,
        upstreams: &[SocketAddr],
    ) -> BalancerProcess {
        let discovery = StubDiscovery::start();
        let endpoints = active_endpoints(upstreams);
        discovery.respond(&endpoints);
        let config = balancer_config(discovery.address, 1024, &endpoints);
        BalancerProcess::beside(folder, predecessor, &config, discovery)
    }

    /// The same with this configuration, to which the admin endpoint and the address are added.
    pub fn beside(
        folder: &Path,
        predecessor: Option<&BalancerProcess>,
        config: &str,
        discovery: StubDiscovery,
    ) -> BalancerProcess {
        let mut config = with_admin_endpoint(config);
        if let Some(predecessor) = predecessor {
            let address = format!("\"listen\":\"{}\"", predecessor.address);
            config = config.replacen("\"listen\":\"127.0.0.1:0\"", &address, 1);
        }
        let mut command = balancer_command(&config);
        command.env("TMPDIR", folder);
        BalancerProcess::run(command, discovery)
    }

    fn admin(&self) -> SocketAddr {
        self.admin_address.expect("an admin endpoint")
    }

    /// A connection to the admin endpoint.
    pub fn admin_connection(&self) -> BufReader<TcpStream> {
        connect(self.admin())
    }

    /// Waits until the metrics have this line. A test must wait for it, as a client can read a
    /// response shortly before the balancer counts the request as completed.
    pub fn wait_for_metric(&self, line: &str) {
        wait_for_metric(self.admin(), line);
    }

    /// The complete response of the admin endpoint to these bytes.
    pub fn call_admin(&self, bytes: &[u8]) -> String {
        call_admin(self.admin(), bytes)
    }

    /// The lines that it has logged since it began to serve.
    pub fn log_lines(&self) -> Vec<String> {
        self.log
            .lock()
            .expect("no thread panicked while it held the lock")
            .clone()
    }

    /// Kills it, and returns how many bytes of its log are unread in the pipe.
    pub fn kill_and_measure_unread_log(&mut self) -> usize {
        self.child.kill().expect("kills the balancer");
        let mut bytes = Vec::new();
        let unread_log = self.unread_log.as_mut().expect("an unread log");
        unread_log
            .read_to_end(&mut bytes)
            .expect("reads the balancer's log");
        bytes.len()
    }

    /// Waits for a line of the log that contains this text.
    pub fn wait_for_log(&self, text: &str) {
        let start = Instant::now();
        while !self.log_lines().iter().any(|line| line.contains(text)) {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "no log line with {text:?} in {:?}",
                self.log_lines()
            );
            thread::yield_now();
        }
    }

    /// The id of its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// The number of its open descriptors.
    pub fn descriptor_count(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path)
            .expect("lists the balancer's descriptors")
            .count()
    }

    /// Waits until the number of its open descriptors satisfies `condition`; fails with the message
    /// `otherwise`.
    pub fn wait_for_descriptors(&self, condition: impl Fn(usize) -> bool, otherwise: &str) {
        let start = Instant::now();
        while !condition(self.descriptor_count()) {
            assert!(start.elapsed() < TEST_TIMEOUT, "{otherwise}");
            thread::yield_now();
        }
    }

    /// Its resident memory, in kB.
    pub fn resident_kb(&self) -> usize {
        let resident_kb = memory_kb(self.child.id(), "VmRSS");
        assert!(resident_kb > 0, "no VmRSS in the balancer's status");
        resident_kb
    }

    /// Samples its anonymous memory from now on.
    pub fn sample_memory(&self) -> MemorySampler {
        MemorySampler::start(self.child.id())
    }

    /// Asks it to shut down with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Asks it to shut down with SIGINT, as a terminal does at Ctrl+C.
    pub fn interrupt(&self) {
        self.signal("INT");
    }

    /// Replaces the configuration file and sends SIGHUP, so that it is reloaded.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("writes the configuration");
        self.signal("HUP");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("runs sh")
            .success());
    }

    /// Waits until it has exited and its log is read.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("waits for the balancer");
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("the log is read");
        }
        status
    }

    /// Like [`BalancerProcess::wait_for_exit`], but fails if it runs on for [`TEST_TIMEOUT`].
    pub fn wait_for_exit_in_time(&mut self) -> ExitStatus {
        let start = Instant::now();
        while self
            .child
            .try_wait()
            .expect("the balancer's exit status")
            .is_none()
        {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "the balancer did not exit in time"
            );
            thread::sleep(EXIT_POLL_INTERVAL);
        }
        self.wait_for_exit()
    }

    /// A client that has connected.
    pub fn client(&self) -> Client {
        self.try_client().expect("connects")
    }

    /// A client that has sent this text and not yet read a response.
    pub fn client_that_sent(&self, text: &str) -> Client {
        let mut client = self.client();
        client.send(text);
        client
    }

    /// A client that has connected; `None` if the balancer does not listen any more.
    pub fn try_client(&self) -> Option<Client> {
        let stream = TcpStream::connect(self.address).ok()?;
        Some(Client::on(with_read_timeout(stream)))
    }
}

fn read_addresses(log: &mut BufReader<ChildStderr>) -> Addresses {
    let mut admin = None;
    loop {
        let mut line = String::new();
        let length = log.read_line(&mut line).expect("a log line");
        assert_ne!(length, 0, "the balancer closed its log before it served");
        if let Some((_, address)) = line.trim_end().split_once("admin endpoint listens on ") {
            admin = Some(address.parse().expect("an address"));
        }
        if let Some((_, address)) = line.trim_end().split_once("serving on ") {
            return Addresses {
                serving: address.parse().expect("an address"),
                admin,
            };
        }
    }
}

impl BalancerProcess {
    /// Prints the end of the log, which shows why a test failed. With `NODE_LOG=debug` the log has
    /// each attempt.
    fn print_last_log_lines(&self) {
        let Ok(lines) = self.log.lock() else {
            return;
        };
        let skipped = lines.len().saturating_sub(PRINTED_LOG_LINES);
        for line in &lines[skipped..] {
            println!("balancer: {line}");
        }
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            self.print_last_log_lines();
        }
    }
}
