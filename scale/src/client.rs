//! Calls in the form of the protocol, over connections that are kept for the next call.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{header, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// The tenant of all calls.
pub const TENANT: &str = "tenant";
/// The path of all calls.
const PATH: &str = "/api";
/// Spreads consecutive numbers over all request ids (the golden ratio in 64 bits).
const ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Whether a call may be repeated; decides its class and its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// GET: may be repeated.
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

/// What a call goes out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A connection made for it, closed after it.
    New,
    /// One that stood idle, if there is one.
    Idle,
}

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub kind: CallKind,
    /// The connection that it wants.
    pub connection: ConnectionUse,
    /// How long the caller waits.
    pub deadline: Duration,
    /// The body; empty for a call that may be repeated.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    /// What the call went out on in the end.
    pub connection: ConnectionUse,
}

/// Why no whole answer came.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection did not come up.
    #[error("not connected: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("broken off: {0}")]
    Http(#[from] hyper::Error),
    /// The request has no valid form.
    #[error("not a request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The caller has waited for its deadline.
    #[error("no answer within the deadline")]
    Deadline,
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one address.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Numbers the requests; begins at a number of its own so that ids of several pools differ.
    next_id: AtomicU64,
}

impl Pool {
    /// No connections yet; `seed` sets this pool's request ids apart from those of others.
    pub fn new(address: SocketAddr, seed: u64) -> Pool {
        Pool {
            address,
            idle: Mutex::default(),
            next_id: AtomicU64::new(seed << 40),
        }
    }

    /// Sends a call and waits for its whole answer, for its deadline at most.
    pub async fn call(&self, call: &Call) -> Result<CallAnswer, CallError> {
        let answered = tokio::time::timeout(call.deadline, self.exchange(call));
        answered.await.map_err(|_| CallError::Deadline)?
    }

    /// The status of a request that is no call.
    pub async fn status(&self, path: &str) -> Result<StatusCode, CallError> {
        let request = Request::get(path).header(header::HOST, self.address.to_string());
        let mut connection = self.connect().await?;
        let answer = connection
            .send_request(request.body(Full::default())?)
            .await?;
        Ok(answer.status())
    }

    async fn exchange(&self, call: &Call) -> Result<CallAnswer, CallError> {
        let mut request = self.request(call)?;
        if call.connection == ConnectionUse::Idle {
            while let Some(mut connection) = self.take_idle() {
                if connection.ready().await.is_err() {
                    continue;
                }
                match connection.try_send_request(request).await {
                    Ok(answer) => {
                        return self
                            .finish(connection, answer, ConnectionUse::Idle, true)
                            .await
                    }
                    Err(mut error) => match error.take_message() {
                        // The other side closed the connection before it read anything of the request.
                        Some(unsent) => request = unsent,
                        None => return Err(error.into_error().into()),
                    },
                }
            }
        }
        let mut connection = self.connect().await?;
        let answer = connection.send_request(request).await?;
        self.finish(
            connection,
            answer,
            ConnectionUse::New,
            call.connection == ConnectionUse::Idle,
        )
        .await
    }

    async fn finish(
        &self,
        connection: Connection,
        answer: hyper::Response<hyper::body::Incoming>,
        used: ConnectionUse,
        keep: bool,
    ) -> Result<CallAnswer, CallError> {
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        if keep {
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(connection);
        }
        Ok(CallAnswer {
            status,
            body,
            connection: used,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await?;
        // Ends with the connection's sender.
        tokio::spawn(driver);
        Ok(connection)
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
        let id = self
            .next_id
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_mul(ID_STEP);
        let mut request = Request::builder()
            .method(call.kind.method())
            .uri(PATH)
            .header(header::HOST, "service.internal")
            .header("req-id", format!("{id:016x}"))
            .header("req-kind", call.kind.class())
            .header("req-owner", TENANT)
            .header("req-deadline", format!("{}u", call.deadline.as_micros()));
        if call.connection == ConnectionUse::New {
            request = request.header(header::CONNECTION, "close");
        }
        Ok(request.body(Full::new(call.body.clone()))?)
    }
}
