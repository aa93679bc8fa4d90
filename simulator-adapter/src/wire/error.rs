//! Why input is rejected. Each text names the frame and the record at fault.
use crate::wire::frame::{HEADER_BYTES, MAX_FRAME_BYTES};
use std::io;
use thiserror::Error;

/// Why a frame could not be read. Frames and records are counted from zero.
#[derive(Debug, Error)]
pub enum WireError {
    /// Standard input failed.
    #[error("reading standard input: {0}")]
    Io(#[source] io::Error),
    /// The input ended inside a frame.
    #[error("frame {frame}: input ended after {got} of {wanted} bytes")]
    Truncated {
        /// The frame.
        frame: u64,
        /// Bytes that were expected from the frame's start.
        wanted: usize,
        /// Bytes that arrived.
        got: usize,
    },
    /// A frame's header cannot be right.
    #[error("frame {frame}: header: {source}")]
    Header {
        /// The frame.
        frame: u64,
        /// The cause.
        source: HeaderError,
    },
    /// A record cannot be right.
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
    /// The stated size is impossible.
    #[error("stated size of {0} bytes is outside {HEADER_BYTES} to {MAX_FRAME_BYTES}")]
    SizeOutOfRange(usize),
    /// The frame is smaller than a header.
    #[error("{0} bytes are too few for a frame")]
    TooShort(usize),
    /// The stated size is not the frame's size.
    #[error("stated size {stated} is not the {actual} bytes at hand")]
    SizeMismatch {
        /// Bytes by the header.
        stated: u32,
        /// Bytes in the frame.
        actual: usize,
    },
    /// The frame is too small for its records.
    #[error("{count} records do not fit into {bytes} bytes")]
    TooManyRecords {
        /// Records by the header.
        count: usize,
        /// Bytes behind the header.
        bytes: usize,
    },
    /// The clock is not a finite number.
    #[error("the clock reads {0}")]
    ClockNotFinite(f64),
}

/// Why a record is rejected.
#[derive(Debug, Error)]
pub enum RecordError {
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// No endpoint has this availability.
    #[error("unknown availability {0}")]
    UnknownAvailability(u8),
    /// A number is infinite or not a number.
    #[error("{field} reads {value}")]
    NotFinite {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A field points beyond the frame's tail.
    #[error("{field}: bytes {start} to {end} lie outside the tail of {tail}")]
    OutsideTail {
        /// The field.
        field: &'static str,
        /// First byte, counted from the tail's start.
        start: u32,
        /// The byte behind the last one.
        end: u64,
        /// Size of the tail in bytes.
        tail: usize,
    },
}
