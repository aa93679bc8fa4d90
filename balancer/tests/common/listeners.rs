//! Addresses to which connections fail, and connections with unusual sockets.
use super::with_read_timeout;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An address that refuses connections. A socket that does not listen keeps it until the test program
/// ends, so that the system gives it to no other listener. One that asks for it can listen there.
pub fn refusing_address() -> SocketAddr {
    let socket = tcp_socket();
    socket.set_reuse_address(true).expect("sets SO_REUSEADDR");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("binds");
    let address = socket.local_addr().expect("an address");
    std::mem::forget(socket);
    address.as_socket().expect("an address")
}

/// A listener with a full accept queue: connections to it do not open.
pub struct UnresponsiveListener {
    pub address: SocketAddr,
    listener: socket2::Socket,
    queued: Vec<socket2::Socket>,
}

impl UnresponsiveListener {
    /// Listens and fills its own queue.
    pub fn start() -> UnresponsiveListener {
        let listener = tcp_socket();
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("binds");
        listener.listen(0).expect("listens");
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        // The first connection that does not open shows that the queue is full.
        loop {
            let next = tcp_socket();
            let is_open = next
                .connect_timeout(&address, Duration::from_millis(300))
                .is_ok();
            queued.push(next);
            if !is_open {
                break;
            }
            assert!(queued.len() < 64, "the accept queue does not fill");
        }
        UnresponsiveListener {
            address: address.as_socket().expect("an address"),
            listener,
            queued,
        }
    }

    /// Accepts connections, and returns the first one that another process opened.
    pub fn accept_first_connection(self) -> BufReader<TcpStream> {
        let own_ports: Vec<u16> = self
            .queued
            .iter()
            .filter_map(|socket| socket.local_addr().ok())
            .map(|address| port(&address))
            .collect();
        loop {
            let (stream, peer) = self.listener.accept().expect("accepts");
            if !own_ports.contains(&port(&peer)) {
                return with_read_timeout(TcpStream::from(stream));
            }
        }
    }
}

/// A connection with small segments and a small receive buffer, so that its peer's socket holds
/// little.
pub fn connect_with_small_buffers(address: SocketAddr) -> BufReader<TcpStream> {
    let socket = tcp_socket();
    socket.set_tcp_mss(536).expect("sets TCP_MAXSEG");
    socket.set_recv_buffer_size(4096).expect("sets SO_RCVBUF");
    socket.connect(&address.into()).expect("connects");
    with_read_timeout(socket.into())
}

fn tcp_socket() -> socket2::Socket {
    socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("creates a socket")
}

fn port(address: &socket2::SockAddr) -> u16 {
    address.as_socket().expect("an address").port()
}
