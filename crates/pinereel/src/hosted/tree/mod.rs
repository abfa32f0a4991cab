//! One instance reads what all need, and the others pass it on.
//!
//! Every call to the object store is priced, a waiting watch as one, and its rates grow more slowly
//! than the fleet. So the holder of one duty follows the configuration, the endpoint list and the
//! leases, and passes each change on over links to other instances, which pass it on in turn: a tree
//! in which nobody has more than 32 children (`pinereel_core::tree`).
//!
//! Whoever starts finds the holder in the leases, is referred to a parent with room, and is told all
//! the rest. If the holder falls silent, a few instances that it has named before read the store in its
//! place until the duty has a holder again; only an instance that finds no parent reads the store for
//! itself.
//!
//! - [`Node`]: the instance in the tree; its parts are the state (`node`), the links to children
//!   (`children`), what goes both ways (`reports`), the way to a parent (`uplink`, `search`), and reading the store (`source`).
//! - `topics`, `known`, `packed`: what is told, kept encoded for children, and passed on to those that want it.
//! - [`Feed`]: what the parts of this process hear.
//! - [`frame`]: what goes over a link.

mod children;
mod encoded_object;
mod feed;
mod frame;
mod node;
mod parent_search;
mod reports;
mod store_reader;
mod topic_cache;
mod topics;
mod uplink;

pub use feed::{Feed, FeedEvent};
pub use frame::{Frame, Hello, Topic};
pub use node::{Node, Parts};

use std::time::Duration;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// The duty of the instance that reads for all.
pub const ROOT_DUTY: &str = "bulletin";
/// Pause between two signs of life on a link: five are missing before news count as too old.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// A child says at least so often how many it and those below it are.
const SUBTREE_SIZE_INTERVAL: Duration = Duration::from_millis(1_000);
/// A child that says nothing for so long is gone: else it would count, and might be a deputy, until its queue
/// is full.
const CHILD_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Buffer of a link for each direction: frames are mostly small, and an instance has up to 33 links.
const LINK_BUFFER_BYTES: usize = 4 * 1024;
/// Longest wait for a link to open, and for its first frame.
const LINK_OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// How links are set up.
fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(LINK_BUFFER_BYTES)
        .write_buffer_size(LINK_BUFFER_BYTES)
}
