//! An instance whose state is kept by the platform that it runs on.
//!
//! The platform's object store holds the configuration, the endpoint list, the leases, the lots and
//! their results. An instance keeps nothing that it cannot read again there, so that any of them may
//! be killed, replaced or cut off. One of them reads the store for all and tells the others what has
//! changed (`bulletin`); whoever has no link to it reads the store itself.
//!
//! Each part has its own state and knows only the parts that it is given:
//!
//! ```text
//! Store ─ follow ─ Config, Endpoints ─ Relay ─ Desk, Runner, Orders ─ Front (callers)
//!        └ Duties (leases) ───────────────────┘
//! ```

mod config;
mod crashes;
mod demand;
mod duty;
mod endpoints;
mod list_watch;
mod lots;
mod metrics;
mod orders;
mod pending;
mod platform;
mod readiness;
mod relay;
mod reload;
mod retirement;
mod run;
mod serve;
mod shutdown;
mod stall;
mod store;
mod tree;
mod usage;

pub use list_watch::{Update, WatchOptions, list_and_watch};
pub use metrics::Metrics;
pub use run::{Error, run};
pub use stall::StallDetector;
pub use store::Store;
pub use tree::FeedEvent;
