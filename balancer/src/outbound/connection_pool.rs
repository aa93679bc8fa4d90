//! One upstream and its pool of idle connections.
use crate::body::request_body::AttemptBody;
use crate::net::peer::UnreadState;
use crate::net::shared_stream::SharedStream;
use crate::outbound::request_history::RequestHistory;
use crate::outbound::surplus_history::{SurplusCause, SurplusHistory, LONG_REUSE_DELAY};
use crate::outbound::surplus_reporter::{SurplusRecipient, SurplusReporter};
use crate::telemetry::upstream_counts::UpstreamCounts;
use hyper::client::conn::http1;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Connections that have been idle for this long are preferred: the longer a connection has been
/// idle, the less likely it is that surplus data still follows its last response.
const PREFERRED_IDLE_TIME: Duration = Duration::from_secs(1);
/// How long a connection that may not be reused stays open, to find out whether surplus data still
/// follows the upstream's responses.
const OBSERVATION_TIME: Duration = LONG_REUSE_DELAY;

/// An open connection; closed when dropped.
pub struct Connection {
    /// Sends one request at a time.
    pub sender: http1::SendRequest<AttemptBody>,
    /// The underlying socket.
    pub socket: SharedStream,
    /// The upstream's generation when the dial began.
    generation: u64,
    /// The task that reads and writes the connection.
    task: AbortHandle,
    surplus_reporter: SurplusReporter,
    /// The number of open connections to its upstream.
    open_connections: Rc<Cell<usize>>,
    /// Its share of the descriptor budget.
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

impl Connection {
    /// Wraps an open connection to `upstream`. `task` reads and writes it, and `permit` is its
    /// share of the descriptor budget.
    pub fn new(
        upstream: &Upstream,
        sender: http1::SendRequest<AttemptBody>,
        socket: SharedStream,
        generation: u64,
        task: AbortHandle,
        surplus_reporter: SurplusReporter,
        permit: OwnedSemaphorePermit,
    ) -> Connection {
        let open_connections = upstream.open_connections.clone();
        open_connections.set(open_connections.get() + 1);
        Connection {
            sender,
            socket,
            generation,
            task,
            surplus_reporter,
            open_connections,
            _permit: permit,
        }
    }

    /// The history of the requests that the connection has carried.
    pub fn request_history(&self) -> &RequestHistory {
        self.surplus_reporter.request_history()
    }

    /// The reporter of surplus data on this connection.
    pub fn surplus_reporter(&self) -> &SurplusReporter {
        &self.surplus_reporter
    }

