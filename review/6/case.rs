//! Clients write ordinary requests slowly and in small pieces, and the platform keeps the limit of memory.
#[path = "../common-2/mod.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the balancers in REPORTS: "memory MB [...] of 48", "descriptors [...] of 384".
const MEMORY_MB: u64 = 48;
const SOCKETS: u32 = 384;
/// A third of the descriptors. Some clients write small requests at once all the while, the others one large request each.
const CLIENTS: u32 = SOCKETS / 3;
const SMALL_CLIENTS: u32 = 8;
const BODY: usize = 64 * 1024;
/// With the disruption a client writes this much at once, and 64 kB a second in all.
const PIECE: usize = 320;
const BYTES_PER_SECOND: u64 = 64_000;
const DEADLINE_MS: u64 = 6000;
/// How often the platform looks at the balancer's memory.
const LOOK_EVERY_MS: u64 = 5;

fn main() {
    run_case(case)
}

fn case() -> i32 {
    let discovery = Discovery::start();
    for name in ["s-1", "s-2", "s-3", "s-4"] {
        let address = upstream(name, |exchange| {
            sleep_ms(200);
            exchange.stream.write_all(&response("200 OK", "", &format!("plan of {}", exchange.request.id())))?;
            Ok(true)
        });
        discovery.set(name, address, "active");
    }
    let mut place = Place::new("n1", &discovery, Settings::default());
    place.memory_mb = MEMORY_MB;
    place.sockets = SOCKETS;
    let balancer = Arc::new(place.start());
    let (is_over, killed, peak_kb) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let platform = {
        let (balancer, is_over, killed, peak_kb) = (balancer.clone(), is_over.clone(), killed.clone(), peak_kb.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let held_kb = anonymous_memory_kb(balancer.pid);
                peak_kb.fetch_max(held_kb, Ordering::SeqCst);
                if held_kb > MEMORY_MB * 1024 {
                    record(format!("platform: the balancer holds {} kB of anonymous memory, more than {} MB", held_kb, MEMORY_MB));
                    killed.store(true, Ordering::SeqCst);
                    balancer.signal("KILL");
                    return;
                }
                sleep_ms(LOOK_EVERY_MS);
            }
        })
    };
    let address = balancer.address;
    let small: Vec<_> = (0..SMALL_CLIENTS)
        .map(|_| {
            let is_over = is_over.clone();
            thread::spawn(move || run_small_client(address, &is_over))
        })
        .collect();
    sleep_ms(500);
    let large = CLIENTS - SMALL_CLIENTS;
    record(format!("{} clients write one request each, with a body of {} bytes", large, BODY));
    let clients: Vec<_> = (0..large).map(|_| thread::spawn(move || run_client(address))).collect();
    let mut ends = BTreeMap::new();
    for client in clients {
        *ends.entry(client.join().expect("a client")).or_insert(0) += 1;
    }
    sleep_ms(500);
    is_over.store(true, Ordering::SeqCst);
    platform.join().expect("the platform");
    let lost: Vec<String> = small.into_iter().filter_map(|client| client.join().expect("a client")).collect();
    for (end, count) in &ends {
        record(format!("large requests: {} x {}", count, end));
    }
    record(format!("the most anonymous memory seen: {} kB", peak_kb.load(Ordering::SeqCst)));
    if killed.load(Ordering::SeqCst) {
        record(format!("BROKEN: the balancer was killed for memory; lost with it: {:?}", lost));
        return BROKEN;
    }
    if balancer.has_ended() {
        return COULD_NOT_RUN;
    }
    HELD
}

/// The memory of a process that is neither of files nor shared, by the system's own count.
fn anonymous_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", pid)).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Writes one small request after the other. Returns the id of a request that was written whole and not answered.
fn run_small_client(address: SocketAddr, is_over: &AtomicBool) -> Option<String> {
    let mut client = Client::connect(address).ok()?;
    while !is_over.load(Ordering::SeqCst) {
        let id = new_id();
        if client.send(&post(&id, DEADLINE_MS, "a basket")).is_err() {
            return None;
        }
        let answer = client.answer(millis(DEADLINE_MS + 1000));
        if !matches!(answer, Ok(Some(_))) {
            record(format!("small client: {} was written whole and got: {}", id, describe(&answer)));
            return Some(id);
        }
        sleep_ms(5);
    }
    None
}

/// Writes one large request, and says what came of it.
fn run_client(address: SocketAddr) -> String {
    let Ok(mut client) = Client::connect(address) else {
        return "no connection".to_string();
    };
    let id = new_id();
    let bytes = post(&id, DEADLINE_MS, &"x".repeat(BODY));
    let head = bytes.len() - BODY;
    let piece = if trouble() { PIECE } else { BODY };
    if client.send(&bytes[..head]).is_err() {
        return "broke while the head was written".to_string();
    }
    let started_at = Instant::now();
    let mut written = 0;
    for part in bytes[head..].chunks(piece) {
        if client.send(part).is_err() {
            return "broke while the body was written".to_string();
        }
        written += part.len() as u64;
        let due = Duration::from_micros(written * 1_000_000 / BYTES_PER_SECOND);
        if trouble() {
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
    }
    match client.answer(millis(DEADLINE_MS + 1000)) {
        Ok(Some(answer)) => format!("answered with {}", answer.status()),
        Ok(None) => "closed without an answer".to_string(),
        Err(error) => format!("no answer: {}", error.kind()),
    }
}
