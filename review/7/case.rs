//! A planned restart while a client reads a large answer at 64 kB a second.
#[path = "../common-2/mod.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER_BYTES: usize = 1_000_000;
const BYTES_PER_SECOND: u64 = 64_000;
/// How much the client reads at once.
const PIECE: usize = 6_400;
/// SIGTERM goes to the balancer this long after the request.
const SIGTERM_AFTER: Duration = Duration::from_millis(2000);

fn main() {
    run_case(case)
}

fn case() -> i32 {
    let discovery = Discovery::start();
    let address = upstream("s-1", |exchange| {
        let id = exchange.request.id();
        record(format!("s-1: runs {}", id));
        sleep_ms(40);
        let written = exchange.stream.write_all(&response("200 OK", "", &"x".repeat(ANSWER_BYTES)));
        record(format!("s-1: has written the whole answer to {}: {:?}", id, written));
        Ok(true)
    });
    discovery.set("s-1", address, "active");
    let place = Place::new("n1", &discovery, Settings::default());
    let balancer = place.start();
    let mut client = Client::connect(balancer.address).expect("connects");
    let id = new_id();
    record(format!("client: sends {}", id));
    client.send(&post(&id, 6000, "a basket")).expect("sends");
    let sent_at = Instant::now();
    let reader = client.reader();
    let Ok(Some(head)) = read_head(reader) else {
        return COULD_NOT_RUN;
    };
    record(format!("client: {} got a head after {:?}: {:?} {:?}", id, sent_at.elapsed(), head.start_line, head.headers));
    if head.status() != 200 {
        return COULD_NOT_RUN;
    }
    let mut got = 0;
    let mut noted = 0;
    let mut buffer = [0; PIECE];
    let (mut was_told, mut has_ended) = (false, false);
    let end = loop {
        if !was_told && sent_at.elapsed() >= SIGTERM_AFTER {
            was_told = true;
            if trouble() {
                balancer.signal("TERM");
            }
        }
        if !has_ended && balancer.has_ended() {
            has_ended = true;
            record(format!("balancer: the process has ended; the client has {} bytes so far", got));
        }
        let due = millis(got as u64 * 1000 / BYTES_PER_SECOND);
        thread::sleep(due.saturating_sub(sent_at.elapsed()));
        match reader.read(&mut buffer) {
            Ok(0) => break "the connection was closed".to_string(),
            Ok(count) => got += count,
            Err(error) => break error.to_string(),
        }
        if got >= noted + 100_000 {
            noted = got;
            record(format!("client: has {} bytes", got));
        }
        if got == ANSWER_BYTES {
            break "whole".to_string();
        }
    };
    record(format!("client: {} got {} of {} bytes: {}", id, got, ANSWER_BYTES, end));
    record(format!("log of the balancer:\n{}", place.log()));
    if got == ANSWER_BYTES {
        return HELD;
    }
    record(format!("BROKEN: the balancer ended the connection without a whole answer to {}", id));
    BROKEN
}
