//! A stand-in for a model engine: a batching model without I/O, and an HTTP server around it.
//!
//! - [`batch::Engine`]: continuous batching, prefix cache, weight swaps; time is passed in.
//! - [`text`]: the text of a completion, a pure function of prompt and seed.
//! - [`fault::Faults`]: what may be made to go wrong.
//! - [`server::Handle`]: the stand-in on a listener.

pub mod batch;
pub mod cache;
pub mod fault;
pub mod model;
pub mod process;
mod sequence;
pub mod server;
mod state;
mod stream;
pub mod text;

pub use process::{main, run};
