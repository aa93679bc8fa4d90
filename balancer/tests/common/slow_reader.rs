//! Clients that read slowly.
use super::{data_of_chunks, test_bytes, Framing};
use std::io::{self, BufReader, Read};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a slow client reads.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Most bytes of one read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A stream that is read at a fixed rate, in bytes per second.
struct SlowReader {
    stream: BufReader<TcpStream>,
    rate: f64,
    bytes_read: usize,
    started_at: Instant,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let due = Duration::from_secs_f64(self.bytes_read as f64 / self.rate);
        sleep(due.saturating_sub(self.started_at.elapsed()));
        let step = (self.rate * READ_INTERVAL.as_secs_f64()) as usize;
        let limit = buffer.len().min(step);
        let count = self.stream.read(&mut buffer[..limit])?;
        self.bytes_read += count;
        Ok(count)
    }
}

/// Reads a body of [`test_bytes`] at `rate` bytes per second, to its end or to the end of the
/// connection. Returns how much of it arrived.
pub fn read_body_slowly(
    stream: BufReader<TcpStream>,
    framing: Framing,
    length: usize,
    rate: f64,
) -> usize {
    let mut reader = SlowReader {
        stream,
        rate,
        bytes_read: 0,
        started_at: Instant::now(),
    };
    let mut received = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while !is_complete(&received, framing, length) {
        match reader.read(&mut buffer) {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    let body = match framing {
        Framing::Length => received,
        Framing::Chunked => data_of_chunks(&received),
    };
    assert_eq!(body, test_bytes(length)[..body.len()], "the body differs");
    body.len()
}

fn is_complete(received: &[u8], framing: Framing, length: usize) -> bool {
    match framing {
        Framing::Length => received.len() >= length,
        Framing::Chunked => received.ends_with(b"\r\n0\r\n\r\n"),
    }
}
