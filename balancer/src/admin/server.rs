//! The admin server. Each connection carries one command line and its response.
use crate::admin::command::{AdminCommand, CommandError, MAX_LINE_LENGTH};
use crate::admin::override_sync::OverrideSync;
use crate::admin::response::{to_wire, AdminError, AdminResponse};
use crate::control::driver::DriverHandle;
use crate::memory::budget::MemoryBudget;
use crate::net::listener::{register_accepted, Listener};
use crate::net::socket_io::Socket;
use crate::phase::Phase;
use crate::telemetry::metrics::Metrics;
use crate::time::{sleep, timeout};
use balancer_core::Millis;
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Maximum number of open connections. A further one replaces the oldest.
const MAX_CONNECTIONS: usize = 16;
/// Maximum number of descriptors that the admin server uses.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// How long the peer may take to send a line, and then again to read the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Input after the command line is read and discarded for at most this long, and up to [`MAX_DISCARDED_BYTES`]. Closing
/// a connection with unread data could destroy the response in transit.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BYTES: u64 = 64 << 10;
/// Pause after an accept that failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// What an admin server is built from.
pub struct AdminOptions {
    /// The driver of the core.
    pub driver: DriverHandle,
    /// The metrics of this process.
    pub metrics: Rc<Metrics>,
    /// The memory of this process.
    pub memory: MemoryBudget,
    /// The phase of this process.
    pub phase: watch::Receiver<Phase>,
    /// Stores and applies overrides.
    pub overrides: Rc<OverrideSync>,
    /// How long a restored upstream warms up, in milliseconds.
    pub slow_start_duration: Millis,
}

/// The admin server.
pub struct AdminServer {
    driver: DriverHandle,
    metrics: Rc<Metrics>,
    memory: MemoryBudget,
    phase: watch::Receiver<Phase>,
    overrides: Rc<OverrideSync>,
    slow_start_duration: Millis,
}

impl AdminServer {
    /// A server that does not listen yet.
    pub fn new(options: AdminOptions) -> Rc<AdminServer> {
        Rc::new(AdminServer {
            driver: options.driver,
            metrics: options.metrics,
            memory: options.memory,
            phase: options.phase,
            overrides: options.overrides,
            slow_start_duration: options.slow_start_duration,
        })
    }

    /// Accepts connections; never returns.
    pub async fn run(self: Rc<AdminServer>, listener: Listener) {
        let mut connections: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok(stream) => self.start_connection(stream, &mut connections),
                Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
    }

    /// Starts to serve a new connection, and closes the oldest one if there are too many: connections that send nothing
    /// must not keep new ones out.
    fn start_connection(
        self: &Rc<AdminServer>,
        stream: TcpStream,
        connections: &mut VecDeque<AbortHandle>,
    ) {
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = connections.pop_front() {
                oldest.abort();
            }
        }
        let connection = self.clone().serve_connection(stream);
        connections.push_back(tokio::task::spawn_local(connection).abort_handle());
    }

    async fn serve_connection(self: Rc<AdminServer>, stream: TcpStream) {
        let Some(stream) = register_accepted(stream).await else {
            return;
        };
        let mut stream = Socket::new(stream);
        let line = match timeout(CONNECTION_TIMEOUT, read_line(&mut stream)).await {
            Ok(Ok(line)) => line,
            // The peer has disconnected or sent no complete line.
            Ok(Err(_)) | Err(_) => return,
        };
        let response = to_wire(self.respond(line).await);
        // A response that the peer does not read in time is abandoned.
        let _ = timeout(CONNECTION_TIMEOUT, async {
            stream.write_all(response.as_bytes()).await?;
            stream.shutdown().await
        })
        .await;
        let mut unread_input = stream.take(MAX_DISCARDED_BYTES);
        let _ = timeout(
            DISCARD_TIMEOUT,
            tokio::io::copy(&mut unread_input, &mut tokio::io::sink()),
        )
        .await;
    }

    async fn respond(
        &self,
        line: Result<String, CommandError>,
    ) -> Result<AdminResponse, AdminError> {
        match AdminCommand::parse(&line?)? {
            AdminCommand::Status => self.status(),
            AdminCommand::Metrics => Ok(self.metrics()),
            AdminCommand::Pause => self.pause().await,
            AdminCommand::Resume => self.resume().await,
            AdminCommand::Suspend(upstream) => self.suspend(upstream).await,
            AdminCommand::Restore(upstream) => self.restore(upstream).await,
        }
    }

    fn status(&self) -> Result<AdminResponse, AdminError> {
        let phase = *self.phase.borrow();
        if phase == Phase::Starting {
            return Err(AdminError::Starting);
        }
        if !self.driver.has_ever_listed_endpoints() {
            return Err(AdminError::NoUpstreams);
        }
        match phase {
            Phase::Serving => Ok(AdminResponse::Serving),
            Phase::Paused => Ok(AdminResponse::ServingPaused),
            _ => Err(AdminError::ShuttingDown),
        }
    }

    fn metrics(&self) -> AdminResponse {
        let gauges = self.driver.gauges();
        let memory = self.memory.report();
        AdminResponse::Metrics(self.metrics.render(&gauges, &memory))
    }

    async fn pause(&self) -> Result<AdminResponse, AdminError> {
        self.overrides
            .change(|overrides| overrides.set_paused(true))
            .await?;
        Ok(AdminResponse::Paused)
    }

    async fn resume(&self) -> Result<AdminResponse, AdminError> {
        self.overrides
            .change(|overrides| overrides.set_paused(false))
            .await?;
        Ok(AdminResponse::Serving)
    }

    async fn suspend(&self, upstream: String) -> Result<AdminResponse, AdminError> {
        self.check_known_upstream(&upstream)?;
        let name = upstream.clone();
        self.overrides
            .change(move |overrides| overrides.suspend(&name))
            .await?;
        Ok(AdminResponse::Suspended(upstream))
    }

    async fn restore(&self, upstream: String) -> Result<AdminResponse, AdminError> {
        self.check_known_upstream(&upstream)?;
        let name = upstream.clone();
        let now = self.driver.now();
        let slow_start_duration = self.slow_start_duration;
        self.overrides
            .change(move |overrides| overrides.restore(&name, now, slow_start_duration))
            .await?;
        Ok(AdminResponse::Restored(upstream))
    }

    fn check_known_upstream(&self, upstream: &str) -> Result<(), AdminError> {
        if self.driver.is_known_upstream(upstream) {
            return Ok(());
        }
        Err(AdminError::UnknownUpstream(upstream.to_string()))
    }
}

/// Reads a line and removes its line feed and what follows it.
async fn read_line(stream: &mut Socket) -> io::Result<Result<String, CommandError>> {
    let mut line = Vec::new();
    let mut buffer = [0; MAX_LINE_LENGTH];
    loop {
        let length = stream.read(&mut buffer).await?;
        line.extend_from_slice(&buffer[..length]);
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            line.truncate(end);
            return Ok(decode_line(line));
        }
        if length == 0 || line.len() >= MAX_LINE_LENGTH {
            return Ok(Err(CommandError::NotOneLine));
        }
    }
}

fn decode_line(line: Vec<u8>) -> Result<String, CommandError> {
    if line.len() >= MAX_LINE_LENGTH {
        return Err(CommandError::NotOneLine);
    }
    String::from_utf8(line).map_err(|_| CommandError::NotOneLine)
}
