//! Request and response bodies, buffered or streamed.

pub(crate) mod payload;
