//! Pins a request to the configuration in force here.

use super::not_run;
use crate::{controllers::config::Pin, state::Shared};
use compact_str::CompactString;
use pinereel_api::{Problem, problem::Code};
use pinereel_core::config::Refusal;

/// When a caller shall come back to an entry that cannot confirm its configuration.
const RETRY_AFTER_MS: u64 = 1_000;

/// The configuration that a request is served under.
///
/// # Errors
/// `Unavailable` while the entry may not admit requests: it drains, starts, was paused, is behind,
/// does not know a patch's result, or is cut off. Asked for each request.
pub fn pin(shared: &Shared) -> Result<Pin, Problem> {
    if shared.drain.refuses() {
        return Err(unavailable("this instance is draining"));
    }
    match shared.config.admits(shared.now()) {
        Ok(pin) => Ok(pin),
        Err(refusal) => Err(unavailable(refusal.to_string())),
    }
}

/// The configuration in force here, also while no request is admitted under it.
///
/// # Errors
/// `Unavailable` before the first read.
pub fn last_known(shared: &Shared) -> Result<Pin, Problem> {
    let pin = shared.config.pin();
    pin.ok_or_else(|| unavailable(Refusal::Starting.to_string()))
}

/// The configuration number, if the balancer may send connections here.
///
/// # Errors
/// `Unavailable` from the start of a drain on, earlier than requests are refused, and before the
/// endpoints are known.
pub fn ready(shared: &Shared) -> Result<u64, Problem> {
    if shared.drain.asked() {
        return Err(unavailable("this instance is draining"));
    }
    if !shared.endpoints.are_listed() {
        return Err(unavailable("the endpoints are not known yet"));
    }
    pin(shared).map(|pin| pin.number)
}

fn unavailable(message: impl Into<CompactString>) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..not_run(Code::Unavailable, message)
    }
}
