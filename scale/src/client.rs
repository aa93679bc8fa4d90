//! Calls in the form of the protocol, over connections that are reused for later calls.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{header, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// The tenant of all calls.
pub const TENANT: &str = "tenant";
/// The path of all calls.
const PATH: &str = "/api";
/// Multiplier that spreads consecutive numbers over all request ids (2^64 divided by the golden ratio).
const ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Request numbers hold the seed of their pool from this bit upwards; the bits below count requests.
const SEED_SHIFT: u32 = 40;

/// Whether a call is idempotent; decides its class and its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// GET: idempotent.
    Read,
    /// POST: must not run twice.
    Order,
}

impl CallKind {
    /// The name of the class.
    pub fn class(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Order => "order",
        }
    }

    /// The kind of a class with this name.
    pub fn of_class(name: &str) -> Option<CallKind> {
        [CallKind::Read, CallKind::Order]
            .into_iter()
            .find(|kind| kind.class() == name)
    }

    fn method(self) -> Method {
        match self {
            CallKind::Read => Method::GET,
            CallKind::Order => Method::POST,
        }
    }
}

/// The connection that carries a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A new connection that is closed after the call.
    New,
    /// An idle connection, if there is one.
    Idle,
}

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub kind: CallKind,
    /// The connection that it asks for.
    pub connection: ConnectionUse,
    /// How long the client waits.
    pub timeout: Duration,
    /// The body; empty for an idempotent call.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    /// The connection that carried the call; a new one if the call asked for it or no idle connection was usable.
    pub connection: ConnectionUse,
}

/// Why a call got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was not established.
    #[error("not connected: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("connection broken: {0}")]
    Http(#[from] hyper::Error),
    /// The request has no valid form.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The client's timeout has passed.
    #[error("no response within the timeout")]
    Timeout,
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Numbers the requests. Starts at a number that depends on the seed, so that ids of different pools differ.
    next_number: AtomicU64,
}

impl ConnectionPool {
    /// A pool without connections. `seed` makes its request ids differ from those of other pools.
    pub fn new(address: SocketAddr, seed: u64) -> ConnectionPool {
        ConnectionPool {
            address,
            idle: Mutex::default(),
            next_number: AtomicU64::new(seed << SEED_SHIFT),
        }
    }

    /// Sends a call and waits for its complete response, at most for its timeout.
    pub async fn call(&self, call: &Call) -> Result<CallResponse, CallError> {
        tokio::time::timeout(call.timeout, self.exchange(call))
            .await
            .map_err(|_| CallError::Timeout)?
    }

    /// The status of the response to a plain GET request.
    pub async fn status(&self, path: &str) -> Result<StatusCode, CallError> {
        let request = Request::get(path).header(header::HOST, self.address.to_string());
        let mut connection = self.connect().await?;
        let response = connection
            .send_request(request.body(Full::default())?)
            .await?;
        Ok(response.status())
    }

    async fn exchange(&self, call: &Call) -> Result<CallResponse, CallError> {
        let request = self.build_request(call)?;
        match call.connection {
            ConnectionUse::Idle => self.exchange_on_idle(request).await,
            ConnectionUse::New => {
                let mut connection = self.connect().await?;
                let response = connection.send_request(request).await?;
                read_response(response, ConnectionUse::New).await
            }
        }
    }

    /// Uses an idle connection, or a new one where there is none. The connection is idle again after a complete
    /// response.
    async fn exchange_on_idle(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<CallResponse, CallError> {
        while let Some(mut connection) = self.pop_idle() {
            if connection.ready().await.is_err() {
                continue;
            }
            match connection.try_send_request(request).await {
                Ok(response) => {
                    let received = read_response(response, ConnectionUse::Idle).await?;
                    self.push_idle(connection);
                    return Ok(received);
                }
                Err(mut error) => match error.take_message() {
                    // The other side closed the connection before it read anything of the request.
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut connection = self.connect().await?;
        let response = connection.send_request(request).await?;
        let received = read_response(response, ConnectionUse::New).await?;
        self.push_idle(connection);
        Ok(received)
    }

    fn pop_idle(&self) -> Option<Connection> {
        self.lock_idle().pop()
    }

    fn push_idle(&self, connection: Connection) {
        self.lock_idle().push(connection);
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await?;
        // The driver ends when the connection's sender is dropped.
        tokio::spawn(driver);
        Ok(connection)
    }

    fn build_request(&self, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = number.wrapping_mul(ID_STEP);
        let mut request = Request::builder()
            .method(call.kind.method())
            .uri(PATH)
            .header(header::HOST, "service.internal")
            .header("req-id", format!("{id:016x}"))
            .header("req-kind", call.kind.class())
            .header("req-owner", TENANT)
            .header("req-deadline", format!("{}u", call.timeout.as_micros()));
        if call.connection == ConnectionUse::New {
            request = request.header(header::CONNECTION, "close");
        }
        Ok(request.body(Full::new(call.body.clone()))?)
    }
}

async fn read_response(
    response: Response<Incoming>,
    connection: ConnectionUse,
) -> Result<CallResponse, CallError> {
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(CallResponse {
        status,
        body,
        connection,
    })
}
