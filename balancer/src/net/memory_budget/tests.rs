//! Tests of the memory budget.
use super::*;

const DESCRIPTORS: usize = 1024;
const LIMIT_BYTES: usize = 48 << 20;

fn budget(limit_bytes: Option<usize>) -> MemoryBudget {
    MemoryBudget::new(limit_bytes, DescriptorBudget::new(DESCRIPTORS))
}

/// Reserves as much as there is, in steps of 64 KiB.
fn exhaust(budget: &MemoryBudget) -> Reservation {
    let mut reservation = budget.reservation();
    while reservation.grow(budget, 64 << 10).is_ok() {}
    reservation
}

#[test]
fn bodies_and_connections_stay_below_the_limit_together() {
    let budget = budget(Some(LIMIT_BYTES));
    let connections: Vec<_> = (0..600)
        .map_while(|_| budget.descriptors.try_acquire_connection())
        .collect();
    let bodies = exhaust(&budget);
    assert!(bodies.bytes + connections.len() * CONNECTION_BYTES + PROCESS_BYTES <= LIMIT_BYTES);
    assert!(bodies.bytes > LIMIT_BYTES / MIN_BODIES_PART);
}

#[test]
fn returns_what_a_dropped_reservation_held() {
    let budget = budget(Some(LIMIT_BYTES));
    let reservation = exhaust(&budget);
    let reserved = reservation.bytes;
    assert_eq!(
        budget.reservation().grow(&budget, 64 << 10),
        Err(MemoryExhausted)
    );
    drop(reservation);
    assert_eq!(exhaust(&budget).bytes, reserved);
}

/// Guards against rejecting all requests because many connections are open.
#[test]
fn leaves_memory_for_bodies_however_many_connections_are_open() {
    let budget = budget(Some(32 << 20));
    let _connections: Vec<_> =
        std::iter::from_fn(|| budget.descriptors.try_acquire_connection()).collect();
    assert_eq!(exhaust(&budget).bytes, (32 << 20) / MIN_BODIES_PART);
}

#[tokio::test]
async fn leaves_half_of_the_limit_to_another_process() {
    let budget = budget(Some(LIMIT_BYTES));
    let alone = exhaust(&budget).bytes;
    budget.descriptors.yield_half().await;
    assert!(exhaust(&budget).bytes <= alone / 2);
    budget.descriptors.reclaim();
    assert_eq!(exhaust(&budget).bytes, alone);
}

#[test]
fn without_a_limit_nothing_is_rejected() {
    let budget = budget(None);
    assert_eq!(budget.reservation().grow(&budget, 1 << 40), Ok(()));
}
