//! The stall detector delays requests after a stall, on the runtime's paused clock.

use pinereel::hosted::StallDetector;
use pinereel_core::Time;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, pause, sleep};

/// A clock that follows the runtime's, and can be moved on as if the machine had been suspended.
fn clock() -> (Rc<Cell<u64>>, impl Fn() -> Time + 'static) {
    let suspended = Rc::new(Cell::new(0));
    let (began, moved) = (Instant::now(), Rc::clone(&suspended));
    let now = move || Time(began.elapsed().as_micros() as u64 + moved.get());
    (suspended, now)
}

#[actix_rt::test]
async fn an_ordinary_process_waits_for_nothing() {
    pause();
    let (_, now) = clock();
    let detector = StallDetector::start(now);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(detector.remaining_catch_up(), Duration::ZERO);
}

/// A request that arrived before the stall is the first thing to run after it, before any periodic
/// check of the clock.
#[actix_rt::test]
async fn what_came_before_a_stand_still_waits_for_the_news() {
    pause();
    let (suspended, now) = clock();
    let detector = StallDetector::start(now);
    sleep(Duration::from_millis(500)).await;
    suspended.set(3_800_000);
    let woke = Instant::now();
    detector.wait_for_catch_up().await;
    assert!(woke.elapsed() >= Duration::from_millis(250));
    assert!(woke.elapsed() < Duration::from_millis(500));
    assert_eq!(detector.remaining_catch_up(), Duration::ZERO);
}

#[actix_rt::test]
async fn a_second_stand_still_counts_anew() {
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
