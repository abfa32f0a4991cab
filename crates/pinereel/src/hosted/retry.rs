//! Repeats what may fail for a while at the start: reading the settings file and opening listeners.

use compact_str::{CompactString, ToCompactString as _};
use std::{fmt::Display, time::Duration};
use tokio::time::{Instant, sleep};

/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between reports, so that a cause that keeps changing does not fill the log.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Calls `attempt` until it succeeds. `report` receives each failure whose text differs from that of the last
/// reported one.
pub async fn retry_until_ok<T, E: Display>(
    mut attempt: impl AsyncFnMut() -> Result<T, E>,
    report: impl Fn(&E),
) -> T {
    let mut last_report: Option<(CompactString, Instant)> = None;
    loop {
        let error = match attempt().await {
            Ok(value) => return value,
            Err(error) => error,
        };
        let text = error.to_compact_string();
        let is_due = last_report
            .as_ref()
            .is_none_or(|(last, at)| *last != text && at.elapsed() >= MIN_REPORT_INTERVAL);
        if is_due {
            report(&error);
            last_report = Some((text, Instant::now()));
        }
        sleep(RETRY_DELAY).await;
    }
}
