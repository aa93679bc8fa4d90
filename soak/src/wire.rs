//! Messages of HTTP/1.1 as the stand-ins read them, byte by byte observable: when the first and the last byte came.
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf, ReuniteError};
use tokio::net::TcpStream;
use tokio::time::Instant;

const HEAD_MOST: usize = 64 << 10;
const CHUNK: usize = 8 << 10;

/// A whole message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request or status line.
    pub start: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub first_byte: Instant,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// A span in the form of `Req-Deadline`, in milliseconds.
    pub fn span_ms(&self, name: &str) -> Option<f64> {
        let text = self.header(name)?;
        match text.strip_suffix('u') {
            Some(micros) => micros.parse::<f64>().ok().map(|micros| micros / 1000.0),
            None => text.strip_suffix('m')?.parse().ok(),
        }
    }
}

/// Why a message did not come whole.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side ended between messages.
    #[error("the connection ended")]
    Ended,
    /// The other side ended within a message.
    #[error("the connection ended within a message")]
    CutOff,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The message cannot be read.
    #[error("no message of HTTP/1.1")]
    Unreadable,
}

/// Reads messages from one side of a connection.
pub struct Reader {
    stream: OwnedReadHalf,
    buffer: Vec<u8>,
    first_byte: Option<Instant>,
}

impl Reader {
    /// Nothing has been read yet.
    pub fn new(stream: OwnedReadHalf) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
            first_byte: None,
        }
    }

    /// Both sides of the connection again.
    pub fn reunite(self, write: OwnedWriteHalf) -> Result<TcpStream, ReuniteError> {
        self.stream.reunite(write)
    }

    /// Whether bytes of a further message have come.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until the other side has ended or broken the connection, passing over what it still sends.
    pub async fn ended(&mut self) {
        while matches!(self.fill().await, Ok(())) {
            self.buffer.clear();
        }
    }

    /// Waits for the first byte of the next message.
    pub async fn begun(&mut self) -> Result<Instant, ReadError> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        Ok(*self.first_byte.get_or_insert_with(Instant::now))
    }

    /// The next message. The body of an answer without a length ends with the connection.
    pub async fn message(&mut self) -> Result<Message, ReadError> {
        let first_byte = self.begun().await?;
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            if self.buffer.len() > HEAD_MOST {
                return Err(ReadError::Unreadable);
            }
            self.more().await?;
        };
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        let head = String::from_utf8(head).map_err(|_| ReadError::Unreadable)?;
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let start = lines.next().ok_or(ReadError::Unreadable)?.to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
            first_byte,
        };
        message.body = self.body(&message).await?;
        self.first_byte = (!self.buffer.is_empty()).then(Instant::now);
        Ok(message)
    }

    async fn body(&mut self, message: &Message) -> Result<Vec<u8>, ReadError> {
        if message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
        {
            return self.chunks().await;
        }
        let length = match message.header("content-length") {
            Some(length) => length.parse().map_err(|_| ReadError::Unreadable)?,
            None if message.start.starts_with("HTTP/") && message.status() == Some(200) => {
                return self.until_end().await;
            }
            None => 0,
        };
        while self.buffer.len() < length {
            self.more().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn chunks(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                match find(&self.buffer, b"\r\n") {
                    Some(end) => break end,
                    None => self.more().await?,
                }
            };
            let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
            let size = std::str::from_utf8(&line[..line_end]).ok();
            let size = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok());
            let size = size.ok_or(ReadError::Unreadable)?;
            while self.buffer.len() < size + 2 {
                self.more().await?;
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn until_end(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            match self.fill().await {
                Ok(()) => {}
                Err(ReadError::Ended) => return Ok(std::mem::take(&mut self.buffer)),
                Err(error) => return Err(error),
            }
        }
    }

    async fn more(&mut self) -> Result<(), ReadError> {
        self.fill().await.map_err(|error| match error {
            ReadError::Ended => ReadError::CutOff,
            other => other,
        })
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        let mut bytes = [0; CHUNK];
        let count = self.stream.read(&mut bytes).await?;
        if count == 0 {
            return Err(ReadError::Ended);
        }
        self.first_byte.get_or_insert_with(Instant::now);
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
