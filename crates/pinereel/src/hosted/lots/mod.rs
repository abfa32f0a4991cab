//! Lots: batch jobs of trainers, with their state and results in the object store.
//!
//! [`TrainerApi`] accepts and reads lots on every instance. [`Runner`] runs their items on engines,
//! on the one instance that holds the lease of their model. The decisions are in
//! [`pinereel_core::batch`], the layout of the stored objects in `schema`.

mod checkpoint;
mod cleanup;
mod commit;
mod dispatch;
mod item_task;
mod lifecycle;
mod runner;
mod schema;
mod score;
mod scoring_permits;
mod state;
mod stream;
mod task_state;
mod trainer_api;

pub use runner::{Dependencies, Runner, duty_name};
pub use trainer_api::{Reply, TrainerApi};
