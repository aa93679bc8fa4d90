//! Distributions and spreads.
use scale::statistics::{spreads, Distribution, Metric};
use std::time::Duration;

#[test]
fn percentiles_are_exact_to_three_digits() {
    let times: Distribution = (1..=1000).map(Duration::from_micros).collect();
    let percentiles = times.percentiles();
    assert_eq!(percentiles.count, 1000);
    for (found, expected) in [
        (percentiles.p50_us, 500.0),
        (percentiles.p99_us, 990.0),
        (percentiles.p999_us, 999.0),
    ] {
        assert!(
            (found - expected).abs() <= expected / 1000.0,
            "{found} for {expected}"
        );
    }
}

#[test]
fn records_time_above_maximum_as_maximum() {
    let mut times = Distribution::default();
    times.record(Duration::from_secs(100_000));
    assert_eq!(times.count(), 1);
}

#[test]
fn spread_has_minimum_median_and_maximum_of_each_metric() {
    let repeat = |value| vec![Metric::new("a", value), Metric::new("b", 1.0)];
    let odd = spreads(&[repeat(3.0), repeat(1.0), repeat(2.0)]);
    assert_eq!((odd[0].min, odd[0].median, odd[0].max), (1.0, 2.0, 3.0));
    assert_eq!((odd[1].name, odd[1].median), ("b", 1.0));
    let even = spreads(&[repeat(4.0), repeat(1.0)]);
    assert_eq!(even[0].median, 2.5);
    assert!(spreads(&[]).is_empty());
}
