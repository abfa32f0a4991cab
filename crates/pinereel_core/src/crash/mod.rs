//! Requests under which endpoints crash.

mod identity;

pub use identity::{Identity, Malformed, Parts};
