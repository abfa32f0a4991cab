//! Circuit breaker of the object API's client, with virtual time.

use pinereel::objects::Breaker;
use pinereel_core::Time;
use std::time::Duration;

fn after_failures(failures: u32) -> (Breaker, Time) {
    let mut breaker = Breaker::new(7);
    let mut now = Time::ZERO;
    for _ in 0..failures {
        now = now + Duration::from_secs(2);
        breaker.record_failure(now);
    }
    (breaker, now)
}

#[test]
fn two_failures_do_not_open_the_breaker() {
    let (breaker, now) = after_failures(2);
    assert!(breaker.allows(false, now));
    assert!(breaker.allows(true, now));
}

#[test]
fn an_urgent_call_does_not_wait_for_the_full_back_off() {
    let (breaker, now) = after_failures(12);
    let soon = now + Duration::from_millis(200);
    assert!(!breaker.allows(true, now));
    assert!(breaker.allows(true, soon));
    assert!(!breaker.allows(false, soon));
    assert!(breaker.allows(false, now + Duration::from_millis(1_250)));
}

#[test]
fn a_success_closes_the_breaker_for_all_calls() {
    let (mut breaker, now) = after_failures(12);
    breaker.record_success();
    assert!(breaker.allows(false, now));
    assert!(breaker.allows(true, now));
}

/// Leases and watches must still be sent while the urgent writes of lots keep failing. If each
/// failure extended the back-off, they never would be.
#[test]
fn urgent_failures_do_not_extend_the_back_off_of_other_calls() {
    let (mut breaker, start) = after_failures(12);
    let mut other_calls = 0;
    for step in 1..=20 {
        let now = start + Duration::from_millis(200 * step);
        if breaker.allows(false, now) {
            other_calls += 1;
        }
        if breaker.allows(true, now) {
            breaker.record_failure(now);
        }
    }
    // 4 s, with a maximum back-off of 1.25 s including jitter.
    assert!(other_calls >= 3, "{other_calls} other calls allowed");
}
