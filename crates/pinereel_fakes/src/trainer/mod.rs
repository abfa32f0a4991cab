//! A trainer: the client library, and a stand-in that drives steps with it.
//!
//! - [`Client`]: submit, collect and publish against a list of entries.
//! - [`Collection`]: what a trainer holds of one lot; takes each sample once.
//! - [`Trainer`]: runs steps and tells how long it stood idle and how stale its samples were.

pub mod client;
pub mod collection;
pub mod process;
pub mod report;
pub mod step;

pub use client::Client;
pub use collection::Collection;
pub use process::{main, run};
pub use report::Report;
pub use step::{Options, Trainer};
