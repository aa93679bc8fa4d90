//! The simulator's binary wire: batches of events come in, one reply with actions goes out for each.
//!
//! Numbers are big-endian and fields have no padding. A frame is a header, records of a fixed size, and a tail with
//! everything of variable size. Each record starts with a code; unused bytes at its end are zero.
//!
//! - [`frame`] reads one frame from the pipe and decodes its header;
//! - [`record`] decodes event records;
//! - [`endpoints`] decodes endpoint lists;
//! - [`reply`] encodes action records;
//! - [`field`] reads and writes single fields;
//! - [`error`] lists the reasons for rejecting a frame.
mod endpoints;
mod error;
mod field;
mod frame;
mod record;
mod reply;

pub use endpoints::{endpoint_event, EndpointTable, EndpointUpdateError};
pub use error::WireError;
pub use frame::{decode_batch, read_frame, Batch};
pub use record::Record;
pub use reply::ReplyBuilder;

#[cfg(test)]
mod tests;
