//! Reads frames from standard input, and decodes their headers and records.
use crate::wire::error::{HeaderError, WireError};
use crate::wire::field::FieldReader;
use crate::wire::record::{decode_record, Record, EVENT_BYTES};
use balancer_core::Millis;
use std::io::Read;

/// Largest frame that is accepted, in bytes. A larger stated size is an error; nothing is allocated for it.
pub(super) const MAX_FRAME_BYTES: usize = 256 << 20;
/// Size of a batch's header, in bytes.
pub(super) const HEADER_BYTES: usize = 20;
/// Size of the first header field, in bytes. The field holds the size of the frame.
const SIZE_FIELD_BYTES: usize = 4;
/// Maximum number of bytes that one read requests, so that memory grows with the bytes received and not with the
/// stated size.
const READ_CHUNK_BYTES: usize = 1 << 20;

/// A decoded batch.
#[derive(Debug)]
pub struct Batch {
    /// Time of the batch by the simulator's clock, in milliseconds.
    pub now: Millis,
    /// Number of the batch; the reply repeats it.
    pub number: u32,
    /// The records in order.
    pub records: Vec<Record>,
    /// Data of variable size, to which records refer by position.
    pub tail: Vec<u8>,
}

/// Reads frame number `frame`, counted from zero. `None` if the input ends before its first byte.
pub fn read_frame(input: &mut impl Read, frame: u64) -> Result<Option<Vec<u8>>, WireError> {
    let mut bytes = Vec::new();
    read_to_length(input, &mut bytes, SIZE_FIELD_BYTES, frame)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let size = FieldReader::new(&bytes).u32() as usize;
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&size) {
        let source = HeaderError::SizeOutOfRange(size);
        return Err(WireError::Header { frame, source });
    }
    read_to_length(input, &mut bytes, size, frame)?;
    Ok(Some(bytes))
}

/// Reads until `bytes` has `wanted` bytes. It stays empty if it was empty and the input ends before the first byte.
fn read_to_length(
    input: &mut impl Read,
    bytes: &mut Vec<u8>,
    wanted: usize,
    frame: u64,
) -> Result<(), WireError> {
    while bytes.len() < wanted {
        let limit = (wanted - bytes.len()).min(READ_CHUNK_BYTES) as u64;
        let read = input
            .take(limit)
            .read_to_end(bytes)
            .map_err(WireError::Io)?;
        if read > 0 {
            continue;
        }
        if bytes.is_empty() {
            return Ok(());
        }
        return Err(WireError::Truncated {
            frame,
            wanted,
            got: bytes.len(),
        });
    }
    Ok(())
}

/// Decodes the bytes of frame number `frame`, counted from zero.
pub fn decode_batch(bytes: &[u8], frame: u64) -> Result<Batch, WireError> {
    let header = Header::decode(bytes).map_err(|source| WireError::Header { frame, source })?;
    let (events, tail) = bytes[HEADER_BYTES..].split_at(header.record_count * EVENT_BYTES);
    let mut records = Vec::with_capacity(header.record_count);
    for (record, event) in events.chunks_exact(EVENT_BYTES).enumerate() {
        let decoded = decode_record(event, tail).map_err(|source| WireError::Record {
            frame,
            record,
            source,
        })?;
        records.push(decoded);
    }
    Ok(Batch {
        now: header.now,
        number: header.number,
        records,
        tail: tail.to_vec(),
    })
}

/// The header of a batch. Its size and record count are consistent with the frame's size.
struct Header {
    record_count: usize,
    now: Millis,
    number: u32,
}

impl Header {
    fn decode(bytes: &[u8]) -> Result<Header, HeaderError> {
        if bytes.len() < HEADER_BYTES {
            return Err(HeaderError::TooShort(bytes.len()));
        }
        let mut fields = FieldReader::new(bytes);
        let stated = fields.u32();
        if stated as usize != bytes.len() {
            let actual = bytes.len();
            return Err(HeaderError::SizeMismatch { stated, actual });
        }
        let count = fields.u32() as usize;
        let body = bytes.len() - HEADER_BYTES;
        if count > body / EVENT_BYTES {
            return Err(HeaderError::TooManyRecords { count, bytes: body });
        }
        let now = fields.f64();
        if !now.is_finite() {
            return Err(HeaderError::TimeNotFinite(now));
        }
        Ok(Header {
            record_count: count,
            now,
            number: fields.u32(),
        })
    }
}
