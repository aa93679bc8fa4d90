//! Request and response bodies, buffered or streamed.

pub(crate) mod body_buffer;
pub(crate) mod body_error;
pub(crate) mod limits;
pub(crate) mod request_body;
pub(crate) mod request_end;
pub(crate) mod response_body;
mod send_progress;
pub(crate) mod time_limited_body;
pub(crate) mod upload;
