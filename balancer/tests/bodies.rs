//! Large bodies, slow ones, and the forms that a message may have.
mod common;

use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const LARGE: usize = 3 << 20;

/// No piece of it is like another.
fn pattern(length: usize) -> Vec<u8> {
    (0..length)
        .map(|i| (i ^ (i >> 8) ^ (i >> 16)) as u8)
        .collect()
}

/// A request of which the body is still to be sent.
fn upload(id: &str, framing: &str) -> String {
    pay(id, "15000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("{framing}\r\n\r\n"),
    )
}

/// An upstream that serves one connection after another by hand.
fn by_hand(serve: impl Fn(&mut BufReader<TcpStream>) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            serve(&mut BufReader::new(stream));
        }
    });
    addr
}

/// Reads a head up to its empty line.
fn head(from: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && from.read_line(&mut head).expect("a head") > 0 {}
    head
}

fn exactly(from: &mut BufReader<TcpStream>, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).expect("so much");
    bytes
}

fn send(to: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // Whoever has gone shows in what is read next.
    let _ = to.get_mut().write_all(bytes);
}

/// The rest of a chunked body.
fn chunks(from: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        from.read_line(&mut size).expect("a size");
        let size = usize::from_str_radix(size.trim_end(), 16).expect("a size");
        body.extend(exactly(from, size));
        exactly(from, 2);
        if size == 0 {
            return body;
        }
    }
}

fn connect(node: &Node) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(node.addr).expect("connects");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    BufReader::new(stream)
}

