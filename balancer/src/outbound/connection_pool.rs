//! One upstream and the open connections to it that carry no request now.
use crate::body::payload::AttemptBody;
use crate::inbound::client_stream::ClientStream;
use hyper::client::conn::http1;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A connection that has brought an answer is used again after this long at the soonest. Guards against taking a second answer,
/// which may come some milliseconds behind the first, for that to the next request: once it is there it is seen.
const SETTLING: Duration = Duration::from_millis(10);

/// One open connection; closed when dropped.
pub struct Connection {
    /// Sends one request at a time.
    pub sender: http1::SendRequest<AttemptBody>,
    /// The socket below it.
    pub socket: ClientStream,
    /// The upstream's generation that it was made for.
    pub generation: u64,
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
        socket: ClientStream,
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

    /// Whether it can carry a request. Guards against requests written to one that the other side has closed,
    /// and against reading what came behind an answer, a second copy or noise, as the answer to the next.
    pub fn is_clean(&self) -> bool {
        self.sender.is_ready() && self.socket.quiet()
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    /// From when on it may be used.
    settled: Instant,
}

/// What an upstream has for an attempt.
pub enum Available {
    /// A connection that can be used now.
    Connection(Connection),
    /// One that can be used from then on, if it is still good.
    From(Instant),
    /// None.
    Nothing,
}

/// One upstream: where it is, and the connections to it that carry nothing now.
pub struct Upstream {
    /// Where it listens.
    pub addr: Cell<SocketAddr>,
    /// After this nothing may be written to it: it drains or is gone, and the grace is over.
    pub closes: Cell<Option<Instant>>,
    /// Counts the processes that have been there.
    generation: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
    /// Wakes an attempt that waits for a connection when one becomes idle.
    available: Notify,
}

impl Upstream {
    /// An upstream that nothing is connected to yet.
    pub fn new(addr: SocketAddr) -> Rc<Upstream> {
        Rc::new(Upstream {
            addr: Cell::new(addr),
            closes: Cell::new(None),
            generation: Cell::new(0),
            idle: RefCell::default(),
            available: Notify::new(),
        })
    }

    /// Counts the processes that have been there: a connection belongs to one of them.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Another process has taken its place: connections to the old one, those in use too, carry nothing more.
    pub fn replaced(&self) {
        self.generation.set(self.generation.get() + 1);
        self.close_idle();
    }

    /// Closes the connections that carry no request now.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for longer than `most`, and those the other side closed.
    pub fn sweep(&self, now: Instant, most: Duration) {
        self.idle
            .borrow_mut()
            .retain(|i| !i.connection.sender.is_closed() && now - i.since < most);
    }

    /// Since when the connection that has been idle longest is idle.
    pub fn oldest_idle(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|i| i.since)
    }

    /// Closes the connection that has been idle longest.
    pub fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// The connection used last of those that can be used now, unless it has been idle for `most`: the others then go idle
    /// and close, instead of all being kept warm by turns.
    pub fn take(&self, most: Duration) -> Available {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| now - i.since < most);
        while let Some(at) = idle.iter().rposition(|i| i.settled <= now) {
            let i = idle.remove(at);
            if i.connection.is_clean() {
                return Available::Connection(i.connection);
            }
        }
        idle.iter()
            .map(|i| i.settled)
            .min()
            .map_or(Available::Nothing, Available::From)
    }

    /// Takes a connection back that has brought an answer and carries no request now.
    pub fn put_answered(&self, connection: Connection) {
        connection.socket.acknowledge();
        self.put(connection, SETTLING);
    }

    /// Takes a connection that has carried nothing yet.
    pub fn put_unused(&self, connection: Connection) {
        self.put(connection, Duration::ZERO);
    }

    /// Takes a connection that may be used after `settling`. One that may not be used again is closed.
    fn put(&self, connection: Connection, settling: Duration) {
        let now = Instant::now();
        if !self.closed(now)
            && connection.generation == self.generation.get()
            && connection.is_clean()
        {
            self.idle.borrow_mut().push(Idle {
                connection,
                since: now,
                settled: now + settling,
            });
            self.available.notify_one();
        }
    }

    /// Waits until a connection has become idle. Another attempt may take it first.
    pub async fn available(&self) {
        self.available.notified().await;
    }

    /// Whether nothing may be written to it any more.
    pub fn closed(&self, now: Instant) -> bool {
        self.closes.get().is_some_and(|at| now >= at)
    }
}
