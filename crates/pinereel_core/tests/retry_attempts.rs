//! When a request is sent again, waited for or given up.

use pinereel_core::retry::{Attempts, Failure, Limits, Resolution, Step};
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
    assert_eq!(request.next_step(ms(0)), Step::Send);
    request.record_send(ms(0));
    assert_eq!(request.next_step(ms(10)), Step::Wait(Some(ms(75))));
    assert_eq!(request.next_step(ms(75)), Step::Send);
    request.record_send(ms(75));
    assert_eq!(
        request.next_step(ms(500)),
        Step::Wait(None),
        "no third attempt"
    );
}

#[test]
fn a_request_that_must_not_run_twice_is_sent_again_only_if_it_did_not_run() {
    let mut request = attempts(false, 4);
    assert_eq!(request.next_step(ms(0)), Step::Send);
    request.record_send(ms(0));
    assert_eq!(
        request.next_step(ms(1_000)),
        Step::Wait(None),
        "never hedged"
    );
    request.record_failure(Failure::Refused);
    assert_eq!(request.next_step(ms(1_000)), Step::Send);
    request.record_send(ms(1_000));
    request.record_failure(Failure::Lost);
    assert_eq!(
        request.next_step(ms(1_100)),
        Step::Done(Resolution::Unknown)
    );
}

#[test]
fn a_request_that_every_endpoint_refused_is_reported_as_not_run() {
    let mut request = attempts(true, 3);
    for _ in 0..4 {
        assert_eq!(request.next_step(ms(0)), Step::Send);
        request.record_send(ms(0));
        request.record_failure(Failure::Refused);
    }
    assert_eq!(request.next_step(ms(0)), Step::Done(Resolution::NotRun));
}

#[test]
fn an_error_answer_is_returned_only_if_no_other_attempt_succeeds() {
    let mut request = attempts(true, 2);
    assert_eq!(request.next_step(ms(0)), Step::Send);
    request.record_send(ms(0));
    assert!(!request.accept(500));
    request.keep_error_answer(500);
    assert_eq!(request.next_step(ms(5)), Step::Send);
    request.record_send(ms(5));
    request.record_failure(Failure::InvalidAnswer);
    assert_eq!(
        request.next_step(ms(9)),
        Step::Done(Resolution::ErrorAnswer(500))
    );
    assert_eq!(request.internal_errors(), 1, "an invalid answer is none");
    assert!(attempts(true, 2).accept(404), "a client error is final");
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Config::default() })]
    /// For any sequence of events: no more attempts run than allowed, a request that is not
    /// repeatable runs at most once, and `NotRun` is reported only if no attempt may have run.
    #[test]
    fn attempts_are_bounded_and_not_run_is_reported_only_if_none_may_have_run(repeatable in any::<bool>(), max in 1u32..5, events in prop::collection::vec(0u8..6, 0..40)) {
        let mut request = attempts(repeatable, max);
        let (mut in_flight, mut may_have_run, mut now) = (0u32, 0u32, 0);
        let mut events = events.into_iter();
        loop {
            now += 20;
            match request.next_step(ms(now)) {
                Step::Send => {
                    request.record_send(ms(now));
                    in_flight += 1;
                    let max_attempts = if repeatable { max } else { 1 };
                    prop_assert!(in_flight + may_have_run <= max_attempts);
                }
                Step::Wait(_) => {
                    let Some(event) = events.next() else { break };
                    match event {
                        0 => request.record_failure(Failure::Refused),
                        1 => request.record_failure(Failure::NotOpened),
                        2 => request.record_failure(Failure::Lost),
                        3 => request.record_failure(Failure::InvalidAnswer),
                        // Time passes.
                        4 => continue,
                        _ => {
                            if request.accept(500) {
                                break;
                            }
                            request.keep_error_answer(500);
                        }
                    }
                    in_flight -= 1;
                    may_have_run += u32::from(event >= 2);
                }
                Step::Done(resolution) => {
                    prop_assert_eq!(in_flight, 0);
                    prop_assert_eq!(resolution == Resolution::NotRun, may_have_run == 0);
                    break;
                }
            }
        }
    }
}

/// Attempts of a request that fails at every endpoint took four times as long one after the other.
#[test]
fn after_an_internal_error_the_attempts_left_may_start_together() {
    let mut request = attempts(true, 4);
    assert_eq!(request.next_step(ms(0)), Step::Send);
    request.record_send(ms(0));
    request.retry_in_parallel();
    assert_eq!(
        request.next_step(ms(10)),
        Step::Wait(Some(ms(75))),
        "not before an error"
    );
    assert!(!request.accept(500));
    request.retry_in_parallel();
    for _ in 0..3 {
        assert_eq!(request.next_step(ms(70)), Step::Send);
        request.record_send(ms(70));
    }
    assert_eq!(
        request.next_step(ms(500)),
        Step::Wait(None),
        "no fifth attempt"
    );
    assert!(!request.accept(500));
    assert!(!request.accept(500));
    assert_eq!(request.next_step(ms(500)), Step::Wait(None));
    assert!(request.accept(500), "the last error is the answer");
    assert_eq!(request.internal_errors(), 4);
}

/// A request under which endpoints have crashed, or that must not run twice, is never sent twice at
/// the same time.
#[test]
fn restricted_requests_are_not_retried_in_parallel() {
    let mut once = attempts(false, 4);
    once.record_send(ms(0));
    assert!(once.accept(500));
    let mut suspected = attempts(true, 4);
    suspected.disable_hedging();
    suspected.record_send(ms(0));
    assert!(!suspected.accept(500));
    suspected.retry_in_parallel();
    assert_eq!(suspected.next_step(ms(10)), Step::Send);
    suspected.record_send(ms(10));
    assert_eq!(suspected.next_step(ms(20)), Step::Wait(None));
}
