//! Types of all messages that cross a process boundary.
//!
//! This crate does no I/O. The daemon, the fakes and the tests share it, so that each message is
//! defined in one place.
//!
//! - [`object`]: the platform's object API.
//! - [`engine`]: model engines (completions, orders, state).
//! - [`trainer`]: trainers (submit, collect, publish).
//! - [`operator`]: the operators' listener.
//! - [`wire::Frame`]: messages between entries.
//! - [`problem::Problem`]: body of every error response.

pub mod engine;
pub mod header;
pub mod object;
pub mod operator;
pub mod problem;
pub mod trainer;
pub mod wire;

pub use problem::Problem;
