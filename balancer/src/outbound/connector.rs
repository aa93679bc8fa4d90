//! Provides an attempt with a connection to its upstream: an idle one from the pool, or a new one.
use crate::net::descriptor_budget::{is_resource_shortage, DescriptorBudget};
use crate::net::shared_stream::{SharedStream, MAX_HEAD_BYTES};
use crate::net::tcp_stream::TcpStream;
use crate::outbound::connection_pool::{Connection, PooledConnection, Upstream};
use crate::telemetry::upstream_counts::UpstreamCounts;
use crate::time::{sleep_until, timeout_at};
use balancer_core::AttemptOutcome;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::SendError};
use tokio::time::Instant;

/// Subtracted from the upstreams' idle timeout. A request on a connection that the upstream is
/// about to close would end as a reset, and the upstream measures idle time from when it sent its
/// last byte, which is before that byte was read here.
const IDLE_MARGIN: Duration = Duration::from_millis(250);
/// Shortest time limit of a dial, which continues even if its attempt no longer waits for it. TCP
/// retransmits a lost handshake packet after a second, so a shorter limit would end it too early.
const MIN_DIAL_TIME: Duration = Duration::from_secs(2);
/// An attempt without a connection starts another dial to the same upstream, a hedge, each time the
/// dial timeout divided by this number has passed. It uses the first connection that opens.
const HEDGES_PER_DIAL_TIMEOUT: u32 = 8;
/// Largest number of dials for one attempt.
const MAX_DIALS: usize = 3;

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// From the pool: it was idle, and may be stale.
    Pooled,
    /// Opened for this attempt.
    New,
}

/// A connection for an attempt.
pub struct AcquiredConnection {
    /// The open connection.
    pub connection: Connection,
    /// Where it comes from.
    pub origin: ConnectionOrigin,
}

/// The result of a dial.
type DialResult = Result<Connection, AttemptOutcome>;

/// Opens connections within the process's budget of file descriptors.
#[derive(Clone)]
pub struct Connector {
    /// Longest time that an attempt waits for a new connection.
    dial_timeout: Duration,
    /// Connections are closed after being idle for this long.
    idle_limit: Duration,
    descriptors: DescriptorBudget,
    counts: Rc<UpstreamCounts>,
}

impl Connector {
    /// Creates a connector. Upstreams close connections that have been idle for
    /// `upstream_idle_timeout`. The connections update `counts`.
    pub fn new(
        dial_timeout: Duration,
        upstream_idle_timeout: Duration,
        descriptors: DescriptorBudget,
        counts: Rc<UpstreamCounts>,
    ) -> Self {
        let idle_limit = upstream_idle_timeout
            .saturating_sub(IDLE_MARGIN)
            .max(upstream_idle_timeout / 2);
        Connector {
            dial_timeout,
            idle_limit,
            descriptors,
            counts,
        }
    }

    /// How long connections may be idle.
    pub fn idle_limit(&self) -> Duration {
        self.idle_limit
    }

    /// Whether the descriptor budget has no free permit, so that no connection can be opened.
    pub fn descriptors_exhausted(&self) -> bool {
        self.descriptors.is_exhausted()
    }

    /// Whether an idle connection to this upstream may be kept. It may not if descriptors are
    /// scarce and surplus data extends the reuse delay: other connections then need its descriptor
    /// before it could be reused.
    pub fn may_keep_idle(&self, upstream: &Upstream) -> bool {
        self.descriptors.has_spare_permits()
            || !upstream
                .surplus_history()
                .has_extended_reuse_delay(Instant::now())
    }

    /// Returns the first connection to the upstream that is available by `deadline`: an idle one,
    /// one that becomes idle, or a new one. A dial that is not awaited any more continues and adds
    /// its connection to the pool, unless descriptors are scarce when its attempt stops waiting.
    pub async fn connect(
        &self,
        upstream: &Rc<Upstream>,
        deadline: Instant,
    ) -> Result<AcquiredConnection, AttemptOutcome> {
        let deadline = deadline.min(Instant::now() + self.dial_timeout);
        let mut dials = Dials::new(self, upstream);
        // An attempt waits for an idle connection to become reusable for at most half of the time
        // that it has for connecting.
        let latest_reuse_at =
            Instant::now() + deadline.saturating_duration_since(Instant::now()) / 2;
        loop {
            let reusable_at = match upstream.take_idle(self.idle_limit) {
                PooledConnection::Ready(connection) => {
                    return Ok(AcquiredConnection {
                        connection,
                        origin: ConnectionOrigin::Pooled,
                    })
                }
                PooledConnection::ReadyAt(at) if at <= latest_reuse_at => Some(at),
                PooledConnection::ReadyAt(_) | PooledConnection::None => None,
            };
            match dials.failure {
                Some(failure) if reusable_at.is_none() => return Err(failure),
                _ => {}
            }
            if dials.started == 0 && !(reusable_at.is_some() && self.waits_for_idle(upstream)) {
                dials.start();
            }
            tokio::select! {
                biased;
                Some(dialled) = dials.receiver.recv() => match dialled {
                    Ok(connection) => return Ok(AcquiredConnection {
                        connection,
                        origin: ConnectionOrigin::New,
                    }),
                    Err(failure) => dials.failure = Some(failure),
                },
                () = upstream.idle_connection_added() => {}
                () = sleep_until(reusable_at.unwrap_or(deadline)), if reusable_at.is_some() => {}
                () = sleep_until(deadline) => return Err(AttemptOutcome::ConnectFailed),
                () = sleep_until(dials.next_hedge_at), if dials.may_hedge() => dials.hedge(),
            }
        }
    }

