//! An upstream turns one request away, and sends that answer a second time 15 ms later. Must never run twice: `open-plan`.
#[path = "../common-2/mod.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How much later the second copy of the answer is written: some milliseconds.
const LATE_MS: u64 = 15;
/// What one request takes at an upstream. The mean work on the site is 130 to 240 ms over all tiers.
const SERVICE_MS: u64 = 60;
/// s-1 turns away one request, once it has run this many.
const RUN_BEFORE: u64 = 3;
/// Requests of the first client until then, at most.
const WARM_UP: usize = 40;

#[derive(Clone, Default)]
struct Upstreams {
    /// By request id, the upstreams that ran the request.
    runs: Arc<Mutex<HashMap<String, Vec<&'static str>>>>,
    run_by_first: Arc<AtomicU64>,
}

fn main() {
    run_case(case)
}

fn case() -> i32 {
    let discovery = Discovery::start();
    let upstreams = Upstreams::default();
    let (turned_away, was_turned_away) = channel();
    discovery.set("s-1", start_upstream("s-1", &upstreams, turned_away.clone()), "active");
    discovery.set("s-2", start_upstream("s-2", &upstreams, turned_away), "active");
    let balancer = Place::new("n1", &discovery, Settings::default()).start();

    // A second client, whose shopper comes just when s-1 is full for a moment.
    let address = balancer.address;
    let second = thread::spawn(move || {
        if was_turned_away.recv().is_ok() {
            let _ = request(address, "client 2");
        }
    });
    for _ in 0..WARM_UP {
        if request(address, "client 1").is_err() {
            return COULD_NOT_RUN;
        }
        if upstreams.run_by_first.load(Ordering::SeqCst) > RUN_BEFORE {
            break;
        }
    }
    if upstreams.run_by_first.load(Ordering::SeqCst) < RUN_BEFORE {
        return COULD_NOT_RUN;
    }
    let deadline = Instant::now() + millis(8000);
    while !second.is_finished() && Instant::now() < deadline {
        sleep_ms(10);
    }
    // An attempt that is still on its way runs within this time.
    sleep_ms(500);
    let runs = upstreams.runs.lock().expect("the runs");
    let mut code = HELD;
    for (id, names) in runs.iter().filter(|(_, names)| names.len() > 1) {
        record(format!("BROKEN: {} ran {} times, at {:?}", id, names.len(), names));
        code = BROKEN;
    }
    code
}

fn start_upstream(name: &'static str, upstreams: &Upstreams, turned_away: Sender<()>) -> SocketAddr {
    let upstreams = upstreams.clone();
    let turned_away = Mutex::new(turned_away);
    let done = AtomicU64::new(0);
    upstream(name, move |exchange| {
        let id = exchange.request.id();
        let is_first = name == "s-1";
        let is_full = is_first
            && upstreams.run_by_first.load(Ordering::SeqCst) >= RUN_BEFORE
            && done.swap(1, Ordering::SeqCst) == 0;
        if is_full {
            record(format!("{}: turns {} away, its queue is full", name, id));
            let answer = response("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
            exchange.stream.write_all(&answer)?;
            let _ = turned_away.lock().expect("the sender").send(());
            if trouble() {
                let mut stream = exchange.stream.try_clone()?;
                thread::spawn(move || {
                    sleep_ms(LATE_MS);
                    record(format!("{}: sends the answer to {} once more", name, id));
                    let _ = stream.write_all(&answer);
                });
            }
            return Ok(true);
        }
        record(format!("{}: runs {}", name, id));
        upstreams.runs.lock().expect("the runs").entry(id.clone()).or_default().push(name);
        if is_first {
            upstreams.run_by_first.fetch_add(1, Ordering::SeqCst);
        }
        sleep_ms(SERVICE_MS);
        exchange.stream.write_all(&response("200 OK", "", &format!("plan of {}", id)))?;
        Ok(true)
    })
}

/// One request on a connection of its own.
fn request(address: SocketAddr, client: &str) -> io::Result<()> {
    let id = new_id();
    record(format!("{}: sends {}", client, id));
    let mut connection = Client::connect(address)?;
    connection.send(&post(&id, 6000, "a basket"))?;
    let answer = connection.answer(millis(8000));
    record(format!("{}: {} got {}", client, id, describe(&answer)));
    answer.map(|_| ())
}
