//! What the clients of one balancer share, and the controls that apply to all of them.
use crate::ids::BalancerId;
use crate::recorder::Recorder;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Clients send this many times their usual rate in a burst.
const BURST_FACTOR: f64 = 5.0;

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends one request at a time on a connection that it keeps.
    KeepAlive,
    /// Uses a new connection for each request.
    ConnectionPerRequest,
    /// Often disconnects while its request is in flight.
    Disconnecting,
    /// Sends several requests at once on one connection.
    Pipelining,
    /// Writes its requests slowly.
    SlowWriter,
    /// Sends and gets large bodies, which balancers stream.
    LargeBodies,
    /// Stops in the middle of a request and stays connected.
    PartialRequest,
    /// Sends random bytes instead of a request.
    RandomBytes,
    /// Connects and sends nothing.
    Silent,
}

/// What the clients of one balancer share.
pub struct ClientGroup {
    balancer: BalancerId,
    address: SocketAddr,
    request_rate: f64,
    stopped: Arc<AtomicBool>,
    in_burst: AtomicBool,
    may_connect: AtomicBool,
    recorder: Arc<Recorder>,
}

impl ClientGroup {
    /// Creates the group of a balancer that listens at `address`.
    ///
    /// While a client has no request in flight, it starts requests at a mean rate of `request_rate` a second, until
    /// `stopped` is set.
    pub fn new(
        balancer: BalancerId,
        address: SocketAddr,
        request_rate: f64,
        stopped: Arc<AtomicBool>,
        recorder: Arc<Recorder>,
    ) -> ClientGroup {
        ClientGroup {
            balancer,
            address,
            request_rate,
            stopped,
            in_burst: AtomicBool::new(false),
            may_connect: AtomicBool::new(true),
            recorder,
        }
    }

    /// The balancer.
    pub fn balancer(&self) -> BalancerId {
        self.balancer
    }

    /// Where the balancer listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where clients record what they observe.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Mean rate, in requests a second, at which a client starts requests while it has none in flight.
    pub fn request_rate(&self) -> f64 {
        if self.in_burst.load(Ordering::Relaxed) {
            self.request_rate * BURST_FACTOR
        } else {
            self.request_rate
        }
    }

    /// Whether clients send no more requests.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Starts or ends a burst, in which clients send several times their usual rate.
    pub fn set_burst(&self, in_burst: bool) {
        self.in_burst.store(in_burst, Ordering::Relaxed);
    }

    /// Whether clients may open connections.
    pub fn may_connect(&self) -> bool {
        self.may_connect.load(Ordering::Relaxed)
    }

    /// Tells the clients to open no more connections, as their balancer is about to exit.
    pub fn forbid_connections(&self) {
        self.may_connect.store(false, Ordering::Relaxed);
    }

    /// Lets the clients open connections again.
    pub fn allow_connections(&self) {
        self.may_connect.store(true, Ordering::Relaxed);
    }
}
