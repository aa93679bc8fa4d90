//! The discovery client: the watch that keeps the list of endpoints up to date.
//!
//! When to ask is the decision module's choice ([`oakflow::Action::Subscribe`]), which the consumer of the updates passes
//! on; a watch that stands is kept up here.
use crate::clock::from_millis;
use crate::endpoints::{EndpointConsumer, EndpointUpdate, TopologyNames};
use crate::log::Log;
use crate::socket_io::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use oakflow_settings::Deployment;
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
struct Patience {
    wait: Duration,
    /// The wait of a call that follows a failed one: that has used up a wait already.
    retry: Duration,
    answer: Duration,
    /// A call for the whole list, which does not wait for news, gets this long.
    whole: Duration,
}

impl Patience {
    /// The agent that a list is pushed to is on this machine and answers at no cost.
    const PUSHED: Patience = Patience {
        wait: Duration::from_secs(1),
        retry: Duration::from_secs(1),
        answer: Duration::from_millis(500),
        whole: Duration::from_millis(500),
    };
    /// Discovery that must be asked is one queue for all, and works in turn: fewer calls, and more time for each. A
    /// silent call, the longest first pause of the module (0.4 s) and the next call take 5.1 s of [`TOLD`]; two calls
    /// for the whole list with the longest pause between them 5 s.
    const ASKED: Patience = Patience {
        wait: Duration::from_millis(2500),
        retry: Duration::from_millis(200),
        answer: Duration::from_secs(1),
        whole: Duration::from_secs(2),
    };
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

/// One connection to discovery; closed when dropped.
struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    async fn open(addr: SocketAddr) -> Result<Link, String> {
        let dial = timeout(DIAL, TcpStream::connect(addr)).await;
        let stream = dial.map_err(|_| "not connected in time".to_string())?.map_err(|e| e.to_string())?;
        let (sender, conn) =
            http1::handshake(TokioIo::new(Socket::new(stream))).await.map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the call that was on it.
            let _ = conn.await;
        });
        Ok(Link { sender, task: task.abort_handle() })
    }
}

/// Keeps the list fresh: answers each of the module's subscriptions and keeps a watch that stands.
pub struct Discovery {
    addr: SocketAddr,
    addresses: watch::Receiver<SocketAddr>,
    names: TopologyNames,
    /// Whether the list needs no asking and the watch always stands.
    pushed: bool,
    patience: Patience,
    /// Before a pushed list is asked for again.
    pause: Duration,
    link: Option<Link>,
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
        let pushed = !deployment.policy.ask_for_list;
        // What the agent gets while a watch is broken counts as acknowledged all the same: the next call has to bring
        // it well within the time in which sends to a draining upstream must end.
        let drain_grace = from_millis(deployment.drain_grace);
        let addr = *addresses.borrow();
        Discovery {
            addr,
            addresses,
            names: TopologyNames::of(deployment),
            pushed,
            patience: if pushed { Patience::PUSHED } else { Patience::ASKED },
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

    /// Serves subscriptions for ever. After a move the first call waits for none and is repeated until it has
    /// brought the whole list: until then the balancer goes by what it was told before.
    async fn serve(&mut self, consumer: &impl EndpointConsumer, moved: bool) {
        let mut answered = false;
        if moved {
            let mut pause = MOVED_PAUSE;
            while !answered {
                match self.call(self.patience.answer).await {
                    Ok(update) => {
                        consumer.apply(&update);
                        answered = true;
                    }
                    Err(error) => {
                        self.failed(&error);
                        tokio::time::sleep(pause).await;
                        pause = (pause * 2).min(MOVED_PAUSE_MOST);
                    }
                }
            }
        }
        loop {
            if !self.pushed && !answered {
                consumer.subscribed().await;
            }
            let error = loop {
                let patience =
                    self.version.map_or(self.patience.whole, |_| self.wait() + self.patience.answer);
                match self.call(patience).await {
                    Ok(update) => {
                        // One event answers the subscription; after that only changes are news.
                        if !answered || update.full || !update.endpoints.is_empty() {
                            consumer.apply(&update);
                        }
                        answered = true;
                    }
                    Err(e) => break e,
                }
            };
            answered = false;
            self.failed(&error);
            consumer.update_failed();
            if self.pushed {
                tokio::time::sleep(self.pause).await;
            }
        }
    }

    fn failed(&mut self, error: &str) {
        self.link = None;
        // Guards against a log full of one line while discovery is down.
        if self.error.as_deref() != Some(error) {
            self.log.line(&format!("discovery: {error}"));
            self.error = Some(error.to_string());
        }
    }

    /// How long the next call may wait for news.
    fn wait(&self) -> Duration {
        if self.error.is_some() {
            self.patience.retry
        } else {
            self.patience.wait
        }
    }

    /// One call. An answer that is malformed is an error and changes nothing, and so is what does not follow what is
    /// known: discovery may have begun anew, but an answer may also be stale. The next call asks for the whole list,
    /// which holds whatever its version.
    async fn call(&mut self, patience: Duration) -> Result<EndpointUpdate, String> {
        let began = Instant::now();
        let fetched = timeout(patience, self.fetch()).await.map_err(|_| "no answer in time".to_string());
        let fetched = fetched.and_then(|fetched| fetched);
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
            Err(error) => tracing::debug!(since = self.version, error, took_ms, "discovery call failed"),
        }
        let update = fetched?;
        if self.version.map_or(!update.full, |v| update.version < v) {
            // Guards against asking for ever for what follows a version that discovery no longer knows.
            let known = self.version.take().unwrap_or(0);
            return Err(format!("version {} does not follow {known}", update.version));
        }
        (self.version, self.error) = (Some(update.version), None);
        Ok(update)
    }

    async fn fetch(&mut self) -> Result<EndpointUpdate, String> {
        let path = match self.version {
            Some(v) => format!("/api/targets?since={v}&timeout_ms={}", self.wait().as_millis()),
            None => "/api/targets".to_string(),
        };
        // Guards against a connection that discovery closed after its last answer: that is no failed call.
        let up = match self.link.as_mut() {
            Some(link) => link.sender.ready().await.is_ok(),
            None => false,
        };
        if !up {
            self.link = Some(Link::open(self.addr).await?);
        }
        let Some(link) = self.link.as_mut() else { return Err("not connected".into()) };
        let request = Request::get(path).header(header::HOST, self.addr.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let answer = link.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.map_err(|e| e.to_string())?;
        EndpointUpdate::parse(&body.to_bytes(), &self.names)
    }
}
