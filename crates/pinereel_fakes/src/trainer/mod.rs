//! A client library for trainers, and a fake trainer that runs steps with it.
//!
//! - [`Client`]: submits and collects lots and publishes versions, at any of a list of entries.
//! - [`PartialLot`]: the received samples of one lot; takes each sample once.
//! - [`Trainer`]: runs steps and reports its idle time and the staleness of its samples.

pub mod cli;
pub mod client;
pub mod partial_lot;
pub mod report;
pub mod step;

pub use cli::{main, run};
pub use client::Client;
pub use partial_lot::PartialLot;
pub use report::Report;
pub use step::{Options, Trainer};
