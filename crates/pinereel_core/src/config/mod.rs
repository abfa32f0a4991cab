//! The configuration that operators patch: its content, its validation, how a patch comes into force.

mod document;

pub use document::{Document, Kind, Limits, Pool, Trainer};
