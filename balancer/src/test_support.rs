//! What several test files of this crate share.
use crate::body::payload::RequestBody;
use crate::outbound::message::OutboundRequest;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A request without a body, as it goes on to upstreams.
pub fn get_request() -> OutboundRequest {
    OutboundRequest {
        name: None,
        method: Method::GET,
        target: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: RequestBody::Whole(Bytes::new()),
        over: Cell::new(false),
        client: None,
    }
}

/// A listener whose accept queue is full: the system drops what tries to connect, and the one that connects tries again
/// after a second. So connections come up late, as over a network that loses packets.
pub struct FullListener {
    listener: TcpListener,
    queued: usize,
    _waiting: Vec<TcpStream>,
}

impl FullListener {
    /// Listens and fills its own queue.
    pub fn bind() -> FullListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("binds");
        socket.listen(0).expect("listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let waiting: Vec<TcpStream> = std::iter::from_fn(connect).collect();
        FullListener {
            listener,
            queued: waiting.len(),
            _waiting: waiting,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Empties the queue: from now on connections come up, those that were dropped once they are tried again.
    pub fn admit(&mut self) {
        for _ in 0..std::mem::take(&mut self.queued) {
            self.listener.accept().expect("accepts");
        }
    }

    /// The next connection.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("accepts").0
    }
}
