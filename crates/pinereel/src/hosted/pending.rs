//! Waits until there are reports to send to other instances: crash reports or usage reports.

use tokio::sync::watch;

/// The first batch of `take_pending` that is not empty. `take_pending` is called immediately, and again
/// after each change.
pub async fn next_batch<T>(
    mut changes: watch::Receiver<u64>,
    mut take_pending: impl FnMut() -> Vec<T>,
) -> Vec<T> {
    loop {
        let batch = take_pending();
        if !batch.is_empty() {
            return batch;
        }
        if changes.changed().await.is_err() {
            // The process is ending.
            std::future::pending::<()>().await;
        }
    }
}
