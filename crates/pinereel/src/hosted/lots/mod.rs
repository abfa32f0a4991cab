//! Lots of samples whose results are kept in the object store.
//!
//! [`Desk`] answers trainers at every instance; [`Runner`] makes the samples at the one instance
//! that holds the duty for their model.

mod commit;
mod trainer_api;
mod checkpoint;
mod lifecycle;
mod dispatch;
mod task_state;
mod schema;
mod item_task;
mod runner;
mod score;
mod state;
mod stream;
mod cleanup;

pub use trainer_api::{Desk, Reply};
pub use runner::{Parts, Runner, duty};
