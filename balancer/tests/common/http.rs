//! HTTP messages as tests read and write them.
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response as it was read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status line")
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).expect("a path")
    }
}

/// Reads one message with a stated length or without a body; `None` if the connection ends first.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start_line = String::new();
    if stream.read_line(&mut start_line).unwrap_or(0) == 0 {
        return None;
    }
    let mut message = Message {
        start_line: start_line.trim_end().into(),
        headers: read_headers(stream)?,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_headers(stream: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some(headers);
        };
        headers.push((name.into(), value.trim().into()));
    }
}

/// An idempotent request. `deadline` is the value of its Req-Deadline header: `1500m` is 1.5 s.
pub fn get_request(id: &str, deadline: &str) -> String {
    format!(
        "GET /api/x?y=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\n\r\n"
    )
}

/// A request that must not run twice. `deadline` is as in [`get_request`].
pub fn payment_request(id: &str, deadline: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: pay\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// A request for the balancer's readiness.
pub const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
