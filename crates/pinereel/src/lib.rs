//! The entry daemon of pinereel and its command line.
//!
//! One role: every instance runs `pinereel entry`. Requests pass a chain of [`filters`]; state is
//! kept by [`controllers`]; the decisions of both are made by `pinereel_core`.
//!
//! The main types:
//! - [`settings::Settings`]: what the process was told in its INI file.
//! - [`entry::Entry`]: the running daemon.
//! - [`state::Shared`]: what filters and controllers share on the one thread of an entry.
//! - [`objects::Client`]: the budgeted client of the platform's object API.
//! - [`peer::Mesh`]: the links to the other entries.

pub mod callers;
pub mod cli;
pub mod controllers;
pub mod dispatch;
pub mod engines;
pub mod entry;
pub mod filters;
pub mod hosted;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod objects;
pub mod operators;
pub mod peer;
pub mod settings;
pub mod state;
pub mod upstream;
