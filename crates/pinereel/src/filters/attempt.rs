//! Attempts at an engine: timeout while it sends nothing, classification of errors, and cancelling
//! an attempt that is abandoned.

use crate::{engines, state::Shared};
use compact_str::CompactString;
use pinereel_core::endpoint::AttemptEnd;
use std::{rc::Rc, time::Duration};

/// Value of the `x-refused` header of an endpoint that refuses a request because it is leaving.
pub const LEAVING_REASON: &str = "leaving";
/// One endpoint that sends nothing may use up 1/`SILENCE_DIVISOR` of the time to the deadline.
const SILENCE_DIVISOR: u32 = 3;
/// Minimum timeout for an endpoint that sends nothing, unless the deadline is nearer.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time without data from an endpoint, for a request whose deadline is `remaining` ahead.
/// Bounded so that another endpoint can still answer.
pub fn silence_timeout(remaining: Duration) -> Duration {
    (remaining / SILENCE_DIVISOR)
        .max(MIN_SILENCE_TIMEOUT)
        .min(remaining)
}

/// Maps an engine's error to the attempt's end that load balancing records for the endpoint.
pub fn attempt_end(error: &engines::Error) -> AttemptEnd {
    match error {
        engines::Error::NotOpened(_) => AttemptEnd::ConnectionRefused,
        engines::Error::Refused(reason) if reason == LEAVING_REASON => AttemptEnd::Leaving,
        engines::Error::Refused(_) => AttemptEnd::Overloaded,
        engines::Error::Fenced => AttemptEnd::Completed,
        engines::Error::Lost(_) | engines::Error::Malformed(_) => AttemptEnd::Failed,
    }
}

/// Whether the engine may have run the attempt although it ended with this error.
pub fn error_may_have_run(error: &engines::Error) -> bool {
    match error {
        engines::Error::NotOpened(_) | engines::Error::Refused(_) => false,
        engines::Error::Fenced | engines::Error::Lost(_) | engines::Error::Malformed(_) => true,
    }
}

/// Guard of an attempt at an engine: cancels the attempt there if it is dropped before
/// [`ended`](Self::ended) was called.
pub struct CancelGuard {
    shared: Rc<Shared>,
    address: CompactString,
    id: CompactString,
    ended: bool,
}

impl CancelGuard {
    /// Creates the guard; call it before the attempt is sent.
    pub fn new(shared: &Rc<Shared>, address: &str, id: CompactString) -> Self {
        Self {
            shared: Rc::clone(shared),
            address: address.into(),
            id,
            ended: false,
        }
    }

    /// Drops the guard without a cancel: the engine ended the attempt or never received it.
    pub fn ended(mut self) {
        self.ended = true;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let address = std::mem::take(&mut self.address);
        engines::cancel_detached(&self.shared.http, address, std::mem::take(&mut self.id));
    }
}
