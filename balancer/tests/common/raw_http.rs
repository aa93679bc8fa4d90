//! Parts of HTTP messages as bytes on a connection.
use super::{payment_request, with_read_timeout};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Starts an upstream that calls `serve` for each connection, one after another.
pub fn start_raw_upstream(
    serve: impl Fn(&mut BufReader<TcpStream>) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(&mut with_read_timeout(stream));
        }
    });
    address
}

/// Starts an upstream that calls `serve` for each connection, each in a thread of its own.
pub fn start_threaded_upstream(
    serve: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(&mut with_read_timeout(stream)));
        }
    });
    address
}

/// Reads a head up to its empty line.
pub fn read_head(from: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && from.read_line(&mut head).expect("a message head") > 0 {}
    head
}

/// Reads this many bytes.
pub fn read_bytes(from: &mut BufReader<TcpStream>, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).expect("enough bytes");
    bytes
}

/// Sends these bytes.
pub fn send_bytes(to: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // An error is ignored: reading the response shows that the connection is closed.
    let _ = to.get_mut().write_all(bytes);
}

/// Reads the line before a chunk, with its size.
pub fn read_chunk_size(from: &mut BufReader<TcpStream>) -> usize {
    let mut line = String::new();
    from.read_line(&mut line).expect("the size of a chunk");
    usize::from_str_radix(line.trim_end(), 16).expect("the size of a chunk")
}

/// Reads a chunked body.
pub fn read_chunks(from: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let size = read_chunk_size(from);
        body.extend(read_bytes(from, size));
        read_bytes(from, 2);
        if size == 0 {
            return body;
        }
    }
}

/// Bytes that differ between neighbouring blocks of 256 bytes, so that a lost or repeated part is detected.
pub fn test_bytes(length: usize) -> Vec<u8> {
    (0..length)
        .map(|i| (i ^ (i >> 8) ^ (i >> 16)) as u8)
        .collect()
}

/// The head of a request with this framing.
pub fn upload_head(id: &str, framing: &str) -> String {
    payment_request(id, "15000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("{framing}\r\n\r\n"),
    )
}
