//! Buffers for body bytes that are kept: for a retry, until a small body is complete, or until their
//! receiver reads on.
//!
//! hyper hands out each chunk of a body as a slice of the buffer that it was read into. The slice
//! keeps that buffer allocated, several kilobytes for as little as one byte. So bytes that are kept
//! are copied into memory of their own size.
use bytes::Bytes;

/// Most bytes of one chunk that [`BodyBuffer::chunk_at`] copies out.
const MAX_COPIED_CHUNK_BYTES: usize = 16 << 10;

/// A copy of a chunk that is to be kept.
pub fn copy_of(chunk: &[u8]) -> Bytes {
    Bytes::copy_from_slice(chunk)
}

/// The bytes of a body so far, in memory that grows with them.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// Length of the complete body, if its sender stated it; the buffer allocates no more.
    stated_length: Option<usize>,
}

impl BodyBuffer {
    /// An empty buffer for a body of `stated_length` bytes. Allocates nothing yet: the sender may
    /// state a length and send nothing.
    pub fn new(stated_length: Option<u64>) -> BodyBuffer {
        BodyBuffer {
            bytes: Vec::new(),
            stated_length: stated_length.and_then(|length| usize::try_from(length).ok()),
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a copy of `chunk`.
    pub fn append(&mut self, chunk: &[u8]) {
        self.reserve(chunk.len());
        self.bytes.extend_from_slice(chunk);
    }

    /// A copy of bytes from `position` on; `None` if there are none.
    pub fn chunk_at(&self, position: usize) -> Option<Bytes> {
        let rest = self.bytes.get(position..)?;
        let length = rest.len().min(MAX_COPIED_CHUNK_BYTES);
        (length > 0).then(|| copy_of(&rest[..length]))
    }

    /// The bytes, without unused memory.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.into_boxed_slice().into()
    }

    /// Doubles the allocation where `additional` bytes do not fit, but not beyond the stated length.
    fn reserve(&mut self, additional: usize) {
        let required = self.bytes.len() + additional;
        if required <= self.bytes.capacity() {
            return;
        }
        let doubled = self.bytes.capacity() * 2;
        let capacity = self
            .stated_length
            .map_or(doubled, |length| doubled.min(length));
        let capacity = capacity.max(required);
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }
}

#[cfg(test)]
mod tests;
