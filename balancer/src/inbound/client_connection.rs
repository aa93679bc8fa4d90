//! The state of one client connection, which its task and its requests share.
use crate::body::limits::BODY_STALL_TIMEOUT;
use crate::body::response_body::ClientReception;
use crate::body::time_limited_body::REQUEST_READ_TIMEOUT;
use crate::inbound::idle_connections::{ConnectionKind, IdleConnections, IdleKey};
use crate::inbound::request_tracker::RequestTracker;
use crate::inbound::response_delivery::{RegisteredDelivery, ResponseDeliveries, ResponseDelivery};
use crate::net::shared_stream::SharedStream;
use crate::net::tcp_stream::TcpStream;
use crate::time::sleep_until;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a client may keep a connection idle after a response.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time between two checks of a connection's timeout.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// One client connection.
pub struct ClientConnection {
    tracker: Rc<RequestTracker>,
    stream: SharedStream,
    idle_connections: Rc<IdleConnections>,
    /// How far its responses are delivered.
    delivery: RegisteredDelivery,
    /// Key among the idle connections; `None` until the responses to all requests are delivered.
    idle_key: Cell<Option<IdleKey>>,
    /// Notified when the connection is evicted.
    evict: Rc<Notify>,
    /// Whether the request that is being read is rejected unparsed, because memory is short.
    is_rejected: Cell<bool>,
    /// Notified when that request is rejected.
    rejected: Notify,
    /// Whether the rest of the client's input is read and discarded before the connection is
    /// closed: the client may still be sending a request that was answered before all of it was
    /// read.
    discards_input_before_close: Cell<bool>,
}

impl ClientConnection {
    /// A new connection. It counts as idle until its first request.
    pub fn new_idle(
        stream: TcpStream,
        idle_connections: &Rc<IdleConnections>,
        deliveries: &Rc<ResponseDeliveries>,
    ) -> Rc<ClientConnection> {
        let connection = Rc::new(ClientConnection {
            tracker: RequestTracker::new(),
            stream: SharedStream::new(stream, Rc::default()),
            idle_connections: idle_connections.clone(),
            delivery: deliveries.register(),
            idle_key: Cell::new(None),
            evict: Rc::new(Notify::new()),
            is_rejected: Cell::new(false),
            rejected: Notify::new(),
            discards_input_before_close: Cell::new(false),
        });
        connection.mark_idle(ConnectionKind::New);
        connection
    }

    /// The tracker of the requests on the connection.
    pub fn tracker(&self) -> &Rc<RequestTracker> {
        &self.tracker
    }

    /// The connection's stream.
    pub fn stream(&self) -> &SharedStream {
        &self.stream
    }

    /// How far the connection's responses are delivered.
    pub fn delivery(&self) -> &ResponseDelivery {
        &self.delivery
    }

    /// The client's end of the connection's responses.
    pub fn reception(&self) -> Rc<dyn ClientReception> {
        self.delivery.reception()
    }

    /// The socket has accepted all that hyper had to write. The connection is idle if this completes
    /// its last response.
    pub fn record_flushed(&self) {
        if self.delivery.record_flushed() {
            self.tracker.restart_wait();
            self.mark_idle(ConnectionKind::Used);
        }
    }

    /// Whether the connection carries no request now, and its last response is delivered.
    pub fn is_idle(&self) -> bool {
        self.idle_key.get().is_some()
    }

    fn mark_idle(&self, kind: ConnectionKind) {
        let key = self.idle_connections.mark_idle(kind, &self.evict);
        self.idle_key.set(Some(key));
    }

    /// Marks the connection as not idle: it carries a request, or is closed.
    pub fn unmark_idle(&self) {
        if let Some(key) = self.idle_key.take() {
            self.idle_connections.unmark_idle(key);
        }
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Rejects the request that is being read: the connection's task responds and closes.
    pub fn reject(&self) {
        self.is_rejected.set(true);
        self.rejected.notify_one();
    }

    /// Whether the request that is being read is rejected unparsed.
    pub fn is_rejected(&self) -> bool {
        self.is_rejected.get()
    }

    /// Waits until a request is rejected unparsed.
    pub async fn request_rejected(&self) {
        self.rejected.notified().await;
    }

    /// Whether the rest of the client's input is read and discarded before the connection is
    /// closed.
    pub fn discards_input_before_close(&self) -> bool {
        self.discards_input_before_close.get()
    }

    /// Sets whether the rest of the client's input is read and discarded before the connection is
    /// closed.
    pub fn set_discards_input_before_close(&self, discards: bool) {
        self.discards_input_before_close.set(discards);
    }

    /// Returns once the time limit for the client's next request has passed, or for taking the end
    /// of its last response.
    pub async fn timed_out(&self) {
        loop {
            let now = Instant::now();
            // A partial head may arrive at any time and changes the timeout.
            let next_check_at = now + TIMEOUT_CHECK_INTERVAL;
            let timeout_at = self.timeout_at().unwrap_or(next_check_at);
            if now >= timeout_at {
                return;
            }
            sleep_until(timeout_at.min(next_check_at)).await;
        }
    }

    /// When the connection times out, as of now. `None` while its request or the rest of its
    /// response is awaited, which other parts limit.
    fn timeout_at(&self) -> Option<Instant> {
        if self.is_idle() {
            return Some(self.tracker.waiting_since() + self.read_timeout());
        }
        if self.delivery.has_open_request() {
            return None;
        }
        let blocked_since = self.delivery.blocked_since()?;
        Some(blocked_since + BODY_STALL_TIMEOUT)
    }

    fn read_timeout(&self) -> Duration {
        if self.tracker.has_dispatched() && !self.tracker.has_partial_head() {
            CLIENT_IDLE_TIMEOUT
        } else {
            REQUEST_READ_TIMEOUT
        }
    }
}

/// Marks a connection as carrying a request. When this is dropped, hyper has taken all of the
/// response; the connection is idle again once that is written.
pub struct ActiveRequestGuard {
    connection: Rc<ClientConnection>,
}

impl ActiveRequestGuard {
    /// Marks the connection as carrying a request.
    pub fn new(connection: &Rc<ClientConnection>) -> ActiveRequestGuard {
        connection.unmark_idle();
        connection.delivery.begin_request();
        ActiveRequestGuard {
            connection: connection.clone(),
        }
    }

    /// The connection that carries the request.
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.connection.delivery.end_request();
    }
}
