//! Tests of the memory budget.
use super::*;

const DESCRIPTORS: usize = 1024;
const LIMIT_BYTES: usize = 48 << 20;
const STEP_BYTES: usize = 64 << 10;
const USES: [MemoryUse; 3] = [MemoryUse::Bulk, MemoryUse::Admission, MemoryUse::Completion];

struct Fixture {
    budget: MemoryBudget,
    allocated: Rc<Cell<usize>>,
}

fn fixture(limit_bytes: Option<usize>) -> Fixture {
    let allocated = Rc::new(Cell::new(0));
    let meter = AllocationMeter::Fixed(allocated.clone());
    let budget = MemoryBudget::with_meter(limit_bytes, DescriptorBudget::new(DESCRIPTORS), meter);
    Fixture { budget, allocated }
}

impl Fixture {
    /// Allocates as much as there is for this use. Returns what is allocated then.
    fn exhaust(&self, memory_use: MemoryUse) -> usize {
        while self.budget.check(memory_use, STEP_BYTES).is_ok() {
            self.allocated.set(self.allocated.get() + STEP_BYTES);
        }
        self.allocated.get()
    }
}

#[test]
fn all_uses_together_stay_below_the_limit() {
    for limit in [32 << 20, LIMIT_BYTES, 192 << 20] {
        let fixture = fixture(Some(limit));
        for memory_use in USES {
            let allocated = fixture.exhaust(memory_use);
            assert!(allocated + UNCOUNTED_BYTES + limit / FRAGMENTATION_PART <= limit);
        }
    }
}

/// Guards against rejecting all requests because large bodies take all memory.
#[test]
fn leaves_memory_for_ordinary_requests_and_their_completion() {
    let fixture = fixture(Some(LIMIT_BYTES));
    let [bulk, admission, completion] = USES.map(|memory_use| fixture.exhaust(memory_use));
    assert!(admission >= bulk + LIMIT_BYTES / 16);
    assert!(completion >= admission + LIMIT_BYTES / 16);
}

#[test]
fn reserved_memory_counts_until_it_is_returned() {
    let fixture = fixture(Some(LIMIT_BYTES));
    let budget = &fixture.budget;
    let mut reservations = Vec::new();
    while let Ok(reservation) = budget.reserve(MemoryUse::Completion, STEP_BYTES) {
        reservations.push(reservation);
    }
    assert_eq!(
        budget.check(MemoryUse::Completion, STEP_BYTES),
        Err(MemoryExhausted)
    );
    let reserved = reservations.len() * STEP_BYTES;
    drop(reservations);
    assert_eq!(fixture.exhaust(MemoryUse::Completion), reserved);
}

#[tokio::test]
async fn leaves_half_of_the_limit_to_another_process() {
    let fixture = fixture(Some(LIMIT_BYTES));
    let alone = fixture.exhaust(MemoryUse::Completion);
    fixture.allocated.set(0);
    fixture.budget.descriptors.yield_half().await;
    assert!(fixture.exhaust(MemoryUse::Completion) <= alone / 2);
    fixture.budget.descriptors.reclaim();
    assert_eq!(fixture.exhaust(MemoryUse::Completion), alone);
}

#[test]
fn without_a_limit_nothing_is_rejected() {
    let fixture = fixture(None);
    assert_eq!(fixture.budget.check(MemoryUse::Bulk, 1 << 40), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn wakes_those_who_wait_once_memory_is_returned() {
    let fixture = fixture(Some(LIMIT_BYTES));
    fixture.exhaust(MemoryUse::Bulk);
    let returned_after = Duration::from_millis(55);
    let started_at = Instant::now();
    let waiting = fixture
        .budget
        .wait_until(|budget| budget.has_room(MemoryUse::Bulk, STEP_BYTES));
    let returning = async {
        sleep(returned_after).await;
        fixture.allocated.set(0);
    };
    tokio::select! {
        ((), ()) = async { tokio::join!(waiting, returning) } => {}
        () = fixture.budget.clone().run() => {}
    }
    let waited = started_at.elapsed();
    assert!(
        (returned_after..returned_after + 2 * ROOM_CHECK_INTERVAL).contains(&waited),
        "{waited:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_shortage_begins_with_a_refusal_and_ends_without_one() {
    let fixture = fixture(Some(LIMIT_BYTES));
    let mut shortages = fixture.budget.shortages();
    let ended_after = async {
        assert!(!*shortages.borrow_and_update());
        fixture.exhaust(MemoryUse::Bulk);
        let refused_at = Instant::now();
        shortages
            .wait_for(|is_short| *is_short)
            .await
            .expect("a budget");
        fixture.allocated.set(0);
        shortages
            .wait_for(|is_short| !is_short)
            .await
            .expect("a budget");
        refused_at.elapsed()
    };
    tokio::select! {
        ended_after = ended_after => assert!(ended_after >= SHORTAGE_END_DELAY, "{ended_after:?}"),
        () = fixture.budget.clone().run() => {}
    }
    assert_eq!(fixture.budget.report().shortages, 1);
}
