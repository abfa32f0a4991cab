//! Open-loop load on loopback, and the latency that an entry adds.
//!
//! - [`target::Target`]: what is asked, and where.
//! - [`open_loop`]: requests at their intended times, whatever the answers do.
//! - [`stage`]: stand-ins and an entry, each in a thread of its own.
//! - [`compare`]: an entry next to a direct call, in one run.

pub mod compare;
pub mod flags;
pub mod open_loop;
pub mod stage;
pub mod target;

pub use flags::{HELP, main};
