//! The discovery client: the watch that keeps the list of endpoints up to date.
//!
//! When to ask is the decision module's choice ([`balancer_core::Action::PollEndpoints`]), which the consumer of the updates passes
//! on; a watch that stands is kept up here.
use crate::discovery::endpoints::{EndpointConsumer, EndpointUpdate, TopologyNames};
use crate::net::socket_io::Socket;
use crate::telemetry::log::Log;
use balancer_settings::Deployment;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// What discovery has counts as told after this long, once it could be reached: whatever came before, a silent call, a
/// spoilt answer or a pause, the next whole call has to be over by then.
const TOLD: Duration = Duration::from_secs(6);
/// The module lets up to a third of this pass between two calls that failed, so that both and the next fit into
/// [`TOLD`] together.
pub const ACKNOWLEDGE_INTERVAL: Duration = TOLD.checked_div(2).expect("not divided by zero");

/// How long one call of a watch may wait for news, and how long it then gets to answer before it counts as failed.
/// Guards against a watch that falls silent: nothing tells it from one without news until its wait is over.
#[derive(Clone, Copy)]
struct CallTimeouts {
    wait: Duration,
    /// The wait of a call that begins a watch: news that came before is answered at once anyway.
    first_wait: Duration,
    answer: Duration,
    /// A call that begins a watch gets this long, and one that wants the whole list.
    first_answer: Duration,
    whole: Duration,
    /// And so does the first call at a new address.
    moved_answer: Duration,
}

impl CallTimeouts {
    /// The agent that a list is pushed to is on this machine and answers at no cost.
    const PUSHED: CallTimeouts = CallTimeouts {
        wait: Duration::from_secs(1),
        first_wait: Duration::from_secs(1),
        answer: Duration::from_millis(500),
        first_answer: Duration::from_millis(1500),
        whole: Duration::from_millis(500),
        moved_answer: Duration::from_millis(500),
    };
    /// Discovery that must be asked is one queue for all and works in turn: a call that begins a watch waits there, and
    /// giving it up early only wastes the work done for it. Where all do so, discovery works for nobody. A silent watch, the
    /// longest first pause of the module (0.4 s) and a call in the queue take 5.7 s of [`TOLD`]; two calls in the queue with
    /// that pause between them 6 s, the second of which is seldom silent too.
    const ASKED: CallTimeouts = CallTimeouts {
        wait: Duration::from_millis(1500),
        first_wait: Duration::from_millis(50),
        answer: Duration::from_secs(1),
        first_answer: Duration::from_millis(2800),
        whole: Duration::from_millis(2800),
        moved_answer: Duration::from_millis(2200),
    };

    /// How long the next call may wait for news, and how long it gets in all: the next of a standing watch, or the first
    /// of one, or one for the whole list where no version is `known`.
    fn of_next(&self, standing: bool, known: bool) -> (Duration, Duration) {
        match (standing, known) {
            (_, false) => (Duration::ZERO, self.whole),
            (true, true) => (self.wait, self.wait + self.answer),
            (false, true) => (self.first_wait, self.first_answer),
        }
    }
}

/// A connection to discovery that is not up after this long has failed: it must not use up a call's time.
const DIAL: Duration = Duration::from_millis(500);
/// First pause before a new address that failed is tried again; it doubles with each failure up to the most. All that
/// discovery has counts as told 4 s after the signal, so that a call there gets no more than an answer's time either.
const MOVED_PAUSE: Duration = Duration::from_millis(100);
const MOVED_PAUSE_MOST: Duration = Duration::from_millis(500);
/// Longest and shortest pause before a pushed list is asked for again.
const PUSHED_PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// Largest list accepted.
const LIST_MOST: usize = 4 << 20;

/// Why a call brought no list.
#[derive(Debug)]
enum CallError {
    /// No connection came up in time.
    NotConnected,
    /// No connection was made.
    Connect(io::Error),
    /// The connection broke, or what came is no HTTP.
    Broken(hyper::Error),
    /// The whole answer did not come in time.
    NoAnswer,
    /// Discovery answered that it does not serve the call.
    Refused(StatusCode),
    /// The answer is no list.
    Malformed(String),
    /// The list does not follow the one that is known.
    Stale { version: u64, known: u64 },
}

