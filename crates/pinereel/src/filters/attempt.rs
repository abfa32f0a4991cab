//! Attempts: how long one waits, how it ends, and that the engine hears of one that is given up.

use crate::{engines, state::Shared};
use compact_str::CompactString;
use pinereel_core::endpoint::AttemptEnd;
use std::{rc::Rc, time::Duration};

/// Reason that an endpoint gives when it refuses because it is leaving.
pub const LEAVING_REASON: &str = "leaving";
/// Share of the time left that one silent endpoint may use up.
const SILENCE_DIVISOR: u32 = 3;
/// Least time that a silent endpoint gets.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Longest silence of an endpoint when `left` is left until the deadline, so that another endpoint
/// can still answer.
pub fn silence_timeout(left: Duration) -> Duration {
    (left / SILENCE_DIVISOR).max(MIN_SILENCE).min(left)
}

/// What an engine's error says about the engine.
pub fn attempt_end(error: &engines::Error) -> AttemptEnd {
    match error {
        engines::Error::NotOpened(_) => AttemptEnd::ConnectionRefused,
        engines::Error::Refused(reason) if reason == LEAVING_REASON => AttemptEnd::Leaving,
        engines::Error::Refused(_) => AttemptEnd::Overloaded,
        engines::Error::Fenced => AttemptEnd::Completed,
        engines::Error::Lost(_) | engines::Error::Malformed(_) => AttemptEnd::Failed,
    }
}

/// Whether the attempt may have run in spite of the error.
pub fn error_may_have_run(error: &engines::Error) -> bool {
    match error {
        engines::Error::NotOpened(_) | engines::Error::Refused(_) => false,
        engines::Error::Fenced | engines::Error::Lost(_) | engines::Error::Malformed(_) => true,
    }
}

/// An attempt at an engine. Dropped before its end, it is cancelled there.
pub struct AttemptGuard {
    shared: Rc<Shared>,
    address: CompactString,
    id: CompactString,
    ended: bool,
}

impl AttemptGuard {
    /// An attempt that is about to be sent.
    pub fn new(shared: &Rc<Shared>, address: &str, id: CompactString) -> Self {
        Self {
            shared: Rc::clone(shared),
            address: address.into(),
            id,
            ended: false,
        }
    }

    /// The engine has ended it or never got it.
    pub fn ended(mut self) {
        self.ended = true;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let address = std::mem::take(&mut self.address);
        engines::abandon(&self.shared.http, address, std::mem::take(&mut self.id));
    }
}
