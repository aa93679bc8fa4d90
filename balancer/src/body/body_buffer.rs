//! Buffers for body bytes that are kept: for a retry, until a small body is complete, or until their
//! receiver reads on.
//!
//! hyper hands out each chunk of a body as a slice of the buffer that it was read into. The slice
//! keeps that buffer allocated, several kilobytes for as little as one byte. So bytes that are kept
//! are copied into memory of their own size.
use crate::body::limits::MAX_BUFFERED_BODY_BYTES;
use crate::memory::budget::{MemoryBudget, MemoryExhausted, MemoryUse};
use crate::memory::report::MemoryRefusal;
use bytes::Bytes;

/// Most bytes of one chunk that [`BodyBuffer::chunk_at`] copies out.
const MAX_COPIED_CHUNK_BYTES: usize = 16 << 10;
/// Memory for the first bytes of a body of unstated length, most of which are short.
const UNSTATED_LENGTH_CAPACITY: usize = 4 << 10;
/// Bodies up to this size are of ordinary size for the memory budget.
const MAX_ORDINARY_BODY_BYTES: usize = 4 << 10;

/// A copy of a chunk that is to be kept.
pub fn copy_of(chunk: &[u8]) -> Bytes {
    Bytes::copy_from_slice(chunk)
}

/// The bytes of a body so far.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// How much the buffer allocates for its first bytes.
    first_capacity: usize,
    memory: MemoryBudget,
    /// What the buffer counts as while it is of ordinary size.
    ordinary_use: MemoryUse,
}

impl BodyBuffer {
    /// An empty buffer for the body of a request of `stated_length` bytes, in memory of `memory`.
    /// Allocates nothing yet: the sender may state a length and send nothing.
    pub fn for_request(stated_length: Option<u64>, memory: &MemoryBudget) -> BodyBuffer {
        BodyBuffer::new(stated_length, memory, MemoryUse::Admission)
    }

    /// The same for the body of a response.
    pub fn for_response(stated_length: Option<u64>, memory: &MemoryBudget) -> BodyBuffer {
        BodyBuffer::new(stated_length, memory, MemoryUse::Completion)
    }

    fn new(
        stated_length: Option<u64>,
        memory: &MemoryBudget,
        ordinary_use: MemoryUse,
    ) -> BodyBuffer {
        BodyBuffer {
            bytes: Vec::new(),
            memory: memory.clone(),
            ordinary_use,
            first_capacity: stated_length.map_or(UNSTATED_LENGTH_CAPACITY, first_capacity),
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a copy of `chunk`. Appends nothing if there is too little memory.
    pub fn append(&mut self, chunk: &[u8]) -> Result<(), MemoryExhausted> {
        let growth = self.growth(chunk.len());
        self.memory.check(self.memory_use(growth), growth)?;
        self.allocate(chunk.len());
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Waits until there is memory for all of a small body of stated length, and allocates it. The
    /// caller limits the time.
    pub async fn allocate_when_possible(&mut self) {
        self.wait_for_memory(self.first_capacity).await;
        self.allocate(self.first_capacity);
    }

    /// Waits until there is memory for `chunk`, and appends a copy of it. The caller limits the time.
    pub async fn append_when_possible(&mut self, chunk: &[u8]) {
        self.wait_for_memory(chunk.len()).await;
        self.allocate(chunk.len());
        self.bytes.extend_from_slice(chunk);
    }

    /// Counts that the buffer ends early, because too little memory is left.
    pub fn record_refused(&self) {
        self.memory.record_refused(MemoryRefusal::BodyCopy);
    }

    /// Appends a copy of the last `chunk` of this buffer, for which no memory could be reserved.
    pub fn append_beyond_budget(&mut self, chunk: &[u8]) {
        self.bytes.reserve_exact(chunk.len());
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
        Bytes::from(self.bytes.into_boxed_slice())
    }

    /// Waits until there is memory for `additional` bytes.
    async fn wait_for_memory(&self, additional: usize) {
        let growth = self.growth(additional);
        self.memory
            .wait_until(|memory| memory.has_room(self.memory_use(growth), growth))
            .await;
    }

    /// Allocates memory for `additional` bytes where they do not fit.
    fn allocate(&mut self, additional: usize) {
        let capacity = self.bytes.capacity() + self.growth(additional);
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }

    /// What a growth by so many bytes counts as.
    fn memory_use(&self, growth: usize) -> MemoryUse {
        if growth <= MAX_ORDINARY_BODY_BYTES {
            self.ordinary_use
        } else {
            MemoryUse::Bulk
        }
    }

    /// How much has to be allocated for `additional` bytes.
    fn growth(&self, additional: usize) -> usize {
        let required = self.bytes.len() + additional;
        if required <= self.bytes.capacity() {
            return 0;
        }
        self.next_capacity().max(required) - self.bytes.capacity()
    }

    /// The next of few sizes: memory that is allocated again and again leaves gaps.
    fn next_capacity(&self) -> usize {
        match self.bytes.capacity() {
            0 => self.first_capacity,
            capacity => (2 * capacity).max(MAX_BUFFERED_BODY_BYTES),
        }
    }
}

/// All that the buffer may have to hold of a body of this length.
fn first_capacity(stated_length: u64) -> usize {
    let length = usize::try_from(stated_length).unwrap_or(usize::MAX);
    length.min(MAX_BUFFERED_BODY_BYTES)
}

#[cfg(test)]
mod tests;
