//! Large requests at 64 kB a second, whose answers come in small pieces, chunked, well within their time.
#[path = "../stand-ins/lab.rs"]
mod lab;
use lab::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 6;
const DEADLINE_MS: u32 = 4000;
/// The pages let a client send a body at 64 kB a second.
const BYTES_PER_SECOND: usize = 64_000;
const REQUEST_BYTES: usize = 320_000;
const PIECES: usize = 16;
const PIECE_BYTES: usize = 512;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

struct Call {
    whole: bool,
    lost: bool,
}

fn call(
    address: SocketAddr,
    id: &str,
    tenant: &str,
    completed: &Mutex<Vec<String>>,
    record: &Record,
) -> std::io::Result<Call> {
    let mut peer = Peer::connect(address)?;
    peer.write(request_head(id, tenant, DEADLINE_MS, REQUEST_BYTES).as_bytes())?;
    let start = Instant::now();
    let mut sent = 0;
    while sent < REQUEST_BYTES {
        let step = 3200.min(REQUEST_BYTES - sent);
        peer.write(&vec![b'x'; step])?;
        sent += step;
        if trouble() {
            let due = Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND as f64);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
    }
    let written = Instant::now();
    record.line(format!(
        "{id}: last byte written, {:.1} s after the first",
        start.elapsed().as_secs_f64()
    ));
    peer.stream
        .set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut body = Vec::new();
    let answer = match peer.read_head() {
        Ok(Some(head)) => match peer.read_body(&head, &mut body) {
            Ok(()) => format!("whole answer {}", head.status()),
            Err(error) => format!("BROKEN answer {} ({error})", head.status()),
        },
        Ok(None) => "NO answer, connection ended".to_string(),
        Err(error) => format!("NO answer ({error})"),
    };
    let whole = answer.starts_with("whole");
    let ended = written.elapsed().as_secs_f64() * 1000.0;
    // The upstream gives all of its answer unless its connection ends; wait until it would have.
    thread::sleep(PIECE_PAUSE * PIECES as u32);
    let was_completed = completed.lock().unwrap().iter().any(|done| done == id);
    let lost = !whole && ended < f64::from(DEADLINE_MS);
    record.line(format!(
        "{id}: {answer} with {} bytes, ended {ended:.0} ms after its last byte, time {DEADLINE_MS} ms; upstream could write all: {was_completed}",
        body.len()
    ));
    Ok(Call { whole, lost })
}

fn main() {
    let record = Record::create();
    let completed: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut servers = Vec::new();
    for number in 0..UPSTREAMS {
        let listener = loopback();
        servers.push(server_entry(
            &format!("s-{number}"),
            listener.local_addr().unwrap(),
            "active",
        ));
        let (record, completed) = (record.clone(), completed.clone());
        serve(listener, move |mut peer| {
            while let Some(head) = peer.read_head()? {
                let mut body = Vec::new();
                peer.read_body(&head, &mut body)?;
                let id = head.header("req-id").to_string();
                record.line(format!(
                    "upstream s-{number} runs {id}, told {}",
                    head.header("req-deadline")
                ));
                peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                for piece in 0..PIECES {
                    let text = format!("{PIECE_BYTES:x}\r\n{}\r\n", "p".repeat(PIECE_BYTES));
                    if let Err(error) = peer.write(text.as_bytes()) {
                        record.line(format!(
                            "upstream s-{number}: {id} cut off before piece {piece} ({error})"
                        ));
                        return Err(error);
                    }
                    thread::sleep(PIECE_PAUSE);
                }
                peer.write(b"0\r\n\r\n")?;
                completed.lock().unwrap().push(id);
            }
            Ok(())
        });
    }
    let balancer = Balancer::start(&servers, &settings(6000, 2500), &record);
    let calls: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record, completed) =
                (balancer.address, record.clone(), completed.clone());
            thread::spawn(move || {
                call(
                    address,
                    &format!("c{number:015}"),
                    TENANTS[number % 3],
                    &completed,
                    &record,
                )
            })
        })
        .collect();
    let results: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    drop(balancer);
    let calls: Vec<&Call> = results.iter().flatten().collect();
    let whole = calls.iter().filter(|call| call.whole).count();
    let lost = calls.iter().filter(|call| call.lost).count();
    let summary = format!("{} requests taken, {whole} with a whole answer, {lost} cut off or unanswered before their time", calls.len());
    if calls.is_empty() {
        record.end(COULD_NOT_RUN, summary);
    }
    record.end(if lost > 0 { BROKEN } else { HELD }, summary);
}
