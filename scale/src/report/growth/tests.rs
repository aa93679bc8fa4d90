use super::*;

fn on_line(at_depth_1: f64, per_hop: f64, hops: &[f64]) -> Vec<Sample> {
    hops.iter()
        .map(|&hops| Sample {
            hops,
            log_attempts: (at_depth_1 * per_hop.powf(hops)).ln(),
        })
        .collect()
}

#[test]
fn fits_samples_on_a_line_exactly() {
    let line = Line::fit(&on_line(1.1, 1.2, &[0.0, 1.0, 3.0, 7.0])).expect("a line");
    assert!((line.intercept.exp() - 1.1).abs() < 1e-9);
    assert!((line.slope.exp() - 1.2).abs() < 1e-9);
    assert!(line.slope_error < 1e-9);
}

#[test]
fn scattered_samples_give_slope_error() {
    let mut samples = on_line(1.0, 1.2, &[0.0, 0.0, 1.0, 1.0, 2.0, 2.0]);
    for (number, sample) in samples.iter_mut().enumerate() {
        sample.log_attempts += if number % 2 == 0 { 0.1 } else { -0.1 };
    }
    let line = Line::fit(&samples).expect("a line");
    assert!(
        (line.slope.exp() - 1.2).abs() < 1e-9,
        "errors cancel out at each depth"
    );
    // The squared residuals of 6 samples sum to 6 * 0.1^2; divided by 6 - 2 degrees of freedom, the variance is 0.015.
    // The squared deviations of the hops from their mean sum to 4.
    assert!((line.slope_error - (0.015_f64 / 4.0).sqrt()).abs() < 1e-9);
}

#[test]
fn fits_no_line_to_a_single_depth() {
    assert!(Line::fit(&on_line(1.0, 1.2, &[1.0, 1.0, 1.0])).is_none());
}