impl CallError {
    fn is_refusal(&self) -> bool {
        matches!(self, CallError::Refused(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotConnected => f.write_str("not connected in time"),
            CallError::Connect(error) => error.fmt(f),
            CallError::Broken(error) => error.fmt(f),
            CallError::NoAnswer => f.write_str("no answer in time"),
            CallError::Refused(status) => write!(f, "answered {status}"),
            CallError::Malformed(error) => f.write_str(error),
            CallError::Stale { version, known } => {
                write!(f, "version {version} does not follow {known}")
            }
        }
    }
}

impl std::error::Error for CallError {}

impl From<hyper::Error> for CallError {
    fn from(error: hyper::Error) -> CallError {
        CallError::Broken(error)
    }
}

/// One connection to discovery; closed when dropped.
struct DiscoveryConnection {
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DiscoveryConnection {
    async fn open(addr: SocketAddr) -> Result<DiscoveryConnection, CallError> {
        let dial = timeout(DIAL, TcpStream::connect(addr)).await;
        let stream = dial
            .map_err(|_| CallError::NotConnected)?
            .map_err(CallError::Connect)?;
        let (sender, conn) = http1::handshake(TokioIo::new(Socket::new(stream))).await?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the call that was on it.
            let _ = conn.await;
        });
        Ok(DiscoveryConnection {
            sender,
            task: task.abort_handle(),
        })
    }
}

/// Keeps the list fresh: answers each of the module's subscriptions and keeps a watch that stands.
pub struct Discovery {
    addr: SocketAddr,
    addresses: watch::Receiver<SocketAddr>,
    names: TopologyNames,
    /// Whether the list needs no asking and the watch always stands.
    pushed: bool,
    client_timeout: CallTimeouts,
    /// Before a pushed list is asked for again.
    pause: Duration,
    link: Option<DiscoveryConnection>,
    version: Option<u64>,
    /// What was wrong with the last call.
    error: Option<String>,
    log: Log,
}

impl Discovery {
    /// Begins with the version of the list that the balancer already has, if any. The newest of `addresses` is where
    /// discovery is.
    pub fn new(
        addresses: watch::Receiver<SocketAddr>,
        deployment: &Deployment,
        version: Option<u64>,
        log: Log,
    ) -> Discovery {
        let pushed = !deployment.policy.poll_endpoints;
        // What the agent gets while a watch is broken counts as acknowledged all the same: the next call has to bring
        // it well within the time in which sends to a draining upstream must end.
        let drain_grace = deployment.drain_grace;
        let addr = *addresses.borrow();
        Discovery {
            addr,
            addresses,
            names: TopologyNames::of(deployment),
            pushed,
            client_timeout: if pushed {
                CallTimeouts::PUSHED
            } else {
                CallTimeouts::ASKED
            },
            pause: (drain_grace / 3).clamp(PUSHED_PAUSE.0, PUSHED_PAUSE.1),
            link: None,
            version,
            error: None,
            log,
        }
    }

    /// Serves subscriptions for ever.
    pub async fn run(mut self, consumer: impl EndpointConsumer) {
        let mut addresses = self.addresses.clone();
        let mut moved = false;
        loop {
            // Guards against a dial, a call or a pause at the old address holding up the move to a new one:
            // whatever is under way there is dropped.
            tokio::select! {
                biased;
                changed = addresses.changed() => match changed {
                    Ok(()) => {
                        moved = true;
                        self.follow(*addresses.borrow_and_update());
                    }
                    // The program is ending.
                    Err(_) => return,
                },
                () = self.serve(&consumer, moved) => {}
            }
        }
    }

    /// Goes over to another address, where the versions of the old one mean nothing.
    fn follow(&mut self, addr: SocketAddr) {
        self.log.line(&format!("discovery: now at {addr}"));
        (self.addr, self.link, self.version) = (addr, None, None);
    }

