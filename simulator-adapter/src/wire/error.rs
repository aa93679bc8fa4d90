//! Errors of reading and decoding frames. Each text names the invalid frame and record.
use crate::wire::frame::{HEADER_BYTES, MAX_FRAME_BYTES};
use std::io;
use thiserror::Error;

/// Why a frame could not be read or decoded. Frames and records are counted from zero.
#[derive(Debug, Error)]
pub enum WireError {
    /// Reading standard input failed.
    #[error("cannot read standard input: {0}")]
    Io(#[source] io::Error),
    /// The input ended inside a frame.
    #[error("frame {frame}: input ended after {got} of {wanted} bytes")]
    Truncated {
        /// The frame.
        frame: u64,
        /// Expected number of bytes, counted from the frame's start.
        wanted: usize,
        /// Number of bytes that were received.
        got: usize,
    },
    /// A frame's header is invalid.
    #[error("frame {frame}: header: {source}")]
    Header {
        /// The frame.
        frame: u64,
        /// The cause.
        source: HeaderError,
    },
    /// A record is invalid.
    #[error("frame {frame}, record {record}: {source}")]
    Record {
        /// The frame.
        frame: u64,
        /// The record.
        record: usize,
        /// The cause.
        source: RecordError,
    },
}

/// Why a frame's header is rejected.
#[derive(Debug, Error)]
pub enum HeaderError {
    /// The size that the header states is too small or too large.
    #[error("stated size of {0} bytes is not between {HEADER_BYTES} and {MAX_FRAME_BYTES}")]
    SizeOutOfRange(usize),
    /// The frame is smaller than a header.
    #[error("a frame of {0} bytes is shorter than a header, which has {HEADER_BYTES} bytes")]
    TooShort(usize),
    /// The size that the header states is not the frame's size.
    #[error("stated size is {stated} bytes, but the frame has {actual} bytes")]
    SizeMismatch {
        /// Size in bytes that the header states.
        stated: u32,
        /// Size of the frame in bytes.
        actual: usize,
    },
    /// The frame is too small for its records.
    #[error("{count} records do not fit into {bytes} bytes")]
    TooManyRecords {
        /// Number of records that the header states.
        count: usize,
        /// Number of bytes after the header.
        bytes: usize,
    },
    /// The time of the batch is infinite or not a number.
    #[error("the time of the batch is not a finite number: {0}")]
    TimeNotFinite(f64),
}

/// Why a record is rejected.
#[derive(Debug, Error)]
pub enum RecordError {
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// No availability has this code.
    #[error("unknown endpoint availability code {0}")]
    UnknownAvailability(u8),
    /// A number is infinite or not a number.
    #[error("{field} is not a finite number: {value}")]
    NotFinite {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A record refers to bytes beyond the end of the frame's tail.
    #[error("{field}: bytes {start}..{end} lie outside the tail of {tail} bytes")]
    OutsideTail {
        /// What the record refers to.
        field: &'static str,
        /// Position of the first byte, counted from the tail's start.
        start: u32,
        /// Position after the last byte.
        end: u64,
        /// Size of the tail in bytes.
        tail: usize,
    },
}
