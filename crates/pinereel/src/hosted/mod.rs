//! A stateless instance, which keeps its state in the object store of the platform that it runs on.
//!
//! The store holds the configuration, the endpoint list, the leases, the lots and their results. An
//! instance has nothing in memory that it cannot read from the store again, so each may be killed,
//! replaced or disconnected. One instance reads the store and publishes the changes to the others over
//! the broadcast tree (`tree`); an instance without a link to the tree reads the store itself.
//!
//! Each module has its own state and uses only what its `Dependencies` hold:
//!
//! ```text
//! Store ─ list_and_watch ─ Config, Endpoints ─ Proxy ─ TrainerApi, Runner, Orders ─ Frontend (callers)
//!        └ Duties (leases) ───────────────────────────┘
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
mod parent_calls;
mod pending;
mod platform;
mod process_metrics;
mod proxy;
mod readiness;
mod reload;
mod retirement;
mod retry;
mod run;
mod serve;
mod shutdown;
mod signals;
mod stall;
mod startup;
mod store;
mod tree;
mod usage;

pub use crate::restart::{restart_count, restart_on_panic};
pub use list_watch::{Origin, Update, WatchOptions, list_and_watch, list_and_watch_with_origin};
pub use lots::{Reply, TrainerApi};
pub use metrics::Metrics;
pub use run::{Error, run};
pub use signals::EarlySignals;
pub use stall::StallDetector;
pub use store::Store;
pub use tree::{FeedEvent, Frame, Hello, StoreCall, StoreOutcome};