/// Both ways, with and without a stated length; the connections go on afterwards where the form lets them.
#[test]
fn large_bodies_pass_unchanged_in_every_form() {
    let body = pattern(LARGE);
    let given = body.clone();
    let upstream = by_hand(move |stream| loop {
        let head = head(stream);
        if head.is_empty() {
            return;
        }
        let chunked = head.to_ascii_lowercase().contains("chunked");
        let came = if chunked {
            chunks(stream)
        } else {
            exactly(stream, LARGE)
        };
        assert_eq!(came, given);
        if head.contains("r0") {
            send(
                stream,
                format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes(),
            );
            send(stream, &came);
        } else if head.contains("r1") {
            send(
                stream,
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            );
            send(stream, format!("{LARGE:x};name=value\r\n").as_bytes());
            send(stream, &came);
            send(stream, b"\r\n0\r\nTrailer: x\r\n\r\n");
        } else {
            send(stream, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
            send(stream, &came);
            return;
        }
    });
    let node = Node::with(&[upstream]);
    let mut client = connect(&node);
    send(
        &mut client,
        upload("r0", &format!("Content-Length: {LARGE}")).as_bytes(),
    );
    send(&mut client, &body);
    assert!(head(&mut client)
        .to_ascii_lowercase()
        .contains(&format!("content-length: {LARGE}")));
    assert!(exactly(&mut client, LARGE) == body);
    // The same connection; the body is sent only once the balancer asks for it.
    let waits = format!("Expect: 100-continue\r\nContent-Length: {LARGE}");
    send(&mut client, upload("r1", &waits).as_bytes());
    assert!(head(&mut client).starts_with("HTTP/1.1 100 "));
    send(&mut client, &body);
    assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
    assert!(chunks(&mut client) == body);
    send(
        &mut client,
        upload("r2", "Transfer-Encoding: chunked").as_bytes(),
    );
    let (one, two) = body.split_at(100_000);
    for piece in [one, two] {
        send(&mut client, format!("{:x};a=b\r\n", piece.len()).as_bytes());
        send(&mut client, piece);
        send(&mut client, b"\r\n");
    }
    send(&mut client, b"0\r\nTrailer: x\r\n\r\n");
    assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
    assert!(chunks(&mut client) == body);
}

#[test]
fn an_answer_that_says_it_ends_with_its_connection_does() {
    let upstream = by_hand(|stream| {
        head(stream);
        send(stream, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    });
    let node = Node::with(&[upstream]);
    let mut client = node.client();
    for id in ["1", "2"] {
        assert_eq!(client.call(&get(id, "15000m")).body, b"whole");
    }
}

/// A caller of the old form gets no chunks: the answer ends with its connection. One that wants only a head has asked
/// for nothing that is served here.
#[test]
fn a_large_answer_without_a_length_ends_with_the_connection_of_an_old_caller() {
    let upstream = by_hand(|stream| {
        head(stream);
        send(
            stream,
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{LARGE:x}\r\n")
                .as_bytes(),
        );
        send(stream, &pattern(LARGE));
        send(stream, b"\r\n0\r\n\r\n");
    });
    let node = Node::with(&[upstream]);
    let mut client = connect(&node);
    send(
        &mut client,
        get("r1", "15000m")
            .replace("HTTP/1.1", "HTTP/1.0")
            .as_bytes(),
    );
    let answer = head(&mut client).to_ascii_lowercase();
    assert!(
        answer.contains(" 200 ") && !answer.contains("chunked"),
        "{answer}"
    );
    let mut body = Vec::new();
    client.read_to_end(&mut body).expect("an end");
    assert!(body == pattern(LARGE));
    let mut client = connect(&node);
    send(
        &mut client,
        get("r2", "15000m").replace("GET ", "HEAD ").as_bytes(),
    );
    assert!(head(&mut client).starts_with("HTTP/1.1 400 "));
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).expect("an end");
    assert!(rest.is_empty(), "a head alone");
}

/// Each side sees the beginning while the end is not yet sent.
#[test]
fn first_bytes_pass_on_at_once_both_ways() {
    let (came, waits) = std::sync::mpsc::channel();
    let (word, held) = std::sync::mpsc::channel::<()>();
    let upstream = by_hand(move |stream| {
        head(stream);
        exactly(stream, 1);
        came.send(()).expect("the test waits");
        exactly(stream, LARGE - 1);
        send(
            stream,
            format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\nx").as_bytes(),
        );
        held.recv().expect("a word");
        send(stream, &vec![b'x'; LARGE - 1]);
    });
    let node = Node::with_door(&[upstream]);
    let mut client = connect(&node);
    send(
        &mut client,
        upload("r1", &format!("Content-Length: {LARGE}")).as_bytes(),
    );
    send(&mut client, b"y");
    waits
        .recv_timeout(PATIENCE)
        .expect("the first byte at the upstream");
    let figures = node.asks(b"METRICS\n");
    for line in ["node_tries 0", "node_active 0"] {
        assert!(
            figures.lines().any(|l| l == line),
            "it has not come whole: {figures}"
        );
    }
    send(&mut client, &vec![b'y'; LARGE - 1]);
    assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
    assert_eq!(exactly(&mut client, 1), b"x");
    let figures = node.asks(b"METRICS\n");
    for line in ["node_tries 1", "node_active 1", "node_ok{kind=\"pay\"} 0"] {
        assert!(figures.lines().any(|l| l == line), "no {line} in {figures}");
    }
    word.send(()).expect("the upstream waits");
    assert_eq!(exactly(&mut client, LARGE - 1).len(), LARGE - 1);
    node.comes_to("node_ok{kind=\"pay\"} 1");
}

/// Two dozen answers that nobody reads, and as many requests whose upstreams do not read: they wait where they are.
#[test]
fn what_is_not_taken_does_not_fill_memory_and_holds_nobody_up() {
    const MANY: usize = 24;
    const HUGE: usize = 32 << 20;
    let upstream = Upstream::start(|request| match request.header("req-id") {
        Some("small") => ok("small"),
        _ => Then::Answer(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {HUGE}\r\n\r\n{}",
            "x".repeat(HUGE)
        )),
    });
    let node = Node::with(&[upstream.addr]);
    let stalled: Vec<_> = (0..MANY)
        .map(|id| {
            let mut client = connect(&node);
            send(&mut client, get(&id.to_string(), "15000m").as_bytes());
            assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
            client
        })
        .collect();
    let mut quick = node.client();
    for _ in 0..100 {
        assert_eq!(quick.call(&get("small", "15000m")).body, b"small");
    }
    let resident = node.resident_kb();
    assert!(
        resident < 24 << 10,
        "{MANY} answers of {HUGE} bytes take {resident} kB"
    );
    drop(stalled);
}

/// The caller can tell: its connection ends before the length that was stated, or before the last chunk.
#[test]
fn an_answer_that_breaks_off_is_seen_to_and_counts_as_an_error() {
    let upstream = by_hand(|stream| {
        let form = match head(stream) {
            head if head.contains("r1") => {
                "Transfer-Encoding: chunked\r\n\r\n20000\r\n".to_string()
            }
            _ => format!("Content-Length: {LARGE}\r\n\r\n"),
        };
        send(
            stream,
            format!("HTTP/1.1 200 OK\r\n{form}{}", "x".repeat(100_000)).as_bytes(),
        );
    });
    let node = Node::with_door(&[upstream]);
    for id in ["r0", "r1"] {
        let mut client = connect(&node);
        send(&mut client, get(id, "15000m").as_bytes());
        assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
        let mut rest = Vec::new();
        // A reset tells as well.
        let _ = client.read_to_end(&mut rest);
        assert!(!rest.ends_with(b"0\r\n\r\n") && rest.len() < LARGE);
    }
    node.comes_to("node_errors{kind=\"read\"} 2");
    node.comes_to("node_active 0");
}

