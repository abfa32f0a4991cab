//! The lasting value of reported slowdowns and of observed intervals.

use pinereel_core::{
    Time,
    endpoint::speed::{Intervals, REPORT_TTL, Slowdown},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Reports every 100 ms, from the first time to the second.
fn report(slowdown: &mut Slowdown, from: u64, to: u64, percent: u32) {
    for millis in (from..to).step_by(100) {
        slowdown.report(at(millis), Some(percent));
    }
}

/// Failure: a moment of 2.5 times the usual figure counts, or a fault does not.
#[test]
fn an_increase_counts_once_it_has_lasted_and_a_decrease_at_once() {
    let mut slowdown = Slowdown::default();
    report(&mut slowdown, 0, 2_000, 120);
    report(&mut slowdown, 2_000, 3_000, 300);
    assert_eq!(slowdown.lasting(at(2_900)), Some(1.2), "a moment");
    assert_eq!(slowdown.current(at(2_900)), Some(3.0));
    report(&mut slowdown, 3_000, 3_700, 300);
    assert_eq!(slowdown.lasting(at(3_700)), Some(3.0), "it lasts");
    slowdown.report(at(4_000), Some(120));
    assert_eq!(slowdown.lasting(at(4_000)), Some(1.2), "it has ended");
    report(&mut slowdown, 4_100, 6_000, 120);
    report(&mut slowdown, 6_000, 6_800, 780);
    assert_eq!(slowdown.lasting(at(6_800)), Some(7.8), "a fault");
}

/// Failure: an engine that sends no more reports is rated by the last one for good.
#[test]
fn reports_expire() {
    let mut slowdown = Slowdown::default();
    slowdown.report(at(1_000), Some(650));
    let expired = at(1_000) + REPORT_TTL;
    assert_eq!(slowdown.lasting(expired), None);
    assert_eq!(slowdown.current(expired), None);
    assert_eq!(
        slowdown.current(at(3_500)),
        Some(3.75),
        "half of the excess"
    );
    slowdown.report(expired, None);
    assert!(!slowdown.is_reported());
}

/// Failure: two events that arrive together, 0 ms apart, make an engine look infinitely fast.
#[test]
fn events_that_arrive_together_do_not_count_as_fast() {
    let mut intervals = Intervals::default();
    for number in 0..40 {
        let now = at(number * 100);
        intervals.observe(now, 100.0);
        intervals.observe(now, 0.0);
        if number > 0 {
            let lasting = intervals.lasting_ms().expect("observed");
            assert!(lasting >= 50.0, "{lasting}");
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// The estimate lies within the values that were reported, at any times, and never panics.
    #[test]
    fn the_lasting_value_lies_within_the_reported_ones(
        reports in vec((0..2_000u64, 1..=10_000u32), 1..60),
    ) {
        let mut slowdown = Slowdown::default();
        let mut intervals = Intervals::default();
        let mut millis = 0;
        for (pause, percent) in &reports {
            millis += pause;
            slowdown.report(at(millis), Some(*percent));
            intervals.observe(at(millis), f64::from(*percent));
        }
        let percents = reports.iter().map(|(_, percent)| f64::from(*percent));
        let (low, high) = percents.fold((f64::MAX, 0.0), |(low, high): (f64, f64), percent| {
            (low.min(percent), high.max(percent))
        });
        let bounds = low * 0.999..=high * 1.001;
        let lasting = slowdown.lasting(at(millis)).expect("reported now");
        prop_assert!(bounds.contains(&(lasting * 100.0)));
        let later = at(millis) + Duration::from_secs(1);
        prop_assert!(slowdown.current(later).is_some_and(|factor| factor > 0.0));
        if let Some(interval) = intervals.lasting_ms() {
            prop_assert!(bounds.contains(&interval));
        }
    }
}
