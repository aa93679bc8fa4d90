//! A stand-in for the discovery service.
use super::{read_message, Message, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// Discovery that gives one prepared response to each call, in order. A call for which none is
/// prepared waits until one is.
pub struct StubDiscovery {
    pub address: SocketAddr,
    pub calls: Receiver<Message>,
    responses: Sender<String>,
}

impl StubDiscovery {
    /// Listens, and serves one connection at a time.
    pub fn start() -> StubDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        let (responses, prepared) = channel::<String>();
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(call) = read_message(&mut stream) {
                    let _ = sender.send(call);
                    let Ok(response) = prepared.recv() else {
                        return;
                    };
                    let _ = stream.get_mut().write_all(response.as_bytes());
                    if response.contains("Connection: close") {
                        break;
                    }
                }
            }
        });
        StubDiscovery {
            address,
            calls,
            responses,
        }
    }

    /// Prepares a response with this body.
    pub fn respond(&self, body: &str) {
        self.respond_with_headers("", body);
    }

    /// Prepares a response with further headers, each with its line end, and this body.
    pub fn respond_with_headers(&self, headers: &str, body: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.responses.send(text).expect("discovery runs");
    }

    /// Prepares a response with status 503.
    pub fn respond_unavailable(&self) {
        let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        self.responses.send(text.into()).expect("discovery runs");
    }

    /// The path of the next call.
    pub fn next_call_path(&self) -> String {
        let call = self
            .calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a call to discovery");
        call.path().into()
    }
}
