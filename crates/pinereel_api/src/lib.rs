//! Every message that crosses a process boundary, as types.
//!
//! This crate does no I/O. The daemon, the stand-ins and the tests share it, so that a change of a
//! message is a change in one place.
//!
//! - [`object`]: the platform's object API.
//! - [`engine`]: model engines (completions, orders, state).
//! - [`trainer`]: trainers (submit, collect, publish).
//! - [`operator`]: the operators' listener.
//! - [`wire::Frame`]: what the system's own processes say to each other.
//! - [`problem::Problem`]: the body of every answer that is not a success.

pub mod engine;
pub mod header;
pub mod object;
pub mod operator;
pub mod problem;
pub mod trainer;
pub mod wire;

pub use problem::Problem;
