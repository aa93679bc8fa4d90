//! Clients that send about sixty idempotent requests a second, half of them on new connections.
use crate::common::{get_request, read_message, Message};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(33);
/// The balancer must not close an idle connection within this time after the last response.
const MIN_IDLE_TIME: Duration = Duration::from_millis(80);
/// For this long after SIGTERM, a balancer without a successor must accept connections. This is a little less than it
/// guarantees.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(400);
/// Longest time for a response: the deadline of the requests' class, and a margin.
const RESPONSE_LIMIT: Duration = Duration::from_millis(2500);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A response with this status.
    Response(u16),
    /// The request was sent, and the connection closed without a response.
    ClosedWithoutResponse,
    /// The request was sent on a connection that was idle for at least [`MIN_IDLE_TIME`], and the connection closed without
    /// a response: the balancer may have closed it before the request arrived.
    ClosedWhenIdle,
    /// No response in time.
    Overdue,
    /// The balancer did not accept a connection.
    Refused,
    /// The balancer did not accept a connection later than [`MIN_ACCEPT_TIME`] after SIGTERM, when it need not accept any
    /// more.
    RefusedLate,
}

/// The number of requests by outcome.
pub type Tally = BTreeMap<RequestOutcome, usize>;

/// The state of a play, as its clients need it.
#[derive(Default)]
struct Progress {
    /// Set when the last process is sent SIGTERM.
    terminated_at: OnceLock<Instant>,
    stops_connecting: AtomicBool,
    /// Set once a play has failed: its processes may run on and keep their connections open.
    is_abandoned: AtomicBool,
}

impl Progress {
    fn must_accept(&self) -> bool {
        self.terminated_at
            .get()
            .is_none_or(|at| at.elapsed() < MIN_ACCEPT_TIME)
    }
}

/// Clients that run until the balancer ends their connections.
pub struct Load {
    progress: Arc<Progress>,
    clients: Vec<JoinHandle<Tally>>,
}

impl Load {
    /// Starts a client that keeps its connection and one that connects for each request.
    pub fn start(address: SocketAddr) -> Load {
        let progress = Arc::new(Progress::default());
        let clients = [true, false]
            .map(|keeps_connection| {
                let client = LoadClient {
                    address,
                    keeps_connection,
                    progress: progress.clone(),
                    connection: None,
                    tally: Tally::new(),
                };
                thread::spawn(move || client.run())
            })
            .into();
        Load { progress, clients }
    }

    /// Records that the last process is sent SIGTERM now.
    pub fn mark_terminated(&self) {
        let _ = self.progress.terminated_at.set(Instant::now());
    }

    /// Stops opening new connections.
    pub fn stop_connecting(&self) {
        self.progress.stops_connecting.store(true, Ordering::SeqCst);
    }

    /// Stops the clients without waiting for the balancer to end their connections.
    pub fn abandon(&self) {
        self.progress.is_abandoned.store(true, Ordering::SeqCst);
    }

    /// Stops opening connections, waits until the last one has ended, and returns the outcomes of all requests.
    pub fn finish(self) -> Tally {
        self.stop_connecting();
        let mut total = Tally::new();
        for client in self.clients {
            for (outcome, count) in client.join().expect("the client does not panic") {
                *total.entry(outcome).or_default() += count;
            }
        }
        total
    }
}

struct Connection {
    stream: BufReader<TcpStream>,
    /// When the last response was read; `None` on a new connection.
    idle_since: Option<Instant>,
}

impl Connection {
    fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_LIMIT))?;
        Ok(Connection {
            stream: BufReader::new(stream),
            idle_since: None,
        })
    }

    /// Sends a request and reads the response.
    fn exchange(&mut self, request: &str) -> Result<Message, RequestOutcome> {
        let sent_at = Instant::now();
        let may_be_closed_as_idle = self
            .idle_since
            .is_some_and(|at| sent_at.duration_since(at) >= MIN_IDLE_TIME);
        let written = self.stream.get_mut().write_all(request.as_bytes());
        let response = written.ok().and_then(|()| read_message(&mut self.stream));
        self.idle_since = Some(Instant::now());
        match response {
            Some(response) if sent_at.elapsed() < RESPONSE_LIMIT => Ok(response),
            _ if sent_at.elapsed() >= RESPONSE_LIMIT => Err(RequestOutcome::Overdue),
            _ if may_be_closed_as_idle => Err(RequestOutcome::ClosedWhenIdle),
            _ => Err(RequestOutcome::ClosedWithoutResponse),
        }
    }
}

struct LoadClient {
    address: SocketAddr,
    keeps_connection: bool,
    progress: Arc<Progress>,
    connection: Option<Connection>,
    tally: Tally,
}

impl LoadClient {
    fn run(mut self) -> Tally {
        let mut requests = 0;
        while !self.is_finished() {
            let id = format!("{}-{requests}", self.keeps_connection);
            requests += 1;
            let outcome = self.request(&get_request(&id, "5000m"));
            *self.tally.entry(outcome).or_default() += 1;
            thread::sleep(REQUEST_INTERVAL);
        }
        self.tally
    }

    fn is_finished(&self) -> bool {
        let progress = &self.progress;
        let may_connect = !progress.stops_connecting.load(Ordering::SeqCst);
        let is_abandoned = progress.is_abandoned.load(Ordering::SeqCst);
        is_abandoned || (self.connection.is_none() && !may_connect)
    }

    fn request(&mut self, request: &str) -> RequestOutcome {
        let must_accept = self.progress.must_accept();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match Connection::open(self.address) {
                Ok(connection) => connection,
                Err(_) if must_accept && self.progress.must_accept() => {
                    return RequestOutcome::Refused
                }
                Err(_) => return RequestOutcome::RefusedLate,
            },
        };
        match connection.exchange(request) {
            Ok(response) => {
                let is_last = response.header("connection") == Some("close");
                if self.keeps_connection && !is_last {
                    self.connection = Some(connection);
                }
                RequestOutcome::Response(response.status())
            }
            Err(outcome) => outcome,
        }
    }
}
