//! One upstream and its pool of idle connections.
use crate::body::request_body::AttemptBody;
use crate::net::shared_stream::SharedStream;
use hyper::client::conn::http1;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time between a response and the next request on its connection. An upstream's surplus second
/// response, which may follow some milliseconds later, is then detected as unread data and not read
/// as the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// One open connection; closed when dropped.
pub struct Connection {
    /// Sends one request at a time.
    pub sender: http1::SendRequest<AttemptBody>,
    /// The socket below it.
    pub socket: SharedStream,
    /// The upstream's generation for which it was opened.
    generation: u64,
    /// Its task, which reads and writes.
    task: AbortHandle,
    /// Its share of the process's descriptors.
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// An open connection: `task` serves it, `permit` is its share of the process's descriptors.
    pub fn new(
        sender: http1::SendRequest<AttemptBody>,
        socket: SharedStream,
        generation: u64,
        task: AbortHandle,
        permit: OwnedSemaphorePermit,
    ) -> Connection {
        Connection {
            sender,
            socket,
            generation,
            task,
            _permit: permit,
        }
    }

    /// Whether the connection can carry a request: the other side has not closed it, and there are
    /// no unread bytes that would be taken for the next response.
    fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.socket.is_open_and_drained()
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// It may carry a request from then on.
    reusable_at: Instant,
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
    /// After this time nothing may be written to the upstream. Set while it drains, is gone or is
    /// suspended.
    write_deadline: Cell<Option<Instant>>,
    /// Counts the processes behind the address.
    generation: Cell<u64>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Wakes an attempt that waits for a connection when one becomes idle.
    idle_added: Notify,
}

impl Upstream {
    /// An upstream without connections.
    pub fn new(address: SocketAddr) -> Rc<Upstream> {
        Rc::new(Upstream {
            address: Cell::new(address),
            write_deadline: Cell::new(None),
            generation: Cell::new(0),
            idle: RefCell::default(),
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

    /// Counts the processes behind the address: a connection belongs to one of them.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Another process has replaced the upstream's: no connection to the old one carries another
    /// request.
    pub fn mark_replaced(&self) {
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    /// After this time nothing may be written to the upstream, if it is set.
    pub fn write_deadline(&self) -> Option<Instant> {
        self.write_deadline.get()
    }

    /// Sets or clears the time after which nothing may be written to the upstream.
    pub fn set_write_deadline(&self, deadline: Option<Instant>) {
        self.write_deadline.set(deadline);
    }

    /// Whether nothing may be written to the upstream any more.
    pub fn is_closed_for_writes(&self, now: Instant) -> bool {
        self.write_deadline
            .get()
            .is_some_and(|deadline| now >= deadline)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for `idle_limit`, and those that the other side
    /// closed.
    pub fn close_expired(&self, now: Instant, idle_limit: Duration) {
        self.idle.borrow_mut().retain(|idle| {
            !idle.connection.sender.is_closed() && now - idle.idle_since < idle_limit
        });
    }

    /// Since when the longest idle connection is idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.idle_since)
    }

    /// Closes the longest idle connection.
    pub fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Takes the most recently used connection that is ready and has been idle for less than
    /// `idle_limit`. The others stay idle and expire, instead of all being kept open in turn.
    pub fn take_idle(&self, idle_limit: Duration) -> PooledConnection {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now - idle.idle_since < idle_limit);
        while let Some(position) = idle.iter().rposition(|idle| idle.reusable_at <= now) {
            let candidate = idle.remove(position);
            if candidate.connection.is_reusable() {
                return PooledConnection::Ready(candidate.connection);
            }
        }
        idle.iter()
            .map(|idle| idle.reusable_at)
            .min()
            .map_or(PooledConnection::None, PooledConnection::ReadyAt)
    }

    /// Returns a connection after a complete response.
    pub fn return_after_response(&self, connection: Connection) {
        connection.socket.acknowledge_received_data();
        self.add_idle(connection, REUSE_DELAY);
    }

    /// Adds a connection that has not carried a request since it became available.
    pub fn add_unused(&self, connection: Connection) {
        self.add_idle(connection, Duration::ZERO);
    }

    /// Adds a connection that may be used after `reuse_delay`. Closes one that may not be used
    /// again.
    fn add_idle(&self, connection: Connection, reuse_delay: Duration) {
        let now = Instant::now();
        let is_current = connection.generation == self.generation.get();
        if self.is_closed_for_writes(now) || !is_current || !connection.is_reusable() {
            return;
        }
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            idle_since: now,
            reusable_at: now + reuse_delay,
        });
        self.idle_added.notify_one();
    }

    /// Waits until a connection has become idle. Another attempt may take it first.
    pub async fn idle_connection_added(&self) {
        self.idle_added.notified().await;
    }
}
