//! Rate-limited client of the platform's object API, with a circuit breaker.
//!
//! Every call names its purpose and is counted under it, since the platform counts each call.
//! Concurrency and rates are limited, and a circuit breaker with jittered back-off limits the load on
//! an API that is down. A write whose response was lost fails with [`Error::Unknown`]: the caller
//! must read the object back before it does anything else.

mod breaker;
mod call;
mod client;
mod error;
mod token_bucket;

pub use breaker::Breaker;
pub use call::{Access, Purpose};
pub use client::{Client, Options};
pub use error::Error;
