//! Crowds of clients that hold memory of a balancer: slow ones, and those that send many header
//! fields.
use super::{get_request, prepare_for_pieces, send_bytes, start_threaded_upstream, upload_head};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time to connect one client; the balancer may have no descriptor for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after a round in which each client has written a piece.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// How much a client reads in a round.
const READ_BYTES: usize = 500;
/// How long the upstream hangs where it does not respond.
const HANG_TIME: Duration = Duration::from_secs(10);
/// Most header fields that hyper accepts, less those of an ordinary request.
const MANY_FIELDS: usize = 92;
/// Length of a large response.
pub const LARGE_RESPONSE_BYTES: usize = 8 << 20;
/// Length of a response that is buffered completely.
const BUFFERED_RESPONSE_BYTES: usize = 60_000;
/// Length of a piece that the upstream writes.
const RESPONSE_PIECE_BYTES: usize = 64 << 10;

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug)]
pub enum CrowdClient {
    /// Sends most of a head of 15 kB.
    IncompleteHead,
    /// Sends a head of many short fields, and waits for its response.
    ManyShortFields,
    /// Sends a head of almost 16 KiB, and waits for its response.
    LargeHead,
    /// Stops in the middle of a large request with many short fields.
    StoppedUpload,
    /// Stops before the end of a request that is buffered completely.
    StoppedSmallUpload,
    /// Reads a large response slowly.
    SlowReader,
    /// Gets a response whose head has many fields, and reads it slowly.
    ManyResponseFields,
}

/// All kinds of client.
pub const CROWD_CLIENTS: [CrowdClient; 7] = [
    CrowdClient::IncompleteHead,
    CrowdClient::ManyShortFields,
    CrowdClient::LargeHead,
    CrowdClient::StoppedUpload,
    CrowdClient::StoppedSmallUpload,
    CrowdClient::SlowReader,
    CrowdClient::ManyResponseFields,
];

fn fields(count: usize, value_length: usize) -> String {
    let value = "v".repeat(value_length);
    (0..count)
        .map(|number| format!("x{number}: {value}\r\n"))
        .collect()
}

/// A request for a large response.
pub fn large_response_request(id: &str) -> Vec<u8> {
    get_with_fields(id, "/api/large", "")
}

fn get_with_fields(id: &str, path: &str, fields: &str) -> Vec<u8> {
    get_request(id, "15000m")
        .replacen("/api/x?y=1", path, 1)
        .replacen("Host:", &format!("{fields}Host:"), 1)
        .into_bytes()
}

fn upload_with_fields(id: &str, fields: &str, length: usize, written: usize) -> Vec<u8> {
    let framing = format!("{fields}Content-Length: {length}");
    let mut request = upload_head(id, &framing).into_bytes();
    request.resize(request.len() + written, b'x');
    request
}

impl CrowdClient {
    /// All that the client writes.
    fn written(self, id: &str) -> Vec<u8> {
        match self {
            CrowdClient::IncompleteHead => {
                let mut request = get_with_fields(id, "/api/hang", &fields(MANY_FIELDS, 170));
                request.truncate(15_000);
                request
            }
            CrowdClient::ManyShortFields => {
                get_with_fields(id, "/api/hang", &fields(MANY_FIELDS, 1))
            }
            CrowdClient::LargeHead => get_with_fields(id, "/api/hang", &fields(MANY_FIELDS, 160)),
            CrowdClient::StoppedUpload => {
                upload_with_fields(id, &fields(MANY_FIELDS, 1), 1_000_000, 300_000)
            }
            CrowdClient::StoppedSmallUpload => upload_with_fields(id, "", 60_000, 59_000),
            CrowdClient::SlowReader => get_with_fields(id, "/api/large", &fields(MANY_FIELDS, 1)),
            CrowdClient::ManyResponseFields => get_with_fields(id, "/api/fields", ""),
        }
    }
}

/// An upstream that does what the clients of crowds ask for, and answers other requests at once.
pub fn start_crowd_upstream() -> SocketAddr {
    start_threaded_upstream(|stream| while serve(stream) {})
}

/// Serves one request. Returns whether the connection can carry another.
fn serve(stream: &mut BufReader<TcpStream>) -> bool {
    let Some(head) = read_head_if_any(stream) else {
        return false;
    };
    if head.contains("/large") {
        return respond(stream, "", LARGE_RESPONSE_BYTES);
    }
    if head.contains("/fields") {
        return respond(stream, &fields(MANY_FIELDS, 100), BUFFERED_RESPONSE_BYTES);
    }
    if head.contains("/hang") || head.starts_with("POST") {
        sleep(HANG_TIME);
        return false;
    }
    respond(stream, "", 2)
}

/// The next head; `None` if the connection ends first.
fn read_head_if_any(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match stream.read_line(&mut head) {
            Ok(length) if length > 0 => {}
            _ => return None,
        }
    }
    Some(head)
}

fn respond(stream: &mut BufReader<TcpStream>, fields: &str, length: usize) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n");
    send_bytes(stream, head.as_bytes());
    let piece = vec![b'r'; RESPONSE_PIECE_BYTES];
    let mut remaining = length;
    while remaining > 0 {
        let part = &piece[..remaining.min(piece.len())];
        if stream.get_mut().write_all(part).is_err() {
            return false;
        }
        remaining -= part.len();
    }
    true
}

struct Member {
    stream: TcpStream,
    unwritten: Vec<u8>,
}

/// Clients that are connected at once.
pub struct Crowd {
    address: SocketAddr,
    members: Vec<Member>,
    connected: usize,
}

impl Crowd {
    /// A crowd without clients.
    pub fn new(address: SocketAddr) -> Crowd {
        Crowd {
            address,
            members: Vec::new(),
            connected: 0,
        }
    }

    /// How many clients are connected.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Connects clients of the kinds that `kind` returns, until there are `target` or the balancer
    /// takes no more.
    pub fn grow_to(&mut self, target: usize, mut kind: impl FnMut() -> CrowdClient) {
        while self.members.len() < target {
            let Some(stream) = connect_slow_reader(self.address) else {
                return;
            };
            self.connected += 1;
            let id = format!("crowd-{}-{}", self.address.port(), self.connected);
            let unwritten = kind().written(&id);
            self.members.push(Member { stream, unwritten });
        }
    }

    /// Disconnects the oldest clients, so that `remaining` are left.
    pub fn shrink_to(&mut self, remaining: usize) {
        let leaving = self.members.len().saturating_sub(remaining);
        self.members.drain(..leaving);
    }

    /// For `time`, each client in turn writes pieces of up to `piece` bytes, and reads a little.
    pub fn play(&mut self, time: Duration, piece: usize) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for member in &mut self.members {
                member.write_piece(piece);
                // The response may not have come, or the connection may be closed.
                let _ = member.stream.read(&mut [0; READ_BYTES]);
            }
            sleep(ROUND_PAUSE);
        }
    }
}

impl Member {
    fn write_piece(&mut self, piece: usize) {
        let length = piece.min(self.unwritten.len());
        if length == 0 {
            return;
        }
        // The balancer may not read on, or may have closed the connection.
        let written = self.stream.write(&self.unwritten[..length]).unwrap_or(0);
        self.unwritten.drain(..written);
    }
}

/// A client whose system buffers little of what it does not read; `None` if the balancer does not
/// accept it in time.
pub fn connect_slow_reader(address: SocketAddr) -> Option<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(4096).ok()?;
    socket
        .connect_timeout(&address.into(), CONNECT_TIMEOUT)
        .ok()?;
    let stream = TcpStream::from(socket);
    prepare_for_pieces(&stream);
    Some(stream)
}
