//! How attempts end, as far as it speaks about the endpoint.

use crate::engines;
use pinereel_core::endpoint::End;

/// Reason that an endpoint gives when it refuses because it is leaving.
pub const LEAVING: &str = "leaving";

/// What an engine's error says about the engine.
pub fn end_of(error: &engines::Error) -> End {
    match error {
        engines::Error::NotOpened(_) => End::ConnectionRefused,
        engines::Error::Refused(reason) if reason == LEAVING => End::Leaving,
        engines::Error::Refused(_) => End::Overloaded,
        engines::Error::Fenced => End::Whole,
        engines::Error::Lost(_) | engines::Error::Malformed(_) => End::Failed,
    }
}
