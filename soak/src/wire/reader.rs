//! Reads messages from a connection.
use super::message::Message;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Longest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Size of a read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Why a message could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection between two messages.
    #[error("the connection was closed")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("the connection was closed within a message")]
    Truncated,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The bytes are not a valid HTTP/1.1 message.
    #[error("malformed HTTP/1.1 message")]
    Malformed,
}

/// Reads messages from one direction of a connection.
pub struct MessageReader {
    stream: OwnedReadHalf,
    buffer: Vec<u8>,
    /// When the first byte of the message in the buffer arrived.
    first_byte_at: Option<Instant>,
}

impl MessageReader {
    /// Creates a reader for a connection from which nothing has been read.
    pub fn new(stream: OwnedReadHalf) -> MessageReader {
        MessageReader {
            stream,
            buffer: Vec::new(),
            first_byte_at: None,
        }
    }

    /// Joins both directions of the connection again. Returns none if `writer` belongs to another connection.
    pub fn reunite(self, writer: OwnedWriteHalf) -> Option<TcpStream> {
        self.stream.reunite(writer).ok()
    }

    /// Closes the connection so that the peer sees a reset.
    pub fn reset_connection(self, writer: OwnedWriteHalf) {
        if let Some(stream) = self.reunite(writer) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Waits until the peer has closed or reset the connection. Discards what the peer still sends.
    pub async fn wait_for_close(&mut self) {
        while self.fill().await.is_ok() {
            self.buffer.clear();
        }
    }

    /// Waits for the first byte of the next message and returns when it arrived.
    pub async fn wait_for_first_byte(&mut self) -> Result<Instant, ReadError> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        Ok(*self.first_byte_at.get_or_insert_with(Instant::now))
    }

    /// Reads the next message. The body of a response without a length ends with the connection.
    pub async fn read_message(&mut self) -> Result<Message, ReadError> {
        let first_byte_at = self.wait_for_first_byte().await?;
        let head = self.read_head().await?;
        let mut message = parse_head(&head, first_byte_at)?;
        message.body = self.read_body(&message).await?;
        self.first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        Ok(message)
    }

    async fn read_head(&mut self) -> Result<String, ReadError> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed);
            }
            self.fill_within_message().await?;
        };
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        String::from_utf8(head).map_err(|_| ReadError::Malformed)
    }

    async fn read_body(&mut self, message: &Message) -> Result<Vec<u8>, ReadError> {
        if message.is_chunked() {
            return self.read_chunks().await;
        }
        let length = match message.header("content-length") {
            Some(length) => length.parse().map_err(|_| ReadError::Malformed)?,
            None if message.ends_with_connection() => return self.read_to_close().await,
            None => 0,
        };
        while self.buffer.len() < length {
            self.fill_within_message().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size().await?;
            while self.buffer.len() < size + 2 {
                self.fill_within_message().await?;
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn read_chunk_size(&mut self) -> Result<usize, ReadError> {
        let line_end = loop {
            match find(&self.buffer, b"\r\n") {
                Some(end) => break end,
                None => self.fill_within_message().await?,
            }
        };
        let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
        let digits = std::str::from_utf8(&line[..line_end]).map_err(|_| ReadError::Malformed)?;
        usize::from_str_radix(digits.trim(), 16).map_err(|_| ReadError::Malformed)
    }

    async fn read_to_close(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            match self.fill().await {
                Ok(()) => {}
                Err(ReadError::Closed) => return Ok(std::mem::take(&mut self.buffer)),
                Err(error) => return Err(error),
            }
        }
    }

    async fn fill_within_message(&mut self) -> Result<(), ReadError> {
        self.fill().await.map_err(|error| match error {
            ReadError::Closed => ReadError::Truncated,
            other => other,
        })
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        let mut bytes = [0; READ_BYTES];
        let count = self.stream.read(&mut bytes).await?;
        if count == 0 {
            return Err(ReadError::Closed);
        }
        self.first_byte_at.get_or_insert_with(Instant::now);
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }
}

/// Parses the request or status line and the headers. The body is read later.
fn parse_head(head: &str, first_byte_at: Instant) -> Result<Message, ReadError> {
    let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
    let start_line = lines.next().ok_or(ReadError::Malformed)?.to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Ok(Message {
        start_line,
        headers,
        body: Vec::new(),
        first_byte_at,
    })
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
