//! Lots of samples whose results are kept in the object store.
//!
//! [`TrainerApi`] answers trainers at every instance; [`Runner`] makes the samples at the one instance
//! that holds the duty for their model.

mod checkpoint;
mod cleanup;
mod commit;
mod dispatch;
mod item_task;
mod lifecycle;
mod runner;
mod schema;
mod score;
mod state;
mod stream;
mod task_state;
mod trainer_api;

pub use runner::{Parts, Runner, duty_name};
pub use trainer_api::{Reply, TrainerApi};
