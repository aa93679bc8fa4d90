//! Crowds of clients that hold a balancer's memory with requests that they do not complete.
use super::FaultInjector;
use crate::ids::BalancerId;
use crate::limits::MEMORY_LIMIT_MB;
use crate::rules::Rule;
use rand::RngExt;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// How many clients connect.
const CLIENTS: usize = 250;
/// How many header fields a large head has; the balancer accepts up to 100.
const FIELDS: usize = 90;
/// Longest value of such a field.
const MAX_VALUE_BYTES: usize = 160;
/// Stated length of a body, of which the last byte is not sent.
const BODY_BYTES: usize = 60_000;
/// Largest piece that a client writes at once.
const MAX_PIECE_BYTES: usize = 9_000;
/// Pause after a round in which each client has written a piece.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// A client and what it has not written yet.
struct SlowClient {
    stream: TcpStream,
    unwritten: Vec<u8>,
}

impl FaultInjector {
    /// A crowd of clients writes requests to one balancer in pieces and completes none. The balancer must not use more
    /// memory than it may.
    pub(super) async fn crowd_with_slow_clients(&mut self) {
        let balancer = self.draw_balancer();
        let address = self.testbed.clients(balancer).address();
        let started_at = Instant::now();
        let ends_at = started_at + self.duration;
        let mut clients = Vec::new();
        while Instant::now() < ends_at {
            while clients.len() < CLIENTS {
                let Ok(stream) = TcpStream::connect(address).await else {
                    break;
                };
                let unwritten = self.draw_incomplete_request();
                clients.push(SlowClient { stream, unwritten });
            }
            let piece = self.random.random_range(1..MAX_PIECE_BYTES);
            // The clients whose connection the balancer has closed are replaced.
            clients.retain_mut(|client| client.write_piece(piece));
            self.check_memory(balancer);
            sleep(ROUND_PAUSE).await;
        }
        // Several crowds, or one beside an upgrade, use up the descriptors.
        self.testbed
            .recorder()
            .lock()
            .record_descriptor_exhaustion(balancer, started_at);
    }

    /// A request without its end: a head of many fields, or a body. Nothing of it may be forwarded.
    fn draw_incomplete_request(&mut self) -> Vec<u8> {
        let has_large_head = self.random.random_bool(0.5);
        let fields = if has_large_head { FIELDS } else { 0 };
        let value = "v".repeat(self.random.random_range(1..MAX_VALUE_BYTES));
        let fields: String = (0..fields)
            .map(|number| format!("x{number}: {value}\r\n"))
            .collect();
        let head = format!(
            "POST /api HTTP/1.1\r\n{fields}Host: x\r\nReq-Id: crowd-{:016x}\r\nReq-Kind: pay\r\nReq-Owner: club\r\n\
             Req-Deadline: 2000m\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
            self.random.random::<u64>()
        );
        let mut request = head.into_bytes();
        if has_large_head {
            request.pop();
        } else {
            request.resize(request.len() + BODY_BYTES - 1, b'x');
        }
        request
    }

    fn check_memory(&self, balancer: BalancerId) {
        // Other faults lock it while its process is replaced.
        let Ok(locked) = self.testbed.try_lock_balancer(balancer) else {
            return;
        };
        let Some(used_kb) = locked.anonymous_memory_kb() else {
            return;
        };
        if used_kb > MEMORY_LIMIT_MB << 10 {
            let details = format!("balancer {balancer} uses {used_kb} kB");
            self.testbed
                .recorder()
                .lock()
                .record_violation(Rule::MemoryLimit, details);
        }
    }
}

impl SlowClient {
    /// Writes a piece as far as the socket accepts it. Returns whether the connection is open.
    fn write_piece(&mut self, piece: usize) -> bool {
        let mut discarded = [0; 512];
        if matches!(self.stream.try_read(&mut discarded), Ok(0)) {
            return false;
        }
        let length = piece.min(self.unwritten.len());
        if length == 0 {
            return true;
        }
        match self.stream.try_write(&self.unwritten[..length]) {
            Ok(written) => {
                self.unwritten.drain(..written);
                true
            }
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}
