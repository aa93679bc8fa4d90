//! Helpers that several test files of this crate share.
use crate::body::request_body::RequestBody;
use crate::memory::budget::MemoryBudget;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::compact_headers::CompactHeaders;
use crate::outbound::message::OutboundRequest;
use bytes::Bytes;
use hyper::{Method, Uri};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longer than a test runs.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// The least descriptors of a process.
const MIN_DESCRIPTORS: usize = 64;

/// A GET request as it is forwarded to upstreams.
pub fn get_request() -> OutboundRequest {
    OutboundRequest {
        request_id: None,
        method: Method::GET,
        target: Uri::from_static("/api"),
        headers: CompactHeaders::default(),
        body: RequestBody::Buffered(Bytes::new()),
        client_timeout: CLIENT_TIMEOUT,
        deadline: Cell::new(None),
        ended: Cell::new(false),
        client: None,
    }
}

/// A memory budget without a limit.
pub fn unlimited_memory() -> MemoryBudget {
    MemoryBudget::new(None, DescriptorBudget::new(MIN_DESCRIPTORS))
}

/// A listener with a full accept queue. The system drops connection attempts and retransmits them
/// after a second, so that connections open late, as over a network that loses packets.
pub struct FullListener {
    listener: TcpListener,
    queued: usize,
    _queued_clients: Vec<TcpStream>,
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
        let queued_clients: Vec<TcpStream> = std::iter::from_fn(connect).collect();
        FullListener {
            listener,
            queued: queued_clients.len(),
            _queued_clients: queued_clients,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Empties the queue: from now on connections open, and those whose attempts were dropped open
    /// with the retransmission.
    pub fn empty_queue(&mut self) {
        for _ in 0..std::mem::take(&mut self.queued) {
            self.listener.accept().expect("accepts");
        }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("accepts").0
    }
}
