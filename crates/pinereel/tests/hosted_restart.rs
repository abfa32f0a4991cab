//! A task that panics is started again.

use pinereel::hosted::{StallDetector, restart_count, restart_on_panic};
use pinereel_core::Time;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, pause, sleep};

/// The task that applies the configuration ended with a panic, and the instance kept its old configuration
/// for good.
#[actix_rt::test]
async fn a_task_runs_again_after_each_panic_until_it_ends() {
    pause();
    let started_at = Instant::now();
    let runs = Cell::new(0);
    restart_on_panic("test", async || {
        runs.set(runs.get() + 1);
        assert!(runs.get() >= 4, "the first three runs panic");
    })
    .await;
    assert_eq!(runs.get(), 4);
    assert!(started_at.elapsed() <= Duration::from_secs(4));
}

/// A long-lived task of an instance ended with its first panic, and its work with it.
#[actix_rt::test]
async fn a_long_lived_task_goes_on_after_a_panic() {
    pause();
    let readings = Rc::new(Cell::new(0));
    let counted = Rc::clone(&readings);
    let restarts = restart_count();
    let _detector = StallDetector::start(move || {
        counted.set(counted.get() + 1);
        assert_ne!(counted.get(), 3, "provoked by the test");
        Time::from_millis(counted.get())
    });
    sleep(Duration::from_secs(3)).await;
    assert!(readings.get() > 5, "{} readings", readings.get());
    assert!(restart_count() > restarts);
}
