//! The token bucket never grants more additional attempts than its settings allow.

use pinereel_core::{
    Time,
    budget::{Bucket, Settings},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn granted_attempts_stay_within_the_budget(
        ops in vec((0..4u8, 0..2_000u64), 1..300),
        hedge in any::<bool>(),
    ) {
        let settings = if hedge { Settings::HEDGE } else { Settings::RETRY };
        let (mut now, mut bucket) = (Time::ZERO, Bucket::new(settings, Time::ZERO));
        let (mut successes, mut granted, mut refused) = (0.0, 0.0, 0);
        for (op, millis) in ops {
            match op {
                0 => now = now + Duration::from_millis(millis),
                1 => {
                    bucket.note_success(now);
                    successes += 1.0;
                }
                _ if bucket.take(now) => granted += 1.0,
                _ => refused += 1,
            }
            let bound = settings.burst
                + settings.tokens_per_success * successes
                + settings.tokens_per_second * now.since(Time::ZERO).as_secs_f64();
            prop_assert!(granted <= bound + 1e-6);
            prop_assert!(refused == 0 || granted >= settings.burst.floor());
        }
    }
}

#[test]
fn the_budget_refills_over_time_without_successes() {
    let mut bucket = Bucket::new(Settings::RETRY, Time::ZERO);
    let granted = (0..100).filter(|_| bucket.take(Time::ZERO)).count();
    assert_eq!(granted, 20);
    assert!(bucket.take(Time::from_millis(1_000)));
    assert!(!bucket.take(Time::from_millis(1_000)));
}
