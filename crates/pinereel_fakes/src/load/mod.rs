//! Open-loop load generation on loopback, and measurement of the latency that an entry adds.
//!
//! - [`target::Target`]: the kind of the requests and their destination.
//! - [`open_loop`]: requests at a fixed rate, independent of the responses.
//! - [`testbed`]: fakes on one thread, and an entry on another.
//! - [`compare`]: requests through an entry compared with direct requests.
//! - [`cli`]: the command line.

pub mod cli;
pub mod compare;
pub mod open_loop;
pub mod target;
pub mod testbed;

pub use cli::{HELP, main};
