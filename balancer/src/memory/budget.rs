//! The process's memory budget.
//!
//! The global allocator counts what is allocated, whatever it is for, so nothing that peers cause has
//! to be estimated. Where peers can make the process allocate more, the budget is asked first. What
//! it refuses is rejected, or waits until others have returned memory.
use crate::memory::allocation;
use crate::memory::report::{MemoryCounts, MemoryRefusal, MemoryReport};
use crate::net::descriptor_budget::DescriptorBudget;
use crate::telemetry::log::log_line;
use crate::time::{sleep, timeout, timeout_at};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// Memory that the allocator does not count: the program's data, its stacks and the allocator itself.
const UNCOUNTED_BYTES: usize = 2 << 20;
/// The inverse of the part of the limit that stays free, for freed memory that the system does not
/// get back.
const FRAGMENTATION_PART: usize = 5;
/// The inverse of the part of the limit that may be allocated however low the limit is.
const MIN_USABLE_PART: usize = 4;
/// Interval between two checks whether there is memory for those who wait.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Those who wait check by themselves in this interval, if nobody wakes them.
const WAITER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two returns of free memory to the system.
const MIN_RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// The interval is at least so many times as long as the last return took, which grows with the
/// memory.
const RETURN_INTERVAL_FACTOR: u32 = 10;
/// A shortage ends once nothing was refused for this long.
const SHORTAGE_END_DELAY: Duration = Duration::from_secs(1);

/// Too little memory is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too much memory is in use")]
pub struct MemoryExhausted;

/// What memory is for. Each use may allocate more than the one before it, so that requests that have
/// been accepted are completed before new ones are, and these before large bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Large heads, and bodies beyond a few kilobytes.
    Bulk,
    /// Requests and connections of ordinary size.
    Admission,
    /// What completes a request that has been accepted.
    Completion,
}

impl MemoryUse {
    /// How much may be allocated in all, if `usable` bytes may be, so that this use gets more.
    fn limit(self, usable: usize) -> usize {
        match self {
            MemoryUse::Bulk => usable - usable / 4,
            MemoryUse::Admission => usable - usable / 8,
            MemoryUse::Completion => usable,
        }
    }
}

/// Where the number of allocated bytes comes from.
enum AllocationMeter {
    /// The global allocator.
    Process,
    /// A test.
    #[cfg(test)]
    Fixed(Rc<Cell<usize>>),
}

impl AllocationMeter {
    fn allocated_bytes(&self) -> usize {
        match self {
            AllocationMeter::Process => allocation::allocated_bytes(),
            #[cfg(test)]
            AllocationMeter::Fixed(bytes) => bytes.get(),
        }
    }
}

/// Limits the memory of the process. Clones share the limit.
#[derive(Clone)]
pub struct MemoryBudget {
    /// The limit of the process; `None`: unlimited.
    limit_bytes: Option<usize>,
    /// Two processes of one balancer share the limit, as they share the descriptors.
    descriptors: DescriptorBudget,
    shared: Rc<SharedState>,
}

struct SharedState {
    meter: AllocationMeter,
    /// Bytes that were reserved and are not allocated yet.
    reserved_bytes: Cell<usize>,
    counts: MemoryCounts,
    is_short: watch::Sender<bool>,
    last_shortage_at: Cell<Option<Instant>>,
    /// Wakes [`MemoryBudget::run`] once more than half of the memory is in use.
    half_used: Notify,
    /// Wakes those who wait for memory.
    room_check: Notify,
}

impl MemoryBudget {
    /// The budget of a process with this limit; `descriptors` knows whether another process of its
    /// balancer shares it.
    pub fn new(limit_bytes: Option<usize>, descriptors: DescriptorBudget) -> MemoryBudget {
        MemoryBudget::with_meter(limit_bytes, descriptors, AllocationMeter::Process)
    }

    fn with_meter(
        limit_bytes: Option<usize>,
        descriptors: DescriptorBudget,
        meter: AllocationMeter,
    ) -> MemoryBudget {
        MemoryBudget {
            limit_bytes,
            descriptors,
            shared: Rc::new(SharedState {
                meter,
                reserved_bytes: Cell::new(0),
                counts: MemoryCounts::default(),
                is_short: watch::Sender::new(false),
                last_shortage_at: Cell::new(None),
                half_used: Notify::new(),
                room_check: Notify::new(),
            }),
        }
    }

    /// Whether `additional` bytes are left for this use.
    pub fn has_room(&self, memory_use: MemoryUse, additional: usize) -> bool {
        let Some(usable) = self.usable_bytes() else {
            return true;
        };
        let used = self.used_bytes() + additional;
        if used > usable / 2 {
            self.shared.half_used.notify_one();
        }
        used <= memory_use.limit(usable)
    }

    /// Fails if `additional` bytes, which the caller allocates next, are not left for this use.
    pub fn check(&self, memory_use: MemoryUse, additional: usize) -> Result<(), MemoryExhausted> {
        if self.has_room(memory_use, additional) {
            return Ok(());
        }
        self.begin_shortage();
        Err(MemoryExhausted)
    }

