//! The capacity tool's arithmetic.

use pinereel_fakes::capacity::{
    fit::{Fit, Slope},
    meter::{cpu, micros},
    target::{self, Measured, estimates},
};

#[test]
fn line_goes_through_points_that_lie_on_one() {
    let fit = Fit::of(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
    assert!((fit.at(100.0) - 203.0).abs() < 1e-9);
}

#[test]
fn residual_is_the_largest_distance_against_the_largest_value() {
    // The best line through these is flat at 10/3.
    let fit = Fit::of(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]);
    assert!(fit.slope.abs() < 1e-9);
    assert!((fit.residual - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn one_point_gives_a_flat_line() {
    let fit = Fit::of(&[(7.0, 4.0)]);
    assert_eq!((fit.at(0.0), fit.at(1_000.0)), (4.0, 4.0));
}

#[test]
fn falling_line_is_not_followed_beyond_its_points() {
    let falls = Slope::of("x", "%", "entry", vec![(10.0, 3.0), (20.0, 2.0)]);
    assert_eq!(
        (falls.at(15.0), falls.at(20.0), falls.at(350.0)),
        (2.5, 2.0, 2.0)
    );
    let grows = Slope::of("x", "%", "entry", vec![(10.0, 2.0), (20.0, 3.0)]);
    assert_eq!(grows.at(350.0), 36.0);
}

#[test]
fn only_what_was_measured_is_worked_out() {
    let mut measured = Measured::default();
    assert!(estimates(&measured).is_empty());
    // 10 µs an engine: 29 ms a tick, 20 ticks a second, 58% of a core.
    let tick = vec![(0.0, 0.0), (100.0, 1_000.0)];
    measured.add([Slope::of("rollout_tick", "µs", "engine", tick)]);
    let found = estimates(&measured);
    assert_eq!(found.len(), 1);
    assert!((found[0].value - 58.0).abs() < 1e-6);
    assert_eq!(found[0].fits(), Some(false));
}

#[test]
fn figures_of_the_target_agree_with_each_other() {
    // 2.1 million tokens a second for 32 minutes, over 19 x 8,192 samples.
    assert!((target::sample_tokens() - 25_904.6).abs() < 0.1);
    assert!((target::samples_each() - 444.7).abs() < 0.1);
}

#[test]
fn processor_time_counts_what_runs() {
    let start = cpu();
    let each = micros(|| (0..1_000u64).fold(0, |sum, i| sum ^ i.wrapping_mul(31)));
    assert!(each > 0.0 && cpu() > start);
}
