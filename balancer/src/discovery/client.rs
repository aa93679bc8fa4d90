//! Calls to discovery over one connection.
use crate::discovery::endpoints::{EndpointListError, EndpointUpdate, TopologyNames};
use crate::net::socket_io::Socket;
use crate::net::tcp_stream::TcpStream;
use crate::time::timeout;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::task::AbortHandle;

/// Longest time to connect. It is short, so that time is left for another call after connecting has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest list that is accepted, in bytes.
const MAX_LIST_SIZE: usize = 4 << 20;

/// Why a call returned no list.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was established in time.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection was refused or failed.
    #[error("could not connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or discovery did not speak HTTP.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The complete response did not arrive in time.
    #[error("no complete response in time")]
    Timeout,
    /// Discovery responded with a status other than 200.
    #[error("call rejected with status {0}")]
    Rejected(StatusCode),
    /// The request could not be built.
    #[error("could not build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The body of the response was cut off or is too large.
    #[error("could not read the response body: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The response is not a valid endpoint list.
    #[error("invalid endpoint list: {0}")]
    List(#[from] EndpointListError),
    /// The list is older than the known one, or is a delta although no list is known.
    #[error("list version {version} does not follow known version {known} (0 if none is known)")]
    DoesNotFollow {
        /// The version of the list.
        version: u64,
        /// The known version; zero if none is known.
        known: u64,
    },
}

/// One connection to discovery; closed when dropped.
struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Connection, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| CallError::ConnectTimeout)?
            .map_err(CallError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(Socket::new(stream))).await?;
        let task = tokio::task::spawn_local(async move {
            // The call on the connection reports how the connection ended.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether the connection can carry a request.
    async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// Calls discovery at one address, on a connection that is kept between calls.
pub struct DiscoveryClient {
    address: SocketAddr,
    names: TopologyNames,
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// A client without a connection.
    pub fn new(address: SocketAddr, names: TopologyNames) -> DiscoveryClient {
        DiscoveryClient {
            address,
            names,
            connection: None,
        }
    }

    /// Switches to another address, and closes the connection to the old one.
    pub fn migrate(&mut self, address: SocketAddr) {
        self.address = address;
        self.disconnect();
    }

    /// Closes the connection. The next call opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Fetches what has changed since a version, or the complete list if none is known. Discovery may hold the call for
    /// `long_poll_timeout` until something changes. A malformed response is an error.
    pub async fn fetch(
        &mut self,
        known_version: Option<u64>,
        long_poll_timeout: Duration,
    ) -> Result<EndpointUpdate, CallError> {
        let path = match known_version {
            Some(version) => format!(
                "/api/targets?since={version}&timeout_ms={}",
                long_poll_timeout.as_millis()
            ),
            None => "/api/targets".to_string(),
        };
        let host = self.address.to_string();
        let connection = self.ready_connection().await?;
        let request = Request::get(path)
            .header(header::HOST, host)
            .body(Empty::new())?;
        let response = connection.sender.send_request(request).await?;
        self.read_list(response).await
    }

    /// Returns an open connection for the next call: the kept one or a new one. One that discovery closed after its
    /// last response is replaced, which does not count as a failed call.
    async fn ready_connection(&mut self) -> Result<&mut Connection, CallError> {
        let connection = match self.connection.take() {
            Some(mut kept) => {
                if kept.is_ready().await {
                    kept
                } else {
                    Connection::open(self.address).await?
                }
            }
            None => Connection::open(self.address).await?,
        };
        Ok(self.connection.insert(connection))
    }

    async fn read_list(
        &self,
        response: Response<hyper::body::Incoming>,
    ) -> Result<EndpointUpdate, CallError> {
        if response.status() != StatusCode::OK {
            return Err(CallError::Rejected(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_SIZE)
            .collect()
            .await
            .map_err(CallError::Body)?;
        Ok(EndpointUpdate::parse(&body.to_bytes(), &self.names)?)
    }
}
