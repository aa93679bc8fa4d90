//! Bodies as they are framed on a connection.
use super::test_bytes;

/// How a sender states where a body ends.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    Length,
    Chunked,
}

/// All framings.
pub const FRAMINGS: [Framing; 2] = [Framing::Length, Framing::Chunked];

/// A body on the wire, and the header that states its framing.
pub struct WireBody {
    pub header: String,
    pub bytes: Vec<u8>,
}

impl WireBody {
    /// The first `length` of the [`test_bytes`]. Each chunk has `chunk_length` bytes.
    pub fn new(framing: Framing, length: usize, chunk_length: usize) -> WireBody {
        let body = test_bytes(length);
        match framing {
            Framing::Length => WireBody {
                header: format!("Content-Length: {length}"),
                bytes: body,
            },
            Framing::Chunked => WireBody {
                header: "Transfer-Encoding: chunked".to_string(),
                bytes: chunked(&body, chunk_length),
            },
        }
    }

    /// The head of a response with this body.
    pub fn response_head(&self) -> String {
        format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n", self.header)
    }
}

fn chunked(body: &[u8], chunk_length: usize) -> Vec<u8> {
    let mut chunks: Vec<u8> = body.chunks(chunk_length).flat_map(chunk).collect();
    chunks.extend(b"0\r\n\r\n");
    chunks
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", data.len());
    [size.as_bytes(), data, b"\r\n"].concat()
}

/// The data of all complete chunks.
pub fn data_of_chunks(mut chunks: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while let Some(end) = chunks.windows(2).position(|bytes| bytes == b"\r\n") {
        let size = std::str::from_utf8(&chunks[..end]).expect("the size of a chunk");
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        let Some(complete) = chunks.get(end + 2..end + 2 + size) else {
            break;
        };
        data.extend_from_slice(complete);
        chunks = chunks.get(end + 4 + size..).unwrap_or_default();
    }
    data
}
