//! How two processes of a balancer share the budget.
use super::*;

fn acquire_all_clients(budget: &DescriptorBudget) -> Vec<ConnectionPermit> {
    std::iter::from_fn(|| budget.try_acquire_client()).collect()
}

/// Guards against two processes that together use more descriptors than a single one may.
#[tokio::test]
async fn yields_half_of_the_budget_until_the_other_process_ends() {
    let budget = DescriptorBudget::new(RESERVED_DESCRIPTORS + 40);
    assert_eq!(acquire_all_clients(&budget).len(), 30);
    budget.yield_half().await;
    let clients = acquire_all_clients(&budget);
    assert_eq!(clients.len(), 15);
    let upstreams: Vec<_> = std::iter::from_fn(|| budget.try_acquire_connection()).collect();
    assert_eq!(upstreams.len(), 5);
    drop(upstreams);
    budget.reclaim();
    assert!(!budget.is_shared());
    // Permits that are in use when half of the budget is yielded become part of the yielded half
    // when they are released.
    let further_clients = acquire_all_clients(&budget);
    assert_eq!(further_clients.len(), 15);
    let mut yielding = std::pin::pin!(budget.yield_half());
    assert!(
        tokio::time::timeout(std::time::Duration::ZERO, &mut yielding)
            .await
            .is_err()
    );
    assert!(
        budget.is_shared(),
        "the limits are shared although connections are open"
    );
    drop(clients);
    yielding.await;
    assert!(budget.try_acquire_client().is_none());
}

/// Guards against a process that waits for its clients forever, because permits that they release are
/// yielded to its successor.
#[tokio::test]
async fn clients_are_closed_although_half_of_the_budget_is_still_to_be_yielded() {
    let budget = DescriptorBudget::new(RESERVED_DESCRIPTORS + 40);
    let clients = acquire_all_clients(&budget);
    let _upstream = budget.try_acquire_connection();
    let yielding = budget.yield_half();
    let closing = async {
        budget.reclaim();
        drop(clients);
        budget.wait_until_clients_closed().await;
    };
    let both = async { tokio::join!(yielding, closing) };
    tokio::time::timeout(std::time::Duration::from_secs(1), both)
        .await
        .expect("all clients are closed");
}
