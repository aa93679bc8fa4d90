//! The simulator's binary protocol: each batch of events that is received is answered by one reply with actions.
//!
//! Numbers are big-endian and fields have no padding. A frame consists of a header, records of a fixed size, and a
//! tail with all data of variable size. Each record starts with a code; unused bytes at its end are zero.
//!
//! - [`frame`] reads frames from standard input and decodes them into batches;
//! - [`record`] decodes the event records of a batch;
//! - [`endpoints`] decodes endpoint lists;
//! - [`reply`] encodes action records;
//! - [`field`] reads and writes single fields;
//! - [`error`] defines the errors of reading and decoding.
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
