//! Waiting for what others are to be told.

use tokio::sync::watch;

/// What `take` gives, as soon as that is anything; it is asked again after each change.
pub async fn next<T>(
    mut changes: watch::Receiver<u64>,
    mut take: impl FnMut() -> Vec<T>,
) -> Vec<T> {
    loop {
        let news = take();
        if !news.is_empty() {
            return news;
        }
        if changes.changed().await.is_err() {
            // The process is ending.
            std::future::pending::<()>().await;
        }
    }
}
