//! What the metrics show about memory.
use std::cell::Cell;

/// What was not done because too little memory was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryRefusal {
    /// A request was rejected before its head was complete.
    RequestHead,
    /// A request was rejected because its body could not be buffered.
    RequestBody,
    /// An attempt was not sent.
    Attempt,
    /// The start of a large body was not kept for further attempts, or a small response is relayed.
    BodyCopy,
}

impl MemoryRefusal {
    /// All refusals, in the order of their counts.
    pub const ALL: [MemoryRefusal; 4] = [
        MemoryRefusal::RequestHead,
        MemoryRefusal::RequestBody,
        MemoryRefusal::Attempt,
        MemoryRefusal::BodyCopy,
    ];

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryRefusal::RequestHead => "head",
            MemoryRefusal::RequestBody => "body",
            MemoryRefusal::Attempt => "attempt",
            MemoryRefusal::BodyCopy => "body_copy",
        }
    }
}

/// Counts of what happened because too little memory was left.
#[derive(Default)]
pub struct MemoryCounts {
    refused: [Cell<u64>; MemoryRefusal::ALL.len()],
    waits: Cell<u64>,
    shortages: Cell<u64>,
}

impl MemoryCounts {
    /// Counts a refusal.
    pub fn record_refused(&self, refusal: MemoryRefusal) {
        increment(&self.refused[refusal as usize]);
    }

    /// Counts a body that waits for memory.
    pub fn record_wait(&self) {
        increment(&self.waits);
    }

    /// Counts the begin of a shortage.
    pub fn record_shortage(&self) {
        increment(&self.shortages);
    }

    /// How often memory became short.
    pub fn shortages(&self) -> u64 {
        self.shortages.get()
    }

    /// How many bodies waited.
    pub fn waits(&self) -> u64 {
        self.waits.get()
    }

    /// How much was refused, by [`MemoryRefusal`].
    pub fn refused(&self) -> [u64; MemoryRefusal::ALL.len()] {
        MemoryRefusal::ALL.map(|refusal| self.refused[refusal as usize].get())
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get().wrapping_add(1));
}

/// The memory of the process, for the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryReport {
    /// Bytes that this process may use, as configured; `None`: unlimited.
    pub limit_bytes: Option<usize>,
    /// Bytes that are allocated now.
    pub allocated_bytes: usize,
    /// Open connections of this process, to clients and upstreams.
    pub open_connections: usize,
    /// How often memory became short.
    pub shortages: u64,
    /// How many bodies waited for memory.
    pub waits: u64,
    /// What was refused, by [`MemoryRefusal`].
    pub refused: [u64; MemoryRefusal::ALL.len()],
}
