//! The upstreams and the discovery service that all plays share: if each play started its own, threads would
//! accumulate in long runs.
use crate::common::{active_endpoints, ok_response, ok_text, read_message, StubUpstream};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::OnceLock;
use std::thread;

const UPSTREAM_COUNT: usize = 3;

/// The endpoint list with all upstreams.
pub fn endpoint_list() -> &'static str {
    static LIST: OnceLock<String> = OnceLock::new();
    LIST.get_or_init(|| {
        let upstreams: Vec<SocketAddr> = (0..UPSTREAM_COUNT)
            .map(|_| StubUpstream::start(|_| ok_response("x")).address)
            .collect();
        active_endpoints(&upstreams)
    })
}

/// The address of a discovery service that sends the list once on each connection, and then does not respond.
pub fn discovery_address() -> SocketAddr {
    static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();
    *ADDRESS.get_or_init(|| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve_discovery(stream));
            }
        });
        address
    })
}

fn serve_discovery(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    if read_message(&mut stream).is_some() {
        // An error is ignored: a balancer that has disconnected calls again.
        let _ = stream
            .get_mut()
            .write_all(ok_text(endpoint_list()).as_bytes());
    }
    while read_message(&mut stream).is_some() {}
}
