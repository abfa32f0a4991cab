//! Measurement of how late the tasks of a process run.

use pinereel::scheduling_delay::SchedulingDelay;
use std::{thread, time::Duration};
use tokio::time::sleep;

/// Longer than the tasks of a test are delayed on an idle machine.
const DELAY: Duration = Duration::from_millis(300);

#[actix_rt::test]
async fn a_thread_that_does_not_run_for_a_while_is_measured() {
    let delay = SchedulingDelay::start();
    sleep(Duration::from_millis(50)).await;
    // Stands for a machine that runs other processes meanwhile.
    thread::sleep(DELAY);
    sleep(Duration::from_millis(50)).await;
    assert!(delay.recent_max() >= DELAY - Duration::from_millis(30));
}

#[tokio::test(start_paused = true)]
async fn a_delay_is_forgotten_after_two_periods() {
    let local = tokio::task::LocalSet::new();
    let measured = local.run_until(async {
        let delay = SchedulingDelay::start();
        sleep(Duration::from_millis(50)).await;
        tokio::time::advance(DELAY).await;
        sleep(Duration::from_millis(50)).await;
        let after_delay = delay.recent_max();
        sleep(Duration::from_millis(2_500)).await;
        (after_delay, delay.recent_max())
    });
    let (after_delay, later) = measured.await;
    assert!(
        after_delay >= DELAY - Duration::from_millis(30),
        "{after_delay:?}"
    );
    assert!(later < Duration::from_millis(30), "{later:?}");
}
