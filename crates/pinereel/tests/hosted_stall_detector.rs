//! The stall detector delays requests after a stall, on the runtime's paused clock.

use pinereel::hosted::StallDetector;
use pinereel_core::Time;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, pause, sleep};

/// A clock that follows the runtime's and can be advanced, as if the machine had been suspended.
fn clock() -> (Rc<Cell<u64>>, impl Fn() -> Time + 'static) {
    let suspended = Rc::new(Cell::new(0));
    let (started_at, offset) = (Instant::now(), Rc::clone(&suspended));
    let now = move || Time(started_at.elapsed().as_micros() as u64 + offset.get());
    (suspended, now)
}

#[actix_rt::test]
async fn a_process_without_a_stall_does_not_wait() {
    pause();
    let (_, now) = clock();
    let detector = StallDetector::start(now);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(detector.remaining_catch_up(), Duration::ZERO);
}

/// A request that arrived before the stall is the first thing to run after it, before any periodic
/// check of the clock.
#[actix_rt::test]
async fn a_request_from_before_a_stall_waits_for_the_updates() {
    pause();
    let (suspended, now) = clock();
    let detector = StallDetector::start(now);
    sleep(Duration::from_millis(500)).await;
    suspended.set(3_800_000);
    let resumed_at = Instant::now();
    detector.wait_for_catch_up().await;
    assert!(resumed_at.elapsed() >= Duration::from_millis(250));
    assert!(resumed_at.elapsed() < Duration::from_millis(500));
    assert_eq!(detector.remaining_catch_up(), Duration::ZERO);
}

#[actix_rt::test]
async fn each_stall_starts_a_new_wait() {
    pause();
    let (suspended, now) = clock();
    let detector = StallDetector::start(now);
    for millis in [3_800, 7_600] {
        sleep(Duration::from_millis(500)).await;
        suspended.set(millis * 1_000);
        assert!(!detector.remaining_catch_up().is_zero());
        detector.wait_for_catch_up().await;
    }
}
