//! Pins each request to the configuration in force on this entry, and checks readiness.

use super::not_run;
use crate::{controllers::config::Snapshot, state::Shared};
use compact_str::CompactString;
use pinereel_api::{Problem, problem::Code};
use pinereel_core::config::Refusal;

/// `retry_after_ms` of an entry that does not admit requests.
const RETRY_AFTER_MS: u64 = 1_000;

/// Returns the configuration under which a new request is served; called for each request.
///
/// # Errors
/// `Unavailable` while the entry may not admit requests: it is draining, is starting, was paused,
/// has an old configuration, does not know a patch's result, or is disconnected.
pub fn pin(shared: &Shared) -> Result<Snapshot, Problem> {
    if shared.drain.refuses_requests() {
        return Err(unavailable("this instance is draining"));
    }
    match shared.config.admits(shared.now()) {
        Ok(snapshot) => Ok(snapshot),
        Err(refusal) => Err(unavailable(refusal.to_string())),
    }
}

/// Returns the last known configuration, also while no request is admitted under it.
///
/// # Errors
/// `Unavailable` before the first read.
pub fn last_known(shared: &Shared) -> Result<Snapshot, Problem> {
    let snapshot = shared.config.snapshot();
    snapshot.ok_or_else(|| unavailable(Refusal::Starting.to_string()))
}

/// Readiness: returns the configuration number if the load balancer may send connections here.
///
/// # Errors
/// As [`pin`]; also `Unavailable` from the start of a drain on, which is earlier than requests are
/// refused, and before the endpoints are known.
pub fn ready(shared: &Shared) -> Result<u64, Problem> {
    if shared.drain.is_stop_requested() {
        return Err(unavailable("this instance is draining"));
    }
    if !shared.endpoints.is_list_read() {
        return Err(unavailable("the endpoints are not known yet"));
    }
    pin(shared).map(|snapshot| snapshot.number)
}

fn unavailable(message: impl Into<CompactString>) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..not_run(Code::Unavailable, message)
    }
}
