//! Fake model engine: a simulation of continuous batching, and an HTTP server for it.
//!
//! - [`batch::Engine`]: continuous batching, prefix cache and weight swaps; time is passed in.
//! - [`text`]: the text of a completion, a pure function of prompt and seed.
//! - [`fault::Faults`]: faults that can be injected.
//! - [`server::Handle`]: the HTTP server.
//! - [`process`]: the server as a process of its own.

pub mod batch;
pub mod cache;
pub mod fault;
pub mod process;
mod sequence;
pub mod server;
mod state;
mod stream;
pub mod text;
pub mod types;

pub use process::{main, run};
