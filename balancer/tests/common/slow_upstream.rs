//! Upstreams that send responses slowly, and clients that measure what arrives.
use super::{data_of_chunks, payment_request, read_bytes, read_head, send_bytes, test_bytes};
use super::{start_threaded_upstream, ResponseFraming::*};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Length of a slow response, which is larger than a body that is buffered completely.
pub const SLOW_BODY_BYTES: usize = 100_000;
/// How much later than its request's time a response may end that does not come, with 50 ms of slack.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(550);

/// How an upstream states where the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseFraming {
    /// The length of a slow response is stated, whether or not all of it is sent.
    StatedLength,
    Chunked,
    UntilClose,
}

/// All framings of responses.
pub const RESPONSE_FRAMINGS: [ResponseFraming; 3] = [StatedLength, Chunked, UntilClose];
/// The framings that do not tell how long a response is.
pub const UNSTATED_LENGTH: [ResponseFraming; 2] = [Chunked, UntilClose];

impl ResponseFraming {
    pub fn head(self) -> String {
        let header = match self {
            StatedLength => format!("Content-Length: {SLOW_BODY_BYTES}"),
            Chunked => "Transfer-Encoding: chunked".to_string(),
            UntilClose => "Connection: close".to_string(),
        };
        format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n")
    }

    fn piece(self, data: &[u8]) -> Vec<u8> {
        match self {
            StatedLength | UntilClose => data.to_vec(),
            Chunked => [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat(),
        }
    }

    fn end(self) -> &'static [u8] {
        match self {
            StatedLength | UntilClose => b"",
            Chunked => b"0\r\n\r\n",
        }
    }
}

/// A part of a body: so many bytes, in pieces of this size, with a pause after each.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    bytes: usize,
    piece_bytes: usize,
    pause: Duration,
}

/// A part with a pause in milliseconds.
pub const fn part(bytes: usize, piece_bytes: usize, pause_ms: u64) -> Part {
    Part {
        bytes,
        piece_bytes,
        pause: Duration::from_millis(pause_ms),
    }
}

/// A slow response: 50 kB/s without a longer pause.
pub const STEADY: &[Part] = &[part(SLOW_BODY_BYTES, 2_500, 50)];

/// Sends the head of a response and these parts of its body. Returns whether the connection took
/// all of them.
pub fn send_slowly(
    stream: &mut BufReader<TcpStream>,
    framing: ResponseFraming,
    parts: &[Part],
) -> bool {
    let _ = stream.get_ref().set_nodelay(true);
    send_bytes(stream, framing.head().as_bytes());
    let body = test_bytes(parts.iter().map(|part| part.bytes).sum());
    let mut rest = &body[..];
    for part in parts {
        let (data, further) = rest.split_at(part.bytes);
        rest = further;
        for piece in data.chunks(part.piece_bytes) {
            if stream.get_mut().write_all(&framing.piece(piece)).is_err() {
                return false;
            }
            sleep(part.pause);
        }
    }
    true
}

/// Sends a response of these parts, and its end. Returns whether the connection took it and stays
/// open.
pub fn serve_slowly(
    stream: &mut BufReader<TcpStream>,
    framing: ResponseFraming,
    parts: &[Part],
) -> bool {
    let is_sent = send_slowly(stream, framing, parts);
    if is_sent {
        send_bytes(stream, framing.end());
    }
    is_sent && framing != UntilClose
}

/// Reads a request, which may have the body of [`payment_request`]. Returns its head.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> String {
    let head = read_head(stream);
    if head.starts_with("POST") {
        read_bytes(stream, "body".len());
    }
    head
}

/// An upstream that sends each response in these parts, `delay` after its request.
pub fn start_slow_upstream(
    framing: ResponseFraming,
    parts: &'static [Part],
    delay: Duration,
) -> SocketAddr {
    start_threaded_upstream(move |stream| {
        while !read_request(stream).is_empty() {
            sleep(delay);
            if !serve_slowly(stream, framing, parts) {
                return;
            }
        }
    })
}

/// An upstream that sends these parts of a response and never its end. The receiver gets the time at
/// which its connection was closed.
pub fn start_stalling_upstream(
    framing: ResponseFraming,
    parts: &'static [Part],
) -> (SocketAddr, Receiver<Instant>) {
    let (closed_sender, closed) = channel();
    let closed_sender = Mutex::new(closed_sender);
    let address = start_threaded_upstream(move |stream| {
        if read_request(stream).is_empty() {
            return;
        }
        if send_slowly(stream, framing, parts) {
            let _ = stream.read(&mut [0]);
        }
        // The test may be over.
        let _ = closed_sender
            .lock()
            .map(|sender| sender.send(Instant::now()));
    });
    (address, closed)
}

/// What a client received.
#[derive(Debug)]
pub struct Received {
    pub head: String,
    /// Time from the end of the request to the head.
    pub head_after: Duration,
    /// Time from the end of the request to the end of the response, or of the connection.
    pub ended_after: Duration,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

/// Sends a payment request with this time, and reads its response to the end.
pub fn call_and_measure(mut client: BufReader<TcpStream>, time: Duration) -> Received {
    let request = payment_request("r1", &format!("{}m", time.as_millis()));
    send_bytes(&mut client, request.as_bytes());
    receive(client, Instant::now())
}

/// Reads the response to a request that was sent at `sent_at`.
pub fn receive(mut client: BufReader<TcpStream>, sent_at: Instant) -> Received {
    let head = read_head(&mut client);
    let head_after = sent_at.elapsed();
    let (body, is_complete) = read_body(client, &head.to_ascii_lowercase());
    Received {
        head,
        head_after,
        ended_after: sent_at.elapsed(),
        body,
        is_complete,
    }
}

/// Reads a body with this head. Returns what arrived of it, and whether that is all.
fn read_body(mut client: BufReader<TcpStream>, head: &str) -> (Vec<u8>, bool) {
    let mut raw = Vec::new();
    if !head.contains("transfer-encoding: chunked") {
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let read = client.take(length).read_to_end(&mut raw);
        let is_complete = read.is_ok_and(|count| count as u64 == length);
        return (raw, is_complete);
    }
    let mut buffer = vec![0; 64 << 10];
    while !raw.ends_with(b"0\r\n\r\n") {
        match client.read(&mut buffer) {
            Ok(count) if count > 0 => raw.extend_from_slice(&buffer[..count]),
            _ => return (data_of_chunks(&raw), false),
        }
    }
    (data_of_chunks(&raw), true)
}

impl Received {
    /// Checks that all of a slow response has arrived, and its start within `time`.
    pub fn expect_complete(&self, time: Duration, case: &str) {
        let Received { head, body, .. } = self;
        assert!(
            head.starts_with("HTTP/1.1 200 ") && self.head_after <= time,
            "{case}: {head:?} after {:?}",
            self.head_after
        );
        assert!(
            self.is_complete && body == &test_bytes(SLOW_BODY_BYTES),
            "{case}: {} bytes after {:?}, complete: {}",
            body.len(),
            self.ended_after,
            self.is_complete
        );
    }
}

/// A check that runs beside others.
pub type Play = Box<dyn FnOnce() + Send>;

/// Runs all plays at once, and fails if any of them does.
pub fn run_plays(plays: Vec<Play>) {
    let plays: Vec<_> = plays.into_iter().map(thread::spawn).collect();
    let failed = plays
        .into_iter()
        .filter_map(|play| play.join().err())
        .count();
    assert_eq!(failed, 0, "plays failed");
}