    /// Reserves `additional` bytes that will be allocated soon. The caller drops the reservation once
    /// they are, as they are counted from then on.
    pub fn reserve(
        &self,
        memory_use: MemoryUse,
        additional: usize,
    ) -> Result<Reservation, MemoryExhausted> {
        self.check(memory_use, additional)?;
        Ok(self.reserve_unchecked(additional))
    }

    /// Like [`MemoryBudget::reserve`], but waits for the memory until `latest` if it is not left, and
    /// reserves it then in any case.
    pub async fn reserve_until(
        &self,
        latest: Instant,
        memory_use: MemoryUse,
        additional: usize,
    ) -> Reservation {
        let waiting = self.wait_until(|memory| memory.has_room(memory_use, additional));
        let _ = timeout_at(latest, waiting).await;
        self.reserve_unchecked(additional)
    }

    fn reserve_unchecked(&self, additional: usize) -> Reservation {
        let reserved = self.shared.reserved_bytes.get();
        self.shared.reserved_bytes.set(reserved + additional);
        Reservation {
            shared: self.shared.clone(),
            bytes: additional,
        }
    }

    /// Waits until `has_room` returns true, which is asked at once and whenever memory may have been
    /// returned. The caller limits the time.
    pub async fn wait_until(&self, has_room: impl Fn(&MemoryBudget) -> bool) {
        if has_room(self) {
            return;
        }
        self.shared.counts.record_wait();
        loop {
            self.begin_shortage();
            let checked = self.shared.room_check.notified();
            let _ = timeout(WAITER_CHECK_INTERVAL, checked).await;
            if has_room(self) {
                return;
            }
        }
    }

    /// Counts what was refused.
    pub fn record_refused(&self, refusal: MemoryRefusal) {
        self.shared.counts.record_refused(refusal);
    }

    /// The begin and the end of shortages.
    pub fn shortages(&self) -> watch::Receiver<bool> {
        self.shared.is_short.subscribe()
    }

    /// The state of the memory, for the metrics.
    pub fn report(&self) -> MemoryReport {
        let counts = &self.shared.counts;
        MemoryReport {
            limit_bytes: self.process_limit(),
            allocated_bytes: self.shared.meter.allocated_bytes(),
            open_connections: self.descriptors.open_connections(),
            shortages: counts.shortages(),
            waits: counts.waits(),
            refused: counts.refused(),
        }
    }

    /// While much memory is in use, wakes those who wait for some and returns free memory to the
    /// system. Ends shortages. Never returns.
    pub async fn run(self) {
        let mut interval = MIN_RETURN_INTERVAL;
        loop {
            if !self.is_short() {
                self.shared.half_used.notified().await;
            }
            let return_at = Instant::now() + interval;
            while Instant::now() < return_at {
                sleep(ROOM_CHECK_INTERVAL).await;
                self.shared.room_check.notify_waiters();
            }
            let started_at = Instant::now();
            allocation::return_free_memory();
            interval = MIN_RETURN_INTERVAL.max(started_at.elapsed() * RETURN_INTERVAL_FACTOR);
            if self.is_short() && self.is_shortage_over() {
                self.shared.is_short.send_replace(false);
                self.log_shortage("memory is no longer short");
            }
        }
    }

    fn is_short(&self) -> bool {
        *self.shared.is_short.borrow()
    }

    fn log_shortage(&self, change: &str) {
        let report = self.report();
        log_line!(
            "{change}: {} kB allocated, limit {} kB",
            report.allocated_bytes >> 10,
            report.limit_bytes.unwrap_or(0) >> 10
        );
    }

    fn begin_shortage(&self) {
        self.shared.last_shortage_at.set(Some(Instant::now()));
        let has_begun = self
            .shared
            .is_short
            .send_if_modified(|is_short| !std::mem::replace(is_short, true));
        if has_begun {
            self.shared.counts.record_shortage();
            self.log_shortage("memory is short: large heads and bodies wait or are rejected");
        }
    }

    fn is_shortage_over(&self) -> bool {
        self.shared
            .last_shortage_at
            .get()
            .is_none_or(|at| at.elapsed() >= SHORTAGE_END_DELAY)
    }

    /// How much may be allocated in this process; `None`: unlimited.
    fn usable_bytes(&self) -> Option<usize> {
        let limit = self.process_limit()?;
        let usable = (limit - limit / FRAGMENTATION_PART).saturating_sub(UNCOUNTED_BYTES);
        Some(usable.max(limit / MIN_USABLE_PART))
    }

    fn used_bytes(&self) -> usize {
        self.shared.meter.allocated_bytes() + self.shared.reserved_bytes.get()
    }

    /// The limit of this process: half of the configured one while another process has the rest.
    fn process_limit(&self) -> Option<usize> {
        let limit = self.limit_bytes?;
        Some(if self.descriptors.is_shared() {
            limit / 2
        } else {
            limit
        })
    }
}

/// Memory that counts as used until this is dropped.
pub struct Reservation {
    shared: Rc<SharedState>,
    bytes: usize,
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.bytes)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved = self.shared.reserved_bytes.get();
        self.shared.reserved_bytes.set(reserved - self.bytes);
    }
}

#[cfg(test)]
mod tests;
