//! The HTTP server of all stand-ins: it accepts connections on loopback until it is dropped.
use crate::traffic::{CountingStream, Traffic};
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

/// Length of the accept queue. Thousands of balancers may connect at once.
const BACKLOG: u32 = 4096;

/// A response of a stand-in.
pub type StandInResponse = Response<Full<Bytes>>;

/// A running server. Dropping it closes its listener and all of its connections.
pub struct Server {
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Listens on a free loopback port. `new_session` makes the service of each new connection.
    pub fn start<M, S>(new_session: M) -> io::Result<Server>
    where
        M: Fn() -> S + Send + 'static,
        S: Service<Request<Incoming>, Response = StandInResponse, Error = Infallible>
            + Send
            + 'static,
        S::Future: Send,
    {
        Server::start_counting(Arc::default(), new_session)
    }

    /// Like [`Server::start`], and counts the bytes of all connections in `traffic`.
    pub fn start_counting<M, S>(traffic: Arc<Traffic>, new_session: M) -> io::Result<Server>
    where
        M: Fn() -> S + Send + 'static,
        S: Service<Request<Incoming>, Response = StandInResponse, Error = Infallible>
            + Send
            + 'static,
        S::Future: Send,
    {
        let socket = TcpSocket::new_v4()?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, traffic, new_session));
        Ok(Server {
            address,
            task: task.abort_handle(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_connections<M, S>(listener: TcpListener, traffic: Arc<Traffic>, new_session: M)
where
    M: Fn() -> S,
    S: Service<Request<Incoming>, Response = StandInResponse, Error = Infallible> + Send + 'static,
    S::Future: Send,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Without this a small response waits for the other side's acknowledgement.
        let _ = stream.set_nodelay(true);
        let stream = CountingStream::new(stream, traffic.clone());
        let connection =
            http1::Builder::new().serve_connection(TokioIo::new(stream), new_session());
        connections.spawn(async move {
            // The result is ignored: a client notices itself that its connection failed.
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// A response with this status and body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> StandInResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
