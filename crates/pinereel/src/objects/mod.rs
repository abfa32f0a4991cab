//! The budgeted client of the platform's object API.
//!
//! Every call names its purpose and is counted under it, since the platform counts each. Concurrency
//! and rates are limited here, and a circuit breaker with jittered back-off spares an API that is
//! down. A write whose answer was lost is [`Error::Unknown`]: the caller reads back before anything
//! else.

mod breaker;
mod call;
mod client;
mod error;
mod token_bucket;

pub use breaker::Breaker;
pub use call::{Access, Purpose};
pub use client::{Client, Options};
pub use error::Error;