    /// Whether the connection can carry a request: the upstream has not closed it, and there are no
    /// unread bytes that would be taken for the next response. Reports such bytes as surplus data.
    fn check_reusable(&self) -> bool {
        match self.socket.unread_state() {
            UnreadState::Nothing => self.sender.is_ready(),
            UnreadState::Bytes => {
                self.surplus_reporter.report();
                false
            }
            UnreadState::Closed => false,
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// Whether it is kept open for observation only, and carries no further request.
    is_observed_only: bool,
}

impl IdleConnection {
    /// When it may carry a request: at least `reuse_delay` after its last response, or at once if
    /// it has had none. `None` if it carries no further request.
    fn reusable_at(&self, reuse_delay: Duration) -> Option<Instant> {
        if self.is_observed_only {
            return None;
        }
        let delay = if self.connection.request_history().has_completed_request() {
            reuse_delay
        } else {
            Duration::ZERO
        };
        Some(self.idle_since + delay)
    }

    fn is_expired(&self, now: Instant, idle_limit: Duration) -> bool {
        let limit = if self.is_observed_only {
            idle_limit.min(OBSERVATION_TIME)
        } else {
            idle_limit
        };
        now - self.idle_since >= limit
    }

    /// Whether it has been observed for the whole observation time without surplus data.
    fn is_observed_clean(&self, now: Instant) -> bool {
        self.is_observed_only
            && now - self.idle_since >= OBSERVATION_TIME
            && self.connection.socket.unread_state() == UnreadState::Nothing
    }
}

/// What the pool has for an attempt.
pub enum PooledConnection {
    /// A connection that can be used now.
    Ready(Connection),
    /// A connection that can be used at this time, if it is still open then.
    ReadyAt(Instant),
    /// No connection.
    None,
}

/// One upstream: its address, and its idle connections in the order in which they became idle.
pub struct Upstream {
    address: Cell<SocketAddr>,
    /// After this time nothing may be written to the upstream. Set while the upstream is draining,
    /// gone or suspended.
    write_deadline: Cell<Option<Instant>>,
    /// How often another process has replaced the upstream's process.
    generation: Cell<u64>,
    idle: RefCell<Vec<IdleConnection>>,
    /// The number of open connections: idle ones, and those that carry a request.
    open_connections: Rc<Cell<usize>>,
    surplus_history: SurplusHistory,
    /// Wakes an attempt that waits for a connection when one becomes idle.
    idle_added: Notify,
}

impl Upstream {
    /// Creates an upstream without connections.
    pub fn new(address: SocketAddr) -> Rc<Upstream> {
        Rc::new(Upstream {
            address: Cell::new(address),
            write_deadline: Cell::new(None),
            generation: Cell::new(0),
            idle: RefCell::default(),
            open_connections: Rc::default(),
            surplus_history: SurplusHistory::default(),
            idle_added: Notify::new(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sets where it listens, and returns the previous address.
    pub fn replace_address(&self, address: SocketAddr) -> SocketAddr {
        self.address.replace(address)
    }

    /// The generation of the upstream: how often another process has replaced its process. A
    /// connection belongs to the generation in which its dial began.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Records that a new process has replaced the upstream's: no connection to the old one carries
    /// another request.
    pub fn mark_replaced(&self) {
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    /// The time after which nothing may be written to the upstream, if one is set.
    pub fn write_deadline(&self) -> Option<Instant> {
        self.write_deadline.get()
    }

    /// Sets or clears the time after which nothing may be written to the upstream.
    pub fn set_write_deadline(&self, deadline: Option<Instant>) {
        self.write_deadline.set(deadline);
    }

    /// Whether the write deadline has passed, so that nothing may be written to the upstream.
    pub fn is_closed_for_writes(&self, now: Instant) -> bool {
        self.write_deadline
            .get()
            .is_some_and(|deadline| now >= deadline)
    }

    /// The history of its surplus data.
    pub fn surplus_history(&self) -> &SurplusHistory {
        &self.surplus_history
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for `idle_limit` or observed for long enough, and
    /// drops those that the upstream has closed.
    pub fn close_expired(&self, now: Instant, idle_limit: Duration) {
        self.idle.borrow_mut().retain(|idle| {
            if idle.is_observed_clean(now) {
                self.surplus_history.record_clean_observation(now);
            }
            !idle.connection.sender.is_closed() && !idle.is_expired(now, idle_limit)
        });
    }

    /// Whether an idle connection may carry a request now.
    pub fn has_reusable_idle(&self, now: Instant) -> bool {
        let reuse_delay = self.reuse_delay(now);
        let is_reusable =
            |idle: &IdleConnection| idle.reusable_at(reuse_delay).is_some_and(|at| at <= now);
        self.idle.borrow().iter().any(is_reusable)
    }

    /// When the connection that has been idle for longest became idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.idle_since)
    }

    /// Closes the connection that has been idle for longest.
    pub fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Takes a connection that may carry a request now and has been idle for less than
    /// `idle_limit`. If there is none, returns the time at which the next one may carry a request.
    pub fn take_idle(&self, idle_limit: Duration) -> PooledConnection {
        let now = Instant::now();
        self.close_expired(now, idle_limit);
        while let Some(connection) = self.remove_best_idle(now) {
            if connection.check_reusable() {
                if connection.request_history().has_completed_request() {
                    self.surplus_history.record_reuse();
                }
                return PooledConnection::Ready(connection);
            }
        }
        let reuse_delay = self.reuse_delay(now);
        self.idle
            .borrow()
            .iter()
            .filter_map(|idle| idle.reusable_at(reuse_delay))
            .min()
            .map_or(PooledConnection::None, PooledConnection::ReadyAt)
    }

    fn reuse_delay(&self, now: Instant) -> Duration {
        self.surplus_history
            .reuse_delay(self.has_sole_connection(), now)
    }

    /// Whether exactly one connection to the upstream is open, idle or in use.
    pub fn has_sole_connection(&self) -> bool {
        self.open_connections.get() == 1
    }

    /// Removes the connection for the next request. Of the connections that have been idle for at
    /// least [`PREFERRED_IDLE_TIME`], this is the one that became idle last: the others stay idle
    /// and expire, whereas using all of them in turn would keep all of them open. If none has been
    /// idle for that long, it is the connection that has been idle for longest, of those that may
    /// carry a request.
    fn remove_best_idle(&self, now: Instant) -> Option<Connection> {
        let reuse_delay = self.reuse_delay(now);
        let mut idle = self.idle.borrow_mut();
        let is_reusable = |idle: &IdleConnection, delay: Duration| {
            idle.reusable_at(delay).is_some_and(|at| at <= now)
        };
        let position = idle
            .iter()
            .rposition(|idle| is_reusable(idle, PREFERRED_IDLE_TIME.max(reuse_delay)))
            .or_else(|| idle.iter().position(|idle| is_reusable(idle, reuse_delay)))?;
        Some(idle.remove(position).connection)
    }

    /// Returns a connection to the pool after a complete response. If the single-use period will
    /// still be in progress after [`LONG_REUSE_DELAY`] from now, the connection carries no further
    /// request: it is kept open for observation if no other connection to this upstream is, and
    /// closed otherwise.
    pub fn return_after_response(&self, connection: Connection) {
        let now = Instant::now();
        connection.socket.acknowledge_received_data();
        connection.request_history().record_response(now);
        connection.socket.complete_response();
        let is_single_use = self.surplus_history.is_single_use(now + LONG_REUSE_DELAY);
        if !(is_single_use && self.is_observing()) {
            self.add_idle(connection, is_single_use);
        }
    }

    /// Whether an idle connection is open for observation only.
    fn is_observing(&self) -> bool {
        self.idle.borrow().iter().any(|idle| idle.is_observed_only)
    }

    /// Adds a new connection, which has not carried a request, to the pool.
    pub fn add_unused(&self, connection: Connection) {
        self.add_idle(connection, false);
    }

    /// Adds an idle connection to the pool, or closes it if it may not be reused.
    fn add_idle(&self, connection: Connection, is_observed_only: bool) {
        let now = Instant::now();
        let is_current = connection.generation == self.generation.get();
        if self.is_closed_for_writes(now) || !is_current || !connection.check_reusable() {
            return;
        }
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            idle_since: now,
            is_observed_only,
        });
        self.idle_added.notify_one();
    }

    /// Waits until a connection has become idle. Another attempt may take it first.
    pub async fn idle_connection_added(&self) {
        self.idle_added.notified().await;
    }

    /// Creates a reporter of surplus data on one connection to this upstream.
    pub fn new_surplus_reporter(
        self: &Rc<Self>,
        socket: SharedStream,
        counts: Rc<UpstreamCounts>,
    ) -> SurplusReporter {
        let recipient: Rc<dyn SurplusRecipient> = self.clone();
        SurplusReporter::new(Rc::downgrade(&recipient), socket, counts)
    }
}

impl SurplusRecipient for Upstream {
    fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Closes all idle connections, unless their reuse delay is long enough to detect such data on
    /// them too.
    fn record_surplus(&self, cause: SurplusCause, now: Instant) -> Option<Duration> {
        if !self.surplus_history.is_covered_by_reuse_delay(cause, now) {
            self.close_idle();
        }
        self.surplus_history.record(cause, now)
    }
}

#[cfg(test)]
mod tests;
