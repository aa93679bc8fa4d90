//! Connections to upstreams: an idle one where there is one, a new one otherwise.
use crate::inbound::client_stream::{ClientStream, HEAD_MOST};
use crate::net::descriptor_budget::{is_shortage, DescriptorBudget};
use crate::outbound::connection_pool::{Available, Connection, Upstream};
use balancer_core::AttemptOutcome;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, error::SendError};
use tokio::time::{sleep_until, timeout_at, Instant};

/// How long the time-out of an idle connection is undercut: what is sent on one that the upstream is about to
/// close ends as a reset, and the upstream counts from its last byte, not from when we read it.
const IDLE_MARGIN: Duration = Duration::from_millis(250);

/// How long a dial goes on at the least, whether or not its attempt still waits for it. What a network loses of a
/// connection's setup is sent again after a second.
const BACKGROUND_DIAL: Duration = Duration::from_secs(2);

/// One dial is followed by a further one to the same upstream each time this fraction of the dial timeout has passed, and
/// the first connection that is up is used: where a network loses some of what sets connections up, few are lost twice.
const HEDGES_PER_TIMEOUT: u32 = 8;
/// Dials for one attempt, at the most: an upstream that is down must not be sent a multiple.
const DIALS_MOST: usize = 3;

/// A connection that an attempt may use.
pub enum Connected {
    /// It has carried requests before, or was left by another attempt.
    Idle(Connection),
    /// It was made for this attempt.
    New(Connection),
}

/// Makes connections within the process's budget of sockets.
#[derive(Clone)]
pub struct Connector {
    /// A connection that is not up after this long counts as failed.
    dial_timeout: Duration,
    /// Connections are closed when idle for this long.
    idle_limit: Duration,
    sockets: DescriptorBudget,
    /// Counts the requests written whole.
    written: Rc<Cell<u64>>,
}

impl Connector {
    /// `idle_close` is when upstreams close idle connections; `written` counts the requests written whole.
    pub fn new(
        dial_timeout: Duration,
        idle_close: Duration,
        sockets: DescriptorBudget,
        written: Rc<Cell<u64>>,
    ) -> Self {
        let idle_limit = idle_close.saturating_sub(IDLE_MARGIN).max(idle_close / 2);
        Connector {
            dial_timeout,
            idle_limit,
            sockets,
            written,
        }
    }

    /// How long connections may be idle.
    pub fn idle_limit(&self) -> Duration {
        self.idle_limit
    }

    /// Whether no more sockets may be opened.
    pub fn sockets_exhausted(&self) -> bool {
        self.sockets.is_exhausted()
    }

    /// An idle connection to the upstream, also one that can be used in a moment, or else a new one by then: whichever comes
    /// first of those that are dialled and those that become idle meanwhile. A dial that is not needed or too late goes on,
    /// for the next attempt.
    pub async fn connect(
        &self,
        upstream: &Rc<Upstream>,
        until: Instant,
    ) -> Result<Connected, AttemptOutcome> {
        let until = until.min(Instant::now() + self.dial_timeout);
        let hedge_delay = self.dial_timeout / HEDGES_PER_TIMEOUT;
        let mut hedge_at = Instant::now() + hedge_delay;
        let (results, mut dialled) = mpsc::channel(DIALS_MOST);
        let mut dials = 0;
        // An attempt with hardly any time dials rather than wait.
        let latest_settled = Instant::now() + until.saturating_duration_since(Instant::now()) / 2;
        loop {
            let settled = match upstream.take(self.idle_limit) {
                Available::Connection(connection) => return Ok(Connected::Idle(connection)),
                Available::From(settled) if settled <= latest_settled => Some(settled),
                Available::From(_) | Available::Nothing => None,
            };
            if dials == 0 && settled.is_none() {
                dials += 1;
                self.start_dial(upstream, results.clone());
            }
            tokio::select! {
                biased;
                Some(made) = dialled.recv() => return made.map(Connected::New),
                () = upstream.available() => {}
                () = sleep_until(settled.unwrap_or(until)), if settled.is_some() => {}
                () = sleep_until(until) => return Err(AttemptOutcome::ConnectFailed),
                () = sleep_until(hedge_at), if (1..DIALS_MOST).contains(&dials) && self.sockets.is_plentiful() => {
                    dials += 1;
                    self.start_dial(upstream, results.clone());
                    hedge_at += hedge_delay;
                }
            }
        }
    }

    /// Starts a dial that goes on whether or not anybody still waits for it: a connection that nobody waits for any more
    /// becomes an idle one.
    fn start_dial(
        &self,
        upstream: &Rc<Upstream>,
        waiting: mpsc::Sender<Result<Connection, AttemptOutcome>>,
    ) {
        let (connector, upstream) = (self.clone(), upstream.clone());
        let until = Instant::now() + self.dial_timeout.max(BACKGROUND_DIAL);
        tokio::task::spawn_local(async move {
            let made = tokio::select! {
                made = connector.dial(&upstream, until) => made,
                () = unaffordable(&waiting, &connector.sockets) => return,
            };
            if let Err(SendError(Ok(mut unused))) = waiting.send(made).await {
                if unused.sender.ready().await.is_ok() {
                    upstream.put_unused(unused);
                }
            }
        });
    }

    async fn dial(
        &self,
        upstream: &Upstream,
        until: Instant,
    ) -> Result<Connection, AttemptOutcome> {
        // Guards against blaming an upstream for a shortage of our own.
        let permit = self
            .sockets
            .try_acquire_upstream()
            .ok_or(AttemptOutcome::NotSent)?;
        let generation = upstream.generation();
        let connecting = TcpStream::connect(upstream.addr.get());
        let stream = timeout_at(until, connecting)
            .await
            .map_err(|_| AttemptOutcome::ConnectFailed)?;
        let stream = stream.map_err(|e| {
            if is_shortage(&e) {
                AttemptOutcome::NotSent
            } else {
                AttemptOutcome::ConnectFailed
            }
        })?;
        stream
            .set_nodelay(true)
            .map_err(|_| AttemptOutcome::ConnectFailed)?;
        let socket = ClientStream::new(stream, self.written.clone());
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .handshake(io)
            .await;
        let (sender, connection) = handshake.map_err(|_| AttemptOutcome::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the attempt that was on it.
            let _ = connection.await;
        });
        Ok(Connection::new(
            sender,
            socket,
            generation,
            task.abort_handle(),
            permit,
        ))
    }
}

/// Returns once nobody waits for a dial any more and sockets are too short to go on with it.
async fn unaffordable(
    waiting: &mpsc::Sender<Result<Connection, AttemptOutcome>>,
    sockets: &DescriptorBudget,
) {
    waiting.closed().await;
    if sockets.is_plentiful() {
        std::future::pending::<()>().await;
    }
}

#[cfg(test)]
mod tests;
