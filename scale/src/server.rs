//! The HTTP side that all stand-ins share: accepts on loopback and answers until it is dropped.
use crate::counted::{Counted, Traffic};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{AbortHandle, JoinSet};

/// Connections that may wait to be accepted: thousands of balancers may come at once.
const BACKLOG: u32 = 4096;

/// An answer of a stand-in.
pub type Answer = Response<Full<Bytes>>;

/// A running server. Dropping it closes its listener and all of its connections.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has exchanged with its clients.
    pub traffic: Arc<Traffic>,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Listens on a free loopback port; `session` makes the service for each new connection.
    pub fn start<M, S>(session: M) -> io::Result<Server>
    where
        M: Fn() -> S + Send + 'static,
        S: Service<Request<Incoming>, Response = Answer, Error = Infallible> + Send + 'static,
        S::Future: Send,
    {
        let socket = TcpSocket::new_v4()?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let traffic = Arc::new(Traffic::default());
        let task = tokio::spawn(accept(listener, traffic.clone(), session));
        Ok(Server {
            address,
            traffic,
            task: task.abort_handle(),
        })
    }
}

async fn accept<M, S>(listener: TcpListener, traffic: Arc<Traffic>, session: M)
where
    M: Fn() -> S,
    S: Service<Request<Incoming>, Response = Answer, Error = Infallible> + Send + 'static,
    S::Future: Send,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Without this a small answer waits for the other side's acknowledgement.
        let _ = stream.set_nodelay(true);
        let stream = Counted::new(stream, traffic.clone());
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), session());
        connections.spawn(async move {
            // How a connection ended shows at the other side.
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// An answer with this status and body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}
