//! HTTP/1.1 messages as the stand-ins read and write them, with the arrival time of each message's first byte.
mod message;
mod reader;
mod writer;

pub use message::Message;
pub use reader::{MessageReader, ReadError};
pub use writer::{format_response, write_in_pieces};
