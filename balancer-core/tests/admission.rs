//! Admission by tenants' limits when capacity is short.
mod common;

use balancer_core::{Action, AttemptOutcome, RequestId, Settings};
use common::{settings_for_tenants, success_after, RequestRecord, TestHarness};

#[test]
fn rejects_tenant_over_its_limit_and_admits_tenant_within_its_limit() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[0.6, 0.4]), 4);
    // Tenant 0 sends nine times as many requests as tenant 1. Responses are late, so capacity is short.
    let tenants = [0, 0, 0, 0, 0, 0, 0, 0, 0, 1];
    harness.run_traffic(20_000.0, 150.0, &tenants, &success_after(232.0));
    let admitted_fraction = |tenant: usize| {
        let belongs_to = |id: &RequestId| usize::from(id.0 % 10 == 9) == tenant;
        let requests: Vec<&RequestRecord> = harness
            .requests
            .iter()
            .filter(|(id, record)| belongs_to(id) && record.deadline > 12_000.0)
            .map(|(_, record)| record)
            .collect();
        let sent = requests.iter().filter(|record| record.was_sent()).count();
        sent as f64 / requests.len() as f64
    };
    assert!(
        admitted_fraction(1) > 0.95,
        "tenant within its limit: only a fraction of {} admitted",
        admitted_fraction(1)
    );
    assert!(
        admitted_fraction(0) < 0.9,
        "tenant over its limit: a fraction of {} admitted",
        admitted_fraction(0)
    );
}

/// Guards against a large tenant that uses up the limits of small ones.
#[test]
fn overload_rejects_mostly_the_tenant_over_its_limit() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[0.4, 0.3, 0.3]), 4);
    let tenants = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2];
    harness.run_traffic(4000.0, 60.0, &tenants, &success_after(50.0));
    let from = harness.now;
    harness.run_traffic(10_000.0, 200.0, &tenants, &success_after(190.0));
    let admitted_fraction = |belongs_to: &dyn Fn(u32) -> bool| {
        let requests: Vec<&RequestRecord> = harness
            .requests
            .iter()
            .filter(|(id, record)| belongs_to(id.0 % 10) && record.deadline > from + 5000.0)
            .map(|(_, record)| record)
            .collect();
        let sent = requests.iter().filter(|record| record.was_sent()).count();
        sent as f64 / requests.len() as f64
    };
    let large = admitted_fraction(&|position| position < 8);
    let small = admitted_fraction(&|position| position >= 8);
    assert!(
        small > 0.65 && large < 0.3,
        "fractions admitted: {small} of the small tenants' requests, {large} of the large one's"
    );
}

#[test]
fn new_tenant_ends_cycle_early_and_has_a_limit_at_once() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[0.5, 0.5]), 4);
    harness.advance(1.0);
    for id in 0..300 {
        harness.send_request(id, 0, 0);
        if harness.request(id).was_sent() {
            harness.end_attempt(id, 0, AttemptOutcome::Success);
        }
    }
    assert!(
        !harness.request(299).was_sent(),
        "tenant 0 should have used up the cycle's capacity"
    );
    assert!(
        matches!(harness.send_request(300, 0, 1)[..], [Action::Send { .. }]),
        "tenant 1 should not wait for the next cycle"
    );
}

/// Guards against equal defaults, which give a tenant with a large weight no more than one with a small one.
#[test]
fn weights_set_the_default_limits() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[0.8, 0.2]), 4);
    harness.run_traffic(12_000.0, 150.0, &[0, 1], &success_after(232.0));
    let sent = |tenant: u32| {
        harness
            .requests
            .iter()
            .filter(|(id, record)| id.0 % 2 == tenant && record.was_sent())
            .count()
    };
    assert!(
        sent(0) > 2 * sent(1),
        "{} requests of the large tenant admitted, {} of the small one",
        sent(0),
        sent(1)
    );
}

/// Guards against rejections at start in lower tiers, though no response is late.
#[test]
fn lower_tier_starts_with_more_capacity() {
    for (tier, min_sent) in [(0, 0), (1, 60)] {
        let settings = Settings {
            tier,
            ..settings_for_tenants(&[1.0])
        };
        let mut harness = TestHarness::with_endpoints(settings, 4);
        for id in 0..60 {
            harness.send_request(id, 0, 0);
            harness.end_attempt(id, 0, AttemptOutcome::Success);
        }
        let sent = harness.sent_since(0.0).requests;
        assert!(
            sent >= min_sent,
            "{sent} of 60 requests admitted in tier {tier}"
        );
    }
}

/// Guards against an initial capacity below the first tier that is only as large as the stated quotas. There, each
/// request of a client may cause several requests, and a rejection wastes the work of the tiers above.
#[test]
fn lower_tier_that_receives_twice_the_quotas_rejects_none_at_start() {
    let settings = Settings {
        tier: 1,
        ..settings_for_tenants(&[1.0])
    };
    let mut harness = TestHarness::with_endpoints(settings, 4);
    harness.run_traffic(990.0, 120.0, &[0], &success_after(20.0));
    let rejected = harness.count_actions(|action| matches!(action, Action::Reject { .. }));
    assert_eq!(rejected, 0, "requests rejected, of 119 in the first second");
}

/// Guards against quotas that idle tenants keep while another one is rejected.
#[test]
fn busy_tenant_borrows_what_an_idle_one_leaves() {
    let mut harness = TestHarness::with_endpoints(settings_for_tenants(&[0.5, 0.5]), 4);
    // Tenant 1 sends one request in 50.
    let mut tenants = [0; 50];
    tenants[49] = 1;
    harness.run_traffic(5000.0, 50.0, &tenants, &success_after(50.0));
    // Responses are on time but slower: so many requests are in flight that tenants above their limits are rejected.
    harness.run_traffic(10_000.0, 100.0, &tenants, &success_after(180.0));
    let first = harness.next_request_id();
    harness.run_traffic(10_000.0, 100.0, &tenants, &success_after(180.0));
    let of_busy_tenant = harness
        .requests
        .iter()
        .filter(|(id, record)| id.0 >= first && id.0 % 50 != 49 && record.was_sent());
    // Its own 30 requests per second, and three quarters of the 27 that the other tenant may lend.
    let sent = of_busy_tenant.count();
    assert!(
        sent > 500,
        "{sent} requests of the busy tenant admitted in 10 s"
    );
}
