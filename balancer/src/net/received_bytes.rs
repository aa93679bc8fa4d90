//! The bytes of the newest response on a connection, to tell whether further bytes are a copy of it.

/// Longest response that is kept. Most are shorter; of a longer one nothing is told.
pub const MAX_RECORDED_BYTES: usize = 4 << 10;

/// What has been received since the newest request began.
#[derive(Default)]
pub struct ReceivedBytes {
    bytes: Vec<u8>,
    /// Whether there was more than is kept.
    is_truncated: bool,
    /// How many of the bytes had arrived when the response was complete.
    response_length: Option<usize>,
}

impl ReceivedBytes {
    /// A request begins.
    pub fn begin_request(&mut self) {
        self.bytes.clear();
        self.is_truncated = false;
        self.response_length = None;
    }

    /// Keeps bytes that were read.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.bytes.len() + bytes.len() > MAX_RECORDED_BYTES {
            self.is_truncated = true;
        }
        if !self.is_truncated {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The response to the newest request is complete.
    pub fn complete_response(&mut self) {
        self.response_length = Some(self.bytes.len());
    }

    /// Whether what follows the newest response is the same response again. If both came at once
    /// the boundary is unknown, and the halves are compared.
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
