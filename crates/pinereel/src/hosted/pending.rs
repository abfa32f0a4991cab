//! Waiting for what others are to be told.

use tokio::sync::watch;

/// What `take` gives, as soon as that is anything; it is asked again after each change.
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
