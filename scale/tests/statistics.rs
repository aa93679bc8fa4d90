//! Distributions and spreads.
use scale::report::Figure;
use scale::statistics::{spreads, Times};
use std::time::Duration;

#[test]
fn percentiles_are_exact_to_three_digits() {
    let mut times = Times::default();
    (1..=1000).for_each(|micros| times.record(Duration::from_micros(micros)));
    let percentiles = times.percentiles();
    assert_eq!(percentiles.count, 1000);
    for (found, wanted) in [
        (percentiles.p50_us, 500.0),
        (percentiles.p99_us, 990.0),
        (percentiles.p999_us, 999.0),
    ] {
        assert!(
            (found - wanted).abs() <= wanted / 1000.0,
            "{found} for {wanted}"
        );
    }
}

#[test]
fn a_time_beyond_all_bounds_counts_as_the_longest() {
    let mut times = Times::default();
    times.record(Duration::from_secs(100_000));
    assert_eq!(times.count(), 1);
}

#[test]
fn a_spread_holds_least_median_and_most() {
    let repeat = |value| {
        vec![
            Figure { name: "a", value },
            Figure {
                name: "b",
                value: 1.0,
            },
        ]
    };
    let odd = spreads(&[repeat(3.0), repeat(1.0), repeat(2.0)]);
    assert_eq!((odd[0].least, odd[0].median, odd[0].most), (1.0, 2.0, 3.0));
    assert_eq!((odd[1].name, odd[1].median), ("b", 1.0));
    let even = spreads(&[repeat(4.0), repeat(1.0)]);
    assert_eq!(even[0].median, 2.5);
    assert!(spreads(&[]).is_empty());
}