    /// Whether an attempt waits for an idle connection to become reusable instead of opening
    /// another.
    fn waits_for_idle(&self, upstream: &Upstream) -> bool {
        let may_wait = upstream.has_sole_connection() || !self.descriptors.has_spare_permits();
        may_wait
            && !upstream
                .surplus_history()
                .has_extended_reuse_delay(Instant::now())
    }

    /// Starts a dial. If its attempt stops waiting for it, the dial continues and adds its
    /// connection to the pool, unless descriptors are scarce at that time.
    fn start_dial(&self, upstream: &Rc<Upstream>, results: mpsc::Sender<DialResult>) {
        let connector = self.clone();
        let upstream = upstream.clone();
        let deadline = Instant::now() + self.dial_timeout.max(MIN_DIAL_TIME);
        tokio::task::spawn_local(async move {
            let dialled = tokio::select! {
                dialled = connector.dial(&upstream, deadline) => dialled,
                () = wait_until_dial_must_end(&results, &connector.descriptors) => return,
            };
            if let Err(SendError(Ok(mut unused))) = results.send(dialled).await {
                if unused.sender.ready().await.is_ok() {
                    upstream.add_unused(unused);
                }
            }
        });
    }

    async fn dial(&self, upstream: &Rc<Upstream>, deadline: Instant) -> DialResult {
        // A shortage of descriptors in this process is no evidence of a failure of the upstream.
        let permit = self
            .descriptors
            .try_acquire_connection()
            .ok_or(AttemptOutcome::NotSent)?;
        let generation = upstream.generation();
        let stream = open_stream(upstream, deadline).await?;
        let socket = SharedStream::new_to_upstream(stream, self.counts.requests_written());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(|_| AttemptOutcome::ConnectFailed)?;
        let surplus_reporter = upstream.new_surplus_reporter(socket.clone(), self.counts.clone());
        let reporter = surplus_reporter.clone();
        let open_count = self.counts.record_connection_opened();
        let task = tokio::task::spawn_local(async move {
            let _open_count = open_count;
            // If an attempt uses the connection, the attempt gets the error too. If the connection
            // is idle, only this task gets it.
            if let Err(error) = connection.await {
                reporter.report_if_surplus_caused(&error);
            }
        });
        Ok(Connection::new(
            upstream,
            sender,
            socket,
            generation,
            task.abort_handle(),
            surplus_reporter,
            permit,
        ))
    }
}

/// The dials of one attempt.
struct Dials<'a> {
    connector: &'a Connector,
    upstream: &'a Rc<Upstream>,
    started: usize,
    /// The outcome of a dial that failed. The attempt continues if an idle connection will become
    /// reusable.
    failure: Option<AttemptOutcome>,
    hedge_delay: Duration,
    next_hedge_at: Instant,
    sender: mpsc::Sender<DialResult>,
    receiver: mpsc::Receiver<DialResult>,
}

impl<'a> Dials<'a> {
    fn new(connector: &'a Connector, upstream: &'a Rc<Upstream>) -> Dials<'a> {
        let hedge_delay = connector.dial_timeout / HEDGES_PER_DIAL_TIMEOUT;
        let next_hedge_at = Instant::now() + hedge_delay;
        let (sender, receiver) = mpsc::channel(MAX_DIALS);
        Dials {
            connector,
            upstream,
            started: 0,
            failure: None,
            hedge_delay,
            next_hedge_at,
            sender,
            receiver,
        }
    }

    fn start(&mut self) {
        self.started += 1;
        self.connector
            .start_dial(self.upstream, self.sender.clone());
    }

    fn may_hedge(&self) -> bool {
        (1..MAX_DIALS).contains(&self.started) && self.connector.descriptors.has_spare_permits()
    }

    fn hedge(&mut self) {
        self.start();
        self.next_hedge_at += self.hedge_delay;
    }
}

async fn open_stream(upstream: &Upstream, deadline: Instant) -> Result<TcpStream, AttemptOutcome> {
    let stream = timeout_at(deadline, TcpStream::connect(upstream.address()))
        .await
        .map_err(|_| AttemptOutcome::ConnectFailed)?
        .map_err(|error| outcome_of_connect_error(&error))?;
    stream
        .set_nodelay(true)
        .map_err(|_| AttemptOutcome::ConnectFailed)?;
    Ok(stream)
}

fn outcome_of_connect_error(error: &io::Error) -> AttemptOutcome {
    if is_resource_shortage(error) {
        AttemptOutcome::NotSent
    } else {
        AttemptOutcome::ConnectFailed
    }
}

/// Waits until the attempt that started a dial has stopped waiting for it. Returns then if
/// descriptors are scarce, so that the dial must end; otherwise it never returns.
async fn wait_until_dial_must_end(
    results: &mpsc::Sender<DialResult>,
    descriptors: &DescriptorBudget,
) {
    results.closed().await;
    if descriptors.has_spare_permits() {
        std::future::pending::<()>().await;
    }
}

#[cfg(test)]
mod tests;
