//! Pins a request to the configuration in force here.

use super::refuse;
use crate::{controllers::config::Pin, state::Shared};
use pinereel_api::{Problem, problem::Code};

/// When a caller shall come back to an entry that cannot confirm its configuration.
const RETRY_AFTER_MS: u64 = 1_000;

/// The configuration that a request is served under.
///
/// # Errors
/// `Unavailable` while the entry may not admit requests.
pub fn pin(shared: &Shared) -> Result<Pin, Problem> {
    if shared.drain.refuses() {
        return Err(later("this instance is draining"));
    }
    shared
        .config
        .pin()
        .ok_or_else(|| later("the configuration is not known yet"))
}

/// The configuration number, if the balancer may send connections here.
///
/// # Errors
/// `Unavailable` from the start of a drain on, earlier than requests are refused.
pub fn ready(shared: &Shared) -> Result<u64, Problem> {
    if shared.drain.asked() {
        return Err(later("this instance is draining"));
    }
    pin(shared).map(|pin| pin.number)
}

fn later(message: &'static str) -> Problem {
    Problem {
        retry_after_ms: Some(RETRY_AFTER_MS),
        ..refuse(Code::Unavailable, message)
    }
}
