//! When a request is sent again, waited for or given up.

use pinereel_core::relay::{Attempts, Ended, Limits, Step, Verdict};
use proptest::{prelude::*, test_runner::Config};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn attempts(repeatable: bool, max_attempts: u32) -> Attempts<u16> {
    Attempts::new(Limits {
        repeatable,
        max_attempts,
        objective: OBJECTIVE,
    })
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_second_endpoint_is_tried_at_half_the_objective() {
    let mut request = attempts(true, 2);
    assert_eq!(request.next(ms(0)), Step::Send);
    request.sent(ms(0));
    assert_eq!(request.next(ms(10)), Step::Wait(Some(ms(75))));
    assert_eq!(request.next(ms(75)), Step::Send);
    request.sent(ms(75));
    assert_eq!(request.next(ms(500)), Step::Wait(None), "no third one");
}

#[test]
fn what_may_run_once_is_sent_again_only_if_it_did_not_run() {
    let mut request = attempts(false, 4);
    assert_eq!(request.next(ms(0)), Step::Send);
    request.sent(ms(0));
    assert_eq!(request.next(ms(1_000)), Step::Wait(None), "never hedged");
    request.ended(Ended::Refused);
    assert_eq!(request.next(ms(1_000)), Step::Send);
    request.sent(ms(1_000));
    request.ended(Ended::Lost);
    assert_eq!(request.next(ms(1_100)), Step::Done(Verdict::Unknown));
}

#[test]
fn refused_everywhere_is_not_run() {
    let mut request = attempts(true, 3);
    for _ in 0..4 {
        assert_eq!(request.next(ms(0)), Step::Send);
        request.sent(ms(0));
        request.ended(Ended::Refused);
    }
    assert_eq!(request.next(ms(0)), Step::Done(Verdict::NotRun));
}

#[test]
fn an_endpoints_failure_is_passed_on_only_if_no_other_does_better() {
    let mut request = attempts(true, 2);
    assert_eq!(request.next(ms(0)), Step::Send);
    request.sent(ms(0));
    assert!(!request.accepts(500));
    request.keep(500);
    assert_eq!(request.next(ms(5)), Step::Send);
    request.sent(ms(5));
    request.ended(Ended::Garbled);
    assert_eq!(request.next(ms(9)), Step::Done(Verdict::Kept(500)));
    assert!(attempts(true, 2).accepts(404), "a caller's own fault");
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Config::default() })]
    /// Whatever happens: never more runs than allowed, what may run once runs once, and "not run" is
    /// said only if nothing may have run.
    #[test]
    fn promises_hold(repeatable in any::<bool>(), max in 1u32..5, ends in prop::collection::vec(0u8..6, 0..40)) {
        let mut request = attempts(repeatable, max);
        let (mut running, mut ran, mut now) = (0u32, 0u32, 0);
        let mut ends = ends.into_iter();
        loop {
            now += 20;
            match request.next(ms(now)) {
                Step::Send => {
                    request.sent(ms(now));
                    running += 1;
                    let most = if repeatable { max } else { 1 };
                    prop_assert!(running + ran <= most);
                }
                Step::Wait(_) => {
                    let Some(end) = ends.next() else { break };
                    match end {
                        0 => request.ended(Ended::Refused),
                        1 => request.ended(Ended::NotOpened),
                        2 => request.ended(Ended::Lost),
                        3 => request.ended(Ended::Garbled),
                        // Time passes.
                        4 => continue,
                        _ => {
                            if request.accepts(500) {
                                break;
                            }
                            request.keep(500);
                        }
                    }
                    running -= 1;
                    ran += u32::from(end >= 2);
                }
                Step::Done(verdict) => {
                    prop_assert_eq!(running, 0);
                    prop_assert_eq!(verdict == Verdict::NotRun, ran == 0);
                    break;
                }
            }
        }
    }
}
