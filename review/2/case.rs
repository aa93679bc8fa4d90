//! Large requests that have been written whole, while one of three upstreams hangs.
#[path = "../stand-ins/lab.rs"]
mod lab;
use lab::*;
use std::io::BufRead;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 3;
const DEADLINE_MS: u32 = 3000;
/// An answer up to this long after the request's time only earns nothing; later it is lost. 50 ms are the sockets' slack.
const LOST_AFTER: Duration = Duration::from_millis(DEADLINE_MS as u64 + 500 + 50);
/// How long a client that has written its request waits, to see how late an answer comes.
const PATIENCE: Duration = Duration::from_secs(20);
const ROUNDS: usize = 3;
/// Far under the 32 MB that bodies may reach. More than the buffers on the way to an upstream that doesn't read hold,
/// and little enough for the rest to fit into the buffers on the way from the client.
const MEGABYTES: [usize; 6] = [4, 5, 4, 5, 4, 5];

struct Upstream {
    process: Child,
    address: SocketAddr,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The upstream's own process: answers each request once its last byte has come.
fn be_upstream() {
    let listener = loopback();
    println!("{}", listener.local_addr().unwrap());
    serve(listener, |mut peer| {
        while let Some(head) = peer.read_head()? {
            let mut body = Vec::new();
            peer.read_body(&head, &mut body)?;
            thread::sleep(Duration::from_millis(20));
            let text = format!("plan of {}, {} bytes", head.header("req-id"), body.len());
            peer.write(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                )
                .as_bytes(),
            )?;
        }
        Ok(())
    });
    thread::sleep(Duration::from_secs(115));
}

fn start_upstream(record: &Record) -> Upstream {
    let program = std::env::current_exe().unwrap();
    let mut process = spawn(Command::new(program).arg("upstream").stdout(Stdio::piped())).unwrap();
    let mut line = String::new();
    let _ = std::io::BufReader::new(process.stdout.take().unwrap()).read_line(&mut line);
    match line.trim().parse() {
        Ok(address) => Upstream { process, address },
        Err(_) => record.end(COULD_NOT_RUN, "an upstream did not start"),
    }
}

#[derive(Default)]
struct Result {
    taken: bool,
    answered_in_time: bool,
    lost: bool,
}

/// Sends one request on a connection of its own and waits for its answer.
fn call(address: SocketAddr, id: &str, tenant: &str, length: usize, record: &Record) -> Result {
    let Ok(mut peer) = Peer::connect(address) else {
        return Result::default();
    };
    // A request whose last byte can't be written is not taken, and is given up.
    let _ = peer.stream.set_write_timeout(Some(Duration::from_secs(3)));
    let request = [
        request_head(id, tenant, DEADLINE_MS, length).into_bytes(),
        vec![b'x'; length],
    ]
    .concat();
    if let Err(error) = peer.write(&request) {
        record.line(format!(
            "{id}: {length} bytes, not written whole ({error}): not taken"
        ));
        return Result::default();
    }
    let written = Instant::now();
    record.line(format!("{id}: {length} bytes, last byte written"));
    let _ = peer.stream.set_read_timeout(Some(PATIENCE));
    let answer = peer.read_head();
    let after = written.elapsed();
    let (text, is_answer) = match answer {
        Ok(Some(head)) => (format!("answer {}", head.status()), true),
        Ok(None) => ("connection ended without an answer".to_string(), false),
        Err(error) => (format!("no answer ({error})"), false),
    };
    let lost = !is_answer || after > LOST_AFTER;
    record.line(format!(
        "{id}: {text} {:.0} ms after its last byte, time {DEADLINE_MS} ms{}",
        after.as_secs_f64() * 1000.0,
        if lost { ": LOST" } else { "" }
    ));
    Result {
        taken: true,
        answered_in_time: !lost,
        lost,
    }
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("upstream") {
        return be_upstream();
    }
    let record = Record::create();
    let upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| start_upstream(&record)).collect();
    let servers: Vec<String> = upstreams
        .iter()
        .enumerate()
        .map(|(number, upstream)| server_entry(&format!("s-{number}"), upstream.address, "active"))
        .collect();
    let balancer = Balancer::start(&servers, &settings(6000, 2500), &record);
    // Some small requests first, so that the balancer has served at each upstream.
    for number in 0..12 {
        call(
            balancer.address,
            &format!("a{number:015}"),
            TENANTS[number % 3],
            200,
            &record,
        );
    }
    if trouble() {
        signal(&upstreams[0].process, SIGSTOP);
        record.line("upstream s-0 hangs");
    }
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let calls: Vec<_> = MEGABYTES
            .iter()
            .enumerate()
            .map(|(number, megabytes)| {
                let (address, record) = (balancer.address, record.clone());
                let id = format!("b{round:07}{number:08}");
                let length = megabytes << 20;
                thread::spawn(move || call(address, &id, TENANTS[number % 3], length, &record))
            })
            .collect();
        results.extend(calls.into_iter().map(|call| call.join().unwrap()));
        if results.iter().any(|result| result.lost) {
            break;
        }
    }
    drop(balancer);
    drop(upstreams);
    let count = |is: fn(&Result) -> bool| results.iter().filter(|result| is(result)).count();
    let (taken, in_time, lost) = (
        count(|result| result.taken),
        count(|result| result.answered_in_time),
        count(|result| result.lost),
    );
    let summary = format!("{} large requests, {taken} taken, {in_time} answered by their time plus 0.5 s, {lost} lost", results.len());
    if taken == 0 {
        record.end(COULD_NOT_RUN, summary);
    }
    record.end(if lost > 0 { BROKEN } else { HELD }, summary);
}