/// Nothing of it has been used up where no connection came about, so that it goes to another.
#[test]
fn a_large_request_is_sent_on_where_the_first_upstream_refuses_connections() {
    let body = pattern(LARGE);
    let given = body.clone();
    let upstream = by_hand(move |stream| loop {
        if head(stream).is_empty() {
            return;
        }
        assert!(exactly(stream, LARGE) == given);
        send(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    let node = Node::with(&[refusing(), upstream]);
    let mut client = connect(&node);
    for id in 0..10 {
        send(
            &mut client,
            upload(&id.to_string(), &format!("Content-Length: {LARGE}")).as_bytes(),
        );
        send(&mut client, &body);
        assert!(head(&mut client).starts_with("HTTP/1.1 200 "));
    }
}

/// An upstream that turns a request away in its middle: more of it was used up than is held, so that it cannot go to
/// another; it has not run, and its caller is told so at once, while it still sends.
#[test]
fn a_large_request_that_is_turned_away_half_way_is_refused() {
    let upstream = by_hand(|stream| {
        if head(stream).is_empty() {
            return;
        }
        exactly(stream, LARGE);
        send(
            stream,
            b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
        );
        head(stream);
    });
    let node = Node::with(&[upstream, upstream]);
    let mut client = connect(&node);
    send(
        &mut client,
        upload("r1", &format!("Content-Length: {}", 2 * LARGE)).as_bytes(),
    );
    send(&mut client, &vec![b'x'; LARGE + 1000]);
    assert!(head(&mut client).starts_with("HTTP/1.1 503 "));
}

#[test]
fn a_caller_that_leaves_in_the_middle_leaves_nothing_behind() {
    let (ended, waits) = std::sync::mpsc::channel();
    let (begun, begins) = std::sync::mpsc::channel();
    let upstream = by_hand(move |stream| {
        if !head(stream).is_empty() {
            begun.send(()).expect("the test waits");
            let whole = stream.read_exact(&mut vec![0; LARGE]).is_ok();
            ended.send(whole).expect("the test waits");
        }
    });
    let node = Node::with_door(&[upstream]);
    let mut client = connect(&node);
    send(
        &mut client,
        upload("r1", &format!("Content-Length: {LARGE}")).as_bytes(),
    );
    send(&mut client, &vec![b'x'; 100_000]);
    // One that left before it was sent on leaves nothing to end.
    begins.recv_timeout(PATIENCE).expect("it is sent on");
    drop(client);
    assert!(!waits.recv_timeout(PATIENCE).expect("the connection ends"));
    node.comes_to("node_active 0");
    assert!(node.asks(b"METRICS\n").contains("node_tries 0\n"));
}

/// Its length is not stated: it is counted while it comes.
#[test]
fn a_body_without_end_is_cut_off() {
    let upstream = by_hand(|stream| {
        let _ = std::io::copy(stream, &mut std::io::sink());
    });
    let node = Node::with(&[upstream]);
    let mut client = connect(&node);
    send(
        &mut client,
        upload("r1", "Transfer-Encoding: chunked").as_bytes(),
    );
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(1 << 20));
    for _ in 0..33 {
        send(&mut client, chunk.as_bytes());
    }
    assert!(head(&mut client).starts_with("HTTP/1.1 413 "));
}

/// Guards against answers that begin and never end: their callers were owed the rest for 10 s, past their time and past
/// the end of the program.
#[test]
fn a_small_answer_that_never_ends_fails_in_its_time() {
    for (head, begun) in [
        ("Content-Length: 9\r\n\r\nhalf", false),
        ("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true),
    ] {
        let (_go, word) = channel();
        let word = Mutex::new(Some(word));
        let upstream = Upstream::start(move |_| match word.lock().expect("no panic").take() {
            Some(word) => Then::Begin(format!("HTTP/1.1 200 OK\r\n{head}"), word, String::new()),
            None => ok("x"),
        });
        let node = Node::with(&[upstream.addr]);
        let started = Instant::now();
        let request = pay("r1", "1500m").replacen("Host:", "Connection: close\r\nHost:", 1);
        let raw = asks(node.addr, request.as_bytes());
        assert!(
            started.elapsed() < Duration::from_secs(6),
            "{head:?}: {:?}",
            started.elapsed()
        );
        let wanted = if begun {
            "HTTP/1.1 200 OK"
        } else {
            "HTTP/1.1 502 Bad Gateway"
        };
        assert!(
            raw.starts_with(wanted) && !raw.ends_with("\r\n0\r\n\r\n"),
            "{raw:?}"
        );
    }
}
