//! Lots of samples whose results are kept in the object store.
//!
//! [`Desk`] answers trainers at every instance; [`Runner`] makes the samples at the one instance
//! that holds the duty for their model.

mod commit;
mod desk;
mod handover;
mod opening;
mod placing;
mod progress;
mod record;
mod run;
mod runner;
mod score;
mod state;
mod stream;
mod sweep;

pub use desk::{Desk, Reply};
pub use runner::{Parts, Runner, duty};
