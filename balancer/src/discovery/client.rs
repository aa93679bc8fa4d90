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

/// Time to connect. It is short, so that a failed attempt to connect leaves time for the call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest list that is accepted, in bytes.
const MAX_LIST_SIZE: usize = 4 << 20;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came up in time.
    #[error("not connected in time")]
    ConnectTimeout,
    /// The connection was refused or failed.
    #[error("{0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or discovery did not speak HTTP.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    /// The complete response did not arrive in time.
    #[error("no answer in time")]
    Timeout,
    /// Discovery responded that it does not serve the call.
    #[error("answered {0}")]
    Rejected(StatusCode),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The body of the response broke off or is too large.
    #[error("{0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The response is no endpoint list.
    #[error("{0}")]
    List(#[from] EndpointListError),
    /// The list does not follow the one that is known.
    #[error("version {version} does not follow {known}")]
    Stale {
        /// The version of the list.
        version: u64,
        /// The version that is known; zero if none is.
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

    /// Goes over to another address.
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
        let connection = self.connect().await?;
        let request = Request::get(path)
            .header(header::HOST, host)
            .body(Empty::new())?;
        let response = connection.sender.send_request(request).await?;
        self.read_list(response).await
    }

    /// The connection for the next call. One that discovery closed after its last response is replaced: that is no
    /// failed call.
    async fn connect(&mut self) -> Result<&mut Connection, CallError> {
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
