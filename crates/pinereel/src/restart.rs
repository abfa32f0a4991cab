//! Restarts a task that panics, so that one malformed input does not end all further work of its kind.

use crate::logging::panic_text;
use futures_util::FutureExt as _;
use std::{
    panic::AssertUnwindSafe,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::sleep;

/// Delay before the restart, which bounds the log lines about an input that causes a panic each time.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Number of restarts of all tasks of the process.
static RESTARTS: AtomicU64 = AtomicU64::new(0);

/// Runs `task`, and again after each panic, until it ends by itself. What it shares with others must be valid
/// after a panic.
pub async fn restart_on_panic(name: &'static str, task: impl AsyncFn()) {
    while let Err(panic) = AssertUnwindSafe(task()).catch_unwind().await {
        RESTARTS.fetch_add(1, Ordering::Relaxed);
        log::error!(task = name, why:serde = panic_text(&*panic); "task panicked, restarting it");
        sleep(RESTART_DELAY).await;
    }
}

/// Spawns `task` on the current thread, as of [`restart_on_panic`].
pub(crate) fn spawn_restarted(name: &'static str, task: impl AsyncFn() + 'static) {
    actix_rt::spawn(async move { restart_on_panic(name, task).await });
}

/// Number of restarts of all tasks since the start of the process.
pub fn restart_count() -> u64 {
    RESTARTS.load(Ordering::Relaxed)
}
