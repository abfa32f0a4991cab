//! The daemons of pinereel and their command line ([`cli`]).
//!
//! An instance runs `pinereel entry` ([`entry`]), which keeps its state in memory and in the object
//! API, or `pinereel hosted` ([`hosted`]), which keeps all state in the object store of its platform.
//! In an entry, live requests pass a filter chain ([`filters`]), background tasks maintain the state
//! ([`controllers`]), and `pinereel_core` makes the decisions of both.
//!
//! The main types of an entry:
//! - [`settings::Settings`]: settings of the process, from its INI file.
//! - [`entry::Entry`]: the running daemon.
//! - [`state::Shared`]: state shared by filters and controllers on an entry's single thread.
//! - [`objects::Client`]: rate-limited client of the platform's object API.
//! - [`peer::Mesh`]: links to the other entries.

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
pub mod memory;
pub mod metrics;
pub mod objects;
pub mod operators;
pub mod peer;
mod restart;
pub mod scheduling_delay;
pub mod settings;
pub mod signals;
pub mod state;
pub mod upstream;
