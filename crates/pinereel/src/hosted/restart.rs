//! Restarts a task that panics, so that one malformed input does not end all further work of its kind.

use futures_util::FutureExt as _;
use std::{panic::AssertUnwindSafe, time::Duration};
use tokio::time::sleep;

/// Delay before the restart, which bounds the log lines about an input that causes a panic each time.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs `task`, and again after each panic, until it ends by itself. What it shares with others must be valid
/// after a panic.
pub async fn restart_on_panic(name: &'static str, task: impl AsyncFn()) {
    while let Err(panic) = AssertUnwindSafe(task()).catch_unwind().await {
        let text = panic.downcast_ref::<&str>().copied();
        let why = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
        log::error!(task = name, why:serde = why; "task panicked, restarting it");
        sleep(RESTART_DELAY).await;
    }
}
