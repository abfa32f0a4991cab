//! A task that panics is started again.

use pinereel::hosted::restart_on_panic;
use std::{cell::Cell, time::Duration};
use tokio::time::{Instant, pause};

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