    /// Serves subscriptions for ever. After a move the first call waits for none: until it has brought the whole list the
    /// balancer goes by what it was told before.
    async fn serve(&mut self, consumer: &impl EndpointConsumer, moved: bool) {
        let mut answered = moved && self.first_call(consumer).await;
        loop {
            if !self.pushed && !answered {
                consumer.subscribed().await;
            }
            let error = loop {
                let (wait, client_timeout) = self
                    .client_timeout
                    .of_next(answered, self.version.is_some());
                match self.call(wait, client_timeout).await {
                    Ok(update) => {
                        if update.full || !update.endpoints.is_empty() {
                            consumer.apply(&update);
                        } else {
                            consumer.confirm();
                        }
                        answered = true;
                    }
                    Err(e) => break e,
                }
            };
            answered = false;
            self.failed(&error);
            consumer.update_failed(error.is_refusal());
            if self.pushed {
                tokio::time::sleep(self.pause).await;
            }
        }
    }

    /// Calls a new address until it answers. Whether it has; where it refuses, and serves a whole fleet that was moved
    /// together, the module says when to call again.
    async fn first_call(&mut self, consumer: &impl EndpointConsumer) -> bool {
        consumer.moved();
        let mut pause = MOVED_PAUSE;
        loop {
            // The whole list is wanted there, for which no call waits.
            match self
                .call(Duration::ZERO, self.client_timeout.moved_answer)
                .await
            {
                Ok(update) => {
                    consumer.apply(&update);
                    return true;
                }
                Err(error) => {
                    self.failed(&error);
                    if error.is_refusal() && !self.pushed {
                        consumer.update_failed(true);
                        return false;
                    }
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MOVED_PAUSE_MOST);
        }
    }

    fn failed(&mut self, error: &CallError) {
        self.link = None;
        let error = error.to_string();
        // Guards against a log full of one line while discovery is down.
        if self.error.as_ref() != Some(&error) {
            self.log.line(&format!("discovery: {error}"));
            self.error = Some(error);
        }
    }

    /// One call, which may `wait` for news and gets `client_timeout` in all. An answer that is malformed is an error and changes nothing, and so is what does not follow what is
    /// known: discovery may have begun anew, but an answer may also be stale. The next call asks for the whole list,
    /// which holds whatever its version.
    async fn call(
        &mut self,
        wait: Duration,
        client_timeout: Duration,
    ) -> Result<EndpointUpdate, CallError> {
        let began = Instant::now();
        let fetched = timeout(client_timeout, self.fetch(wait))
            .await
            .unwrap_or(Err(CallError::NoAnswer));
        let took_ms = began.elapsed().as_millis() as u64;
        match &fetched {
            Ok(update) => tracing::debug!(
                since = self.version,
                version = update.version,
                full = update.full,
                endpoints = update.endpoints.len(),
                took_ms,
                "discovery answered"
            ),
            Err(error) => {
                tracing::debug!(since = self.version, %error, took_ms, "discovery call failed")
            }
        }
        let update = fetched?;
        if self.version.map_or(!update.full, |v| update.version < v) {
            // Guards against asking for ever for what follows a version that discovery no longer knows.
            let known = self.version.take().unwrap_or(0);
            return Err(CallError::Stale {
                version: update.version,
                known,
            });
        }
        (self.version, self.error) = (Some(update.version), None);
        Ok(update)
    }

    async fn fetch(&mut self, wait: Duration) -> Result<EndpointUpdate, CallError> {
        let path = match self.version {
            Some(v) => format!("/api/targets?since={v}&timeout_ms={}", wait.as_millis()),
            None => "/api/targets".to_string(),
        };
        // Guards against a connection that discovery closed after its last answer: that is no failed call.
        let up = match self.link.as_mut() {
            Some(link) => link.sender.ready().await.is_ok(),
            None => false,
        };
        if !up {
            self.link = Some(DiscoveryConnection::open(self.addr).await?);
        }
        let Some(link) = self.link.as_mut() else {
            return Err(CallError::NotConnected);
        };
        let request = Request::get(path)
            .header(header::HOST, self.addr.to_string())
            .body(Empty::new());
        let request = request.map_err(|e| CallError::Malformed(e.to_string()))?;
        let answer = link.sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            return Err(CallError::Refused(answer.status()));
        }
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await;
        let body = body.map_err(|e| CallError::Malformed(e.to_string()))?;
        EndpointUpdate::parse(&body.to_bytes(), &self.names).map_err(CallError::Malformed)
    }
}
