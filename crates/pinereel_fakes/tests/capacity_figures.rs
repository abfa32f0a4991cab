//! Fits, estimates and CPU time measurement of the capacity tool.

use pinereel_fakes::capacity::{
    estimate::{self, Measurements, estimates},
    fit::{Fit, Measurement},
    meter::{cpu_micros_per_call, thread_cpu_time},
};

#[test]
fn fit_of_collinear_points_passes_through_them() {
    let fit = Fit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
    assert!((fit.at(100.0) - 203.0).abs() < 1e-9);
}

#[test]
fn residual_is_maximum_distance_relative_to_maximum_value() {
    // The least-squares line through these points is flat at 10/3.
    let fit = Fit::new(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]);
    assert!(fit.slope.abs() < 1e-9);
    assert!((fit.residual - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn fit_of_one_point_is_flat() {
    let fit = Fit::new(&[(7.0, 4.0)]);
    assert_eq!((fit.at(0.0), fit.at(1_000.0)), (4.0, 4.0));
}

#[test]
fn falling_line_is_not_extrapolated_beyond_its_points() {
    let falling = Measurement::new("x", "%", "entry", vec![(10.0, 3.0), (20.0, 2.0)]);
    assert_eq!(
        (falling.at(15.0), falling.at(20.0), falling.at(350.0)),
        (2.5, 2.0, 2.0)
    );
    let growing = Measurement::new("x", "%", "entry", vec![(10.0, 2.0), (20.0, 3.0)]);
    assert_eq!(growing.at(350.0), 36.0);
}

#[test]
fn estimates_need_their_measurements() {
    let mut measurements = Measurements::default();
    assert!(estimates(&measurements).is_empty());
    // 10 µs per engine are 29 ms per tick, which is 58% of a core at 20 ticks per second.
    let ticks = vec![(0.0, 0.0), (100.0, 1_000.0)];
    measurements.add([Measurement::new("rollout_tick", "µs", "engine", ticks)]);
    let estimates = estimates(&measurements);
    assert_eq!(estimates.len(), 1);
    assert!((estimates[0].value - 58.0).abs() < 1e-6);
    assert_eq!(estimates[0].is_within_bound(), Some(false));
}

#[test]
fn tokens_and_samples_follow_from_the_expected_size() {
    // 2.1 million tokens per second for 32 minutes, divided by 19 x 8,192 samples.
    assert!((estimate::tokens_per_sample() - 25_904.6).abs() < 0.1);
    assert!((estimate::samples_per_entry() - 444.7).abs() < 0.1);
}

#[test]
fn cpu_time_of_a_call_is_measured() {
    let start = thread_cpu_time();
    let micros = cpu_micros_per_call(|| (0..1_000u64).fold(0, |sum, i| sum ^ i.wrapping_mul(31)));
    assert!(micros > 0.0 && thread_cpu_time() > start);
}
