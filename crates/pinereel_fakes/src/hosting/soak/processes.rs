//! Starts processes that ended by themselves again, and judges the ends and the memory of all processes.

use super::start_with_present_settings;
use crate::hosting::{process::MAX_OUTPUT_DELAY, site::Site};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Interval at which processes are observed. A rise of memory right before an end may be missed within it.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the end of a process until the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Observes all processes, and starts those again that ended by themselves. Never ends.
pub(super) async fn watch(site: Rc<RefCell<Site>>) {
    loop {
        sleep(OBSERVATION_INTERVAL).await;
        let site = &mut *site.borrow_mut();
        for index in 0..site.instances.len() {
            let instance = &mut site.instances[index];
            instance.observe();
            let ended_at = instance.ended_by_itself_at();
            if ended_at.is_some_and(|at| at.elapsed() >= RESTART_DELAY) {
                start_with_present_settings(site, index);
            }
        }
    }
}

/// Records a violation for each process that ended by itself, and for each instance that took more memory than
/// `limit`, in bytes. Returns a summary.
pub(super) async fn check(site: &RefCell<Site>, limit: u64, started: Instant) -> String {
    // The last ends are observed until then.
    sleep(MAX_OUTPUT_DELAY + OBSERVATION_INTERVAL * 2).await;
    let site = site.borrow();
    let (mut ended_by_themselves, mut ended, mut highest_peak) = (0, 0, 0);
    for instance in &site.instances {
        let name = &instance.name;
        for end in instance.ends() {
            ended += 1;
            if end.was_caused {
                continue;
            }
            ended_by_themselves += 1;
            let millis = end.at.saturating_duration_since(started).as_millis();
            let (status, lines) = (end.status, end.last_lines.join("\n  "));
            site.recorder.record_violation(format!(
                "the process of {name} ended by itself at {millis} ms: {status}; last lines:\n  {lines}"
            ));
        }
        let peak = instance.observed_peak_memory();
        highest_peak = highest_peak.max(peak);
        if peak > limit {
            site.recorder
                .record_violation(format!("{name} took {peak} of {limit} bytes"));
        }
    }
    format!(
        "{ended_by_themselves} of {ended} ends of processes not caused, memory at most {} of {} kB",
        highest_peak / 1_000,
        limit / 1_000
    )
}
