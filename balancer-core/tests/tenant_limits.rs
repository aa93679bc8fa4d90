//! The division of capacity among tenants: a worked example, edge cases and invariants.
use balancer_core::tenant_limits;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Compares with a tolerance, because the expected values of the worked example are loosely rounded whole numbers.
fn assert_near(limits: &[f64], expected: &[f64]) {
    for (limit, value) in limits.iter().zip(expected) {
        assert!(
            (limit - value).abs() <= 0.75,
            "limits {limits:?}, but the worked example has {expected:?}"
        );
    }
}

#[test]
fn limits_match_the_worked_example() {
    let equal_weights = [1.0; 4];
    let limits = |demands: &[f64]| tenant_limits(40.0, demands, &equal_weights, 0.1);
    // Without demand, each tenant gets an equal part.
    assert_near(&limits(&[0.0; 4]), &[10.0; 4]);
    assert_near(&limits(&[2.0, 15.0, 10.0, 10.0]), &[5.0, 15.0, 10.0, 10.0]);
    assert_near(&limits(&[3.0, 15.0, 50.0, 10.0]), &[3.0, 11.0, 16.0, 10.0]);
    assert_near(&limits(&[0.0, 15.0, 50.0, 5.0]), &[1.0, 12.0, 22.0, 5.0]);
}

#[test]
fn limits_of_edge_cases() {
    assert_eq!(
        tenant_limits(0.0, &[3.0, 0.0], &[1.0, 1.0], 0.1),
        [0.0, 0.0]
    );
    assert_eq!(
        tenant_limits(12.0, &[50.0], &[1.0], 0.1),
        [12.0],
        "a single tenant should have all capacity and cannot borrow"
    );
    assert_eq!(tenant_limits(12.0, &[0.0], &[1.0], 0.1), [12.0]);
    assert_eq!(
        tenant_limits(30.0, &[90.0, 40.0, 70.0], &[1.0; 3], 0.1),
        [10.0; 3],
        "tenants that all exceed their default limits should get those"
    );
    assert_eq!(
        tenant_limits(10.0, &[5.0, 5.0], &[0.0, 0.0], 0.1),
        [5.0, 5.0],
        "weights that sum to zero should divide capacity evenly"
    );
    assert!(tenant_limits(10.0, &[], &[], 0.1).is_empty());
    let unequal = tenant_limits(100.0, &[500.0, 5.0], &[3.0, 1.0], 0.1);
    assert_eq!(
        unequal,
        [95.0, 5.0],
        "weights should set the default limits, and unused capacity should be lent"
    );
}

#[test]
fn limits_are_never_negative_and_never_exceed_the_capacity() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut draw = |max: f64| (rng.next_u32() as f64 / u32::MAX as f64) * max;
    for _ in 0..20_000 {
        let count = 1 + draw(9.0) as usize;
        let capacity = draw(1000.0);
        let demands: Vec<f64> = (0..count)
            .map(|_| draw(2.0).floor() * draw(900.0))
            .collect();
        let weights: Vec<f64> = (0..count).map(|_| draw(3.0).floor() * draw(1.0)).collect();
        let limits = tenant_limits(capacity, &demands, &weights, draw(1.0));
        assert!(
            limits
                .iter()
                .all(|&limit| limit >= 0.0 && limit.is_finite()),
            "a limit is negative or not finite: capacity {capacity}, demands {demands:?}, weights {weights:?}, \
             limits {limits:?}"
        );
        let sum: f64 = limits.iter().sum();
        assert!(
            sum <= capacity * (1.0 + 1e-9) + 1e-9,
            "limits sum to {sum}, more than the capacity {capacity}: demands {demands:?}, weights {weights:?}, \
             limits {limits:?}"
        );
    }
}
