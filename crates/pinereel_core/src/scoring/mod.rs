//! Concurrency limit and order of the scorings of one runner.
//!
//! Scorings share the endpoints of a plain service with live requests and with the scorings of other
//! runners. [`Limit`] bounds those of one runner to half of the slots, and follows the load reports in
//! their responses. [`next`] selects the waiting scoring that starts when a permit is free.
//!
//! The module is designed for 3 or 4 runners, which each have up to 160 scorings of 30 ms to 200 ms at
//! once every 4 s, on 24 to 108 slots, beside 12 live requests per second of 25 ms.

mod limit;
mod order;

pub use limit::Limit;
pub use order::{Rank, next};
