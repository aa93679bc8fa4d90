//! Connections to upstreams: an idle one where there is one, a new one otherwise.
use crate::connection_pool::{Connection, Upstream};
use crate::inbound::{Shared, HEAD_MOST};
use crate::sockets::Sockets;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oakflow::Ending;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// How long the time-out of an idle connection is undercut: what is sent on one that the upstream is about to
/// close ends as a reset, and the upstream counts from its last byte, not from when we read it.
const IDLE_MARGIN: Duration = Duration::from_millis(250);

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
    sockets: Sockets,
    /// Counts the requests written whole.
    written: Rc<Cell<u64>>,
}

impl Connector {
    /// `idle_close` is when upstreams close idle connections; `written` counts the requests written whole.
    pub fn new(
        dial_timeout: Duration,
        idle_close: Duration,
        sockets: Sockets,
        written: Rc<Cell<u64>>,
    ) -> Self {
        let idle_limit = idle_close.saturating_sub(IDLE_MARGIN).max(idle_close / 2);
        Connector { dial_timeout, idle_limit, sockets, written }
    }

    /// How long connections may be idle.
    pub fn idle_limit(&self) -> Duration {
        self.idle_limit
    }

    /// Whether no more sockets may be opened.
    pub fn sockets_exhausted(&self) -> bool {
        self.sockets.exhausted()
    }

    /// An idle connection to the upstream, or else a new one by then.
    pub async fn connect(&self, upstream: &Upstream, until: Instant) -> Result<Connected, Ending> {
        if let Some(connection) = upstream.take(self.idle_limit) {
            return Ok(Connected::Idle(connection));
        }
        self.dial(upstream, until).await.map(Connected::New)
    }

    async fn dial(&self, upstream: &Upstream, until: Instant) -> Result<Connection, Ending> {
        // Guards against blaming an upstream for a shortage of our own.
        let permit = self.sockets.upstream().ok_or(Ending::Moot)?;
        let until = until.min(Instant::now() + self.dial_timeout);
        let generation = upstream.generation();
        let connecting = TcpStream::connect(upstream.addr.get());
        let stream = timeout_at(until, connecting).await.map_err(|_| Ending::ConnectFailed)?;
        let stream =
            stream.map_err(|e| if is_shortage(&e) { Ending::Moot } else { Ending::ConnectFailed })?;
        stream.set_nodelay(true).map_err(|_| Ending::ConnectFailed)?;
        let socket = Shared::new(stream, self.written.clone());
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| Ending::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the attempt that was on it.
            let _ = connection.await;
        });
        Ok(Connection::new(sender, socket, generation, task.abort_handle(), permit))
    }
}

/// Whether a connection was not made for want of something on this machine.
fn is_shortage(e: &io::Error) -> bool {
    // ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS of Linux.
    matches!(e.raw_os_error(), Some(23 | 24 | 99 | 105))
}
