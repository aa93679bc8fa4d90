//! One client that sends as fast as it can on one connection: others are answered in time, and memory
//! does not grow with what it has sent.
mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(6);
/// When memory is read first: buffers and connection pools have their size by then.
const FIRST_READING: Duration = Duration::from_secs(3);
/// By how much memory may grow from then on, in kB: 200 bytes for each of 15,000 requests.
const MAX_GROWTH_KB: usize = 3_000;
/// Time of an ordinary request, and how much later its answer may come.
const ORDINARY_TIME: Duration = Duration::from_secs(1);
const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// Pause between two ordinary requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(10);
/// How much is written at once.
const BATCH_BYTES: usize = 32 << 10;

/// What a client sends without end.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Requests with ever new ids.
    Requests,
    /// Requests with the same id.
    SameId,
    /// Readiness checks.
    ReadinessChecks,
    /// Readiness checks whose responses the client does not read.
    UnreadReadinessChecks,
    /// Requests whose responses the client does not read.
    UnreadRequests,
    /// Requests of ever new tenants, which are not in the settings.
    UnknownTenants,
    /// Requests of ever new classes.
    UnknownClasses,
    /// Requests for ever new paths that are not served.
    UnknownPaths,
    /// Lines before a request.
    BlankLines,
    /// What is not HTTP.
    Garbage,
    /// A large request in chunks of one byte.
    TinyChunks,
    /// Chunks with long extensions.
    ChunkExtensions,
}

const FLOODS: [Flood; 12] = [
    Flood::Requests,
    Flood::SameId,
    Flood::ReadinessChecks,
    Flood::UnreadReadinessChecks,
    Flood::UnreadRequests,
    Flood::UnknownTenants,
    Flood::UnknownClasses,
    Flood::UnknownPaths,
    Flood::BlankLines,
    Flood::Garbage,
    Flood::TinyChunks,
    Flood::ChunkExtensions,
];

impl Flood {
    /// What a new connection sends first.
    fn start(self, connection: usize) -> String {
        match self {
            Flood::TinyChunks | Flood::ChunkExtensions => {
                upload_head(&format!("flood-{connection}"), "Transfer-Encoding: chunked")
            }
            _ => String::new(),
        }
    }

    /// Part number `number` of what follows.
    fn part(self, number: usize) -> String {
        let request = get_request(&format!("flood-{number}"), "5000m");
        match self {
            Flood::Requests | Flood::UnreadRequests => request,
            Flood::SameId => get_request("flood", "5000m"),
            Flood::ReadinessChecks | Flood::UnreadReadinessChecks => READY_REQUEST.to_string(),
            Flood::UnknownTenants => request.replace("club", &format!("tenant-{number}")),
            Flood::UnknownClasses => request.replace("read", &format!("class-{number}")),
            Flood::UnknownPaths => request.replace("/api/x", &format!("/path-{number}")),
            Flood::BlankLines => "\r\n".to_string(),
            Flood::Garbage => format!("garbage {number}\r\n"),
            Flood::TinyChunks => "1\r\nx\r\n".to_string(),
            Flood::ChunkExtensions => format!("1;{}\r\nx\r\n", "e".repeat(1000)),
        }
    }

    fn reads_responses(self) -> bool {
        !matches!(self, Flood::UnreadReadinessChecks | Flood::UnreadRequests)
    }

    /// Sends until `is_over`. Connects again when the balancer closes the connection.
    fn send(self, address: SocketAddr, is_over: &AtomicBool) {
        let mut number = 0;
        let mut connection = 0;
        while !is_over.load(Ordering::SeqCst) {
            connection += 1;
            let Ok(mut stream) = TcpStream::connect(address) else {
                continue;
            };
            prepare_for_pieces(&stream);
            let mut unwritten = self.start(connection).into_bytes();
            while !is_over.load(Ordering::SeqCst) {
                while unwritten.len() < BATCH_BYTES {
                    unwritten.extend_from_slice(self.part(number).as_bytes());
                    number += 1;
                }
                let is_open = write_some(&mut stream, &mut unwritten)
                    && (!self.reads_responses() || read_all(&mut stream));
                if !is_open {
                    break;
                }
            }
        }
    }
}

/// Writes what the socket accepts. Returns whether the connection is open.
fn write_some(stream: &mut TcpStream, unwritten: &mut Vec<u8>) -> bool {
    match stream.write(unwritten) {
        Ok(count) => {
            unwritten.drain(..count);
            true
        }
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

/// Reads and discards what has arrived. Returns whether the connection is open.
fn read_all(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 64 << 10];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
}

fn start_upstream() -> SocketAddr {
    start_threaded_upstream(|stream| loop {
        let head = read_head(stream);
        if !head.starts_with("GET") {
            // An upload: its body is read until the connection ends.
            let _ = std::io::copy(stream, &mut std::io::sink());
            return;
        }
        send_bytes(stream, ok_text("ok").as_bytes());
    })
}

/// Sends ordinary requests for a while. Returns the longest time until an answer.
fn play_ordinary_client(address: SocketAddr, time: Duration, flood: Flood) -> Duration {
    let mut longest = Duration::ZERO;
    let started_at = Instant::now();
    for number in 0.. {
        if started_at.elapsed() > time {
            break;
        }
        let request = get_request(
            &format!("ordinary-{number}"),
            &format!("{}m", ORDINARY_TIME.as_millis()),
        );
        let sent_at = Instant::now();
        let status = Client::connect(address).call(&request).status();
        let answered_after = sent_at.elapsed();
        assert!(
            answered_after < ORDINARY_TIME + ANSWER_GRACE,
            "{flood:?}: {status} after {answered_after:?}"
        );
        assert!(matches!(status, 200 | 503), "{flood:?}: {status}");
        longest = longest.max(answered_after);
        sleep(ORDINARY_PAUSE);
    }
    longest
}

/// Plays one kind of flood beside an ordinary client.
fn play_flood(flood: Flood) {
    let balancer = BalancerProcess::with_upstreams(&[start_upstream()]);
    let address = balancer.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let flooding = {
        let is_over = is_over.clone();
        thread::spawn(move || flood.send(address, &is_over))
    };
    let first = play_ordinary_client(address, FIRST_READING, flood);
    let before_kb = balancer.resident_kb();
    let second = play_ordinary_client(address, FLOOD_TIME - FIRST_READING, flood);
    let after_kb = balancer.resident_kb();
    is_over.store(true, Ordering::SeqCst);
    assert!(flooding.join().is_ok());
    let longest = first.max(second);
    println!("{flood:?}: longest answer {longest:?}, {before_kb} and {after_kb} kB");
    assert!(
        after_kb <= before_kb + MAX_GROWTH_KB,
        "{flood:?}: {after_kb} kB after {before_kb} kB"
    );
}

/// Guards against a connection whose input is handled without end before others get their turn, and
/// against anything that is kept for each request, name or piece that was sent.
#[test]
fn flood_on_one_connection_neither_delays_others_nor_fills_memory() {
    let play = |flood| -> Play { Box::new(move || play_flood(flood)) };
    run_plays(FLOODS.into_iter().map(play).collect());
}
