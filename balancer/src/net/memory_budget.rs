//! The process's budget of memory for buffered bodies.
//!
//! Connections need memory whatever they carry, so the budget is what the limit of the process leaves
//! beside the open connections. Two processes of one balancer share the limit.
use crate::net::descriptor_budget::DescriptorBudget;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use thiserror::Error;

/// Memory of a process without connections: endpoints, metrics, the runtime and the allocator.
const PROCESS_BYTES: usize = 4 << 20;
/// Memory of one connection: hyper's buffers for reading and writing, and its task.
const CONNECTION_BYTES: usize = 28 << 10;
/// The inverse of the part of the limit that stays free, for freed memory that the allocator keeps.
const FREE_PART: usize = 10;
/// The inverse of the part of the limit that bodies may use in any case, so that small ones are
/// served however many connections are open.
const MIN_BODIES_PART: usize = 8;

/// Too little memory is left for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too much memory is in use for bodies")]
pub struct MemoryExhausted;

/// Counts the memory of buffered bodies and limits it. Clones share the count.
#[derive(Clone)]
pub struct MemoryBudget {
    /// The limit of the process; `None`: unlimited.
    limit_bytes: Option<usize>,
    used_bytes: Arc<AtomicUsize>,
    descriptors: DescriptorBudget,
}

impl MemoryBudget {
    /// The budget of a process with this limit, whose connections `descriptors` counts.
    pub fn new(limit_bytes: Option<usize>, descriptors: DescriptorBudget) -> MemoryBudget {
        MemoryBudget {
            limit_bytes,
            used_bytes: Arc::default(),
            descriptors,
        }
    }

    /// An empty reservation. [`Reservation::grow`] counts and limits its memory.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            used_bytes: self.used_bytes.clone(),
            bytes: 0,
        }
    }

    fn has_room_for(&self, additional: usize) -> bool {
        let Some(limit) = self.limit_bytes else {
            return true;
        };
        self.used_bytes.load(Ordering::Relaxed) + additional <= self.bodies_limit(limit)
    }

    /// How much bodies may use now, if all of the balancer may use `limit`.
    fn bodies_limit(&self, limit: usize) -> usize {
        let limit = if self.descriptors.is_shared() {
            limit / 2
        } else {
            limit
        };
        let connections = self.descriptors.open_connections() * CONNECTION_BYTES;
        (limit - limit / FREE_PART)
            .saturating_sub(PROCESS_BYTES + connections)
            .max(limit / MIN_BODIES_PART)
    }
}

/// Memory that counts as used until this is dropped.
pub struct Reservation {
    used_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Reserves `additional` bytes of `budget`, from which this reservation was made. Fails if they
    /// are not left.
    pub fn grow(
        &mut self,
        budget: &MemoryBudget,
        additional: usize,
    ) -> Result<(), MemoryExhausted> {
        if !budget.has_room_for(additional) {
            return Err(MemoryExhausted);
        }
        self.used_bytes.fetch_add(additional, Ordering::Relaxed);
        self.bytes += additional;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
