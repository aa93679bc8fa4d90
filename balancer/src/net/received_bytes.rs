//! Records the bytes of the newest response on a connection, to determine whether further bytes are
//! a duplicate of it.

/// Largest number of bytes that are recorded. The majority of responses are shorter; whether a
/// longer one is repeated is not determined.
pub const MAX_RECORDED_BYTES: usize = 4 << 10;

/// The bytes received since the newest request began.
#[derive(Default)]
pub struct ReceivedBytes {
    bytes: Vec<u8>,
    /// Whether more bytes arrived than are recorded.
    is_truncated: bool,
    /// How many of the recorded bytes had arrived when the response was complete.
    response_length: Option<usize>,
}

impl ReceivedBytes {
    /// Discards the recorded bytes, as a new request begins.
    pub fn begin_request(&mut self) {
        self.bytes.clear();
        self.is_truncated = false;
        self.response_length = None;
    }

    /// Records bytes that were read.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.bytes.len() + bytes.len() > MAX_RECORDED_BYTES {
            self.is_truncated = true;
        }
        if !self.is_truncated {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Records that the response to the newest request is complete.
    pub fn complete_response(&mut self) {
        self.response_length = Some(self.bytes.len());
    }

    /// Whether the bytes after the newest response are one or more duplicates of it. If nothing
    /// arrived after the response was complete, a duplicate may have arrived together with it: the
    /// boundary is then unknown, and the two halves are compared.
    pub fn is_response_repeated(&self) -> bool {
        let total = self.bytes.len();
        let length = match self.response_length {
            Some(length) if length < total => length,
            Some(_) | None => total / 2,
        };
        if self.is_truncated || length == 0 || !total.is_multiple_of(length) {
            return false;
        }
        let response = &self.bytes[..length];
        self.bytes.chunks(length).all(|chunk| chunk == response)
    }
}

#[cfg(test)]
mod tests;
