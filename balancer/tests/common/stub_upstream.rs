//! A stand-in for an upstream.
use super::{read_message, Message, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a stub upstream does with a request.
pub enum Reply {
    /// Writes this text and keeps the connection.
    Respond(String),
    /// Writes this text and closes the connection.
    RespondAndClose(String),
    /// Closes the connection without a response.
    Close,
    /// Writes nothing until the other side closes the connection.
    NeverRespond,
    /// Waits for the signal, then writes this text.
    RespondAfterSignal(Receiver<()>, String),
    /// Writes the first text, waits for the signal, then writes the second text.
    RespondInTwoParts(String, Receiver<()>, String),
}

/// A response with status 200 and this body.
pub fn ok_response(body: &str) -> Reply {
    Reply::Respond(ok_text(body))
}

/// The text of a response with status 200 and this body.
pub fn ok_text(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A response with this status line and without a body.
pub fn empty_response(status: &str) -> Reply {
    Reply::Respond(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"))
}

/// An upstream that answers its first request with `body` after the signal, and all others with
/// `other`.
pub fn hold_first_request(
    body: &str,
    other: &'static str,
) -> (
    Sender<()>,
    impl Fn(&Message) -> Reply + Send + Sync + 'static,
) {
    let (signal, awaited) = channel();
    let awaited = Mutex::new(Some(awaited));
    let first = ok_text(body);
    let reply = move |_: &Message| match awaited
        .lock()
        .expect("no thread panicked while it held the lock")
        .take()
    {
        Some(awaited) => Reply::RespondAfterSignal(awaited, first.clone()),
        None => ok_response(other),
    };
    (signal, reply)
}

/// What happened at a stub upstream.
#[derive(Debug)]
pub enum UpstreamEvent {
    Request(Message),
    /// Either side has closed a connection.
    ConnectionClosed,
}

/// An upstream whose replies a function chooses.
pub struct StubUpstream {
    pub address: SocketAddr,
    pub events: Receiver<UpstreamEvent>,
    pub connection_count: Arc<AtomicUsize>,
}

impl StubUpstream {
    /// Listens, and replies to each request with what `reply` returns.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> StubUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        let (sender, events) = channel();
        let connection_count = Arc::new(AtomicUsize::new(0));
        let count = connection_count.clone();
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let reply = reply.clone();
                let sender = sender.clone();
                thread::spawn(move || serve(stream, &*reply, &sender));
            }
        });
        StubUpstream {
            address,
            events,
            connection_count,
        }
    }

    /// The next request.
    pub fn next_request(&self) -> Message {
        loop {
            match self
                .events
                .recv_timeout(TEST_TIMEOUT)
                .expect("a request at the upstream")
            {
                UpstreamEvent::Request(request) => return request,
                UpstreamEvent::ConnectionClosed => {}
            }
        }
    }

    /// Waits until a connection has been closed.
    pub fn wait_for_closed_connection(&self) {
        while !matches!(
            self.events
                .recv_timeout(TEST_TIMEOUT)
                .expect("a closed connection"),
            UpstreamEvent::ConnectionClosed
        ) {}
    }

    /// The number of requests that arrived and that no test has read. Removes their events.
    pub fn further_request_count(&self) -> usize {
        self.events
            .try_iter()
            .filter(|event| matches!(event, UpstreamEvent::Request(_)))
            .count()
    }
}

fn serve(stream: TcpStream, reply: &dyn Fn(&Message) -> Reply, events: &Sender<UpstreamEvent>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_message(&mut stream) {
        let reply = reply(&request);
        let _ = events.send(UpstreamEvent::Request(request));
        match reply {
            Reply::Respond(text) => write(&mut stream, &text),
            Reply::RespondAndClose(text) => {
                write(&mut stream, &text);
                break;
            }
            Reply::Close => break,
            Reply::NeverRespond => {}
            Reply::RespondInTwoParts(first, signal, second) => {
                write(&mut stream, &first);
                let _ = signal.recv_timeout(TEST_TIMEOUT);
                write(&mut stream, &second);
            }
            Reply::RespondAfterSignal(signal, text) => {
                let _ = signal.recv_timeout(TEST_TIMEOUT);
                write(&mut stream, &text);
            }
        }
    }
    drop(stream);
    let _ = events.send(UpstreamEvent::ConnectionClosed);
}

fn write(stream: &mut BufReader<TcpStream>, text: &str) {
    // The other side may have closed the connection.
    let _ = stream.get_mut().write_all(text.as_bytes());
}
