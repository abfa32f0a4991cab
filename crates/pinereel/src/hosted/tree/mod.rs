//! Broadcast tree: one instance, the root, reads the object store, and the data reach all others over
//! links between instances.
//!
//! Each call to the store is paid for, also a pending watch, and the store's rate limits grow more slowly
//! than the fleet. So the holder of [`ROOT_DUTY`] lists and watches the configuration, the endpoint list
//! and the leases, and publishes each change to at most 32 children, which forward it to theirs. The
//! decisions are in `pinereel_core::tree`.
//!
//! A new instance finds the root in the leases, is referred to a parent with room, and receives all data
//! from it. If the root fails, its standbys read the store until the duty has a holder again. Another
//! instance reads the store itself only if it finds no parent.
//!
//! - [`Node`]: this instance in the tree (`node`), with its links to children (`children`), its link to a
//!   parent (`uplink`, `parent_search`, `introduction`), the reports that it forwards (`reports`), the store calls of
//!   children that it forwards (`store_calls`), and the reading of the store at a root (`store_reader`), or
//!   for a parent that the store does not answer (`backup`).
//! - [`Topic`]: what the data are divided into (`topics`). They are cached for children (`topic_cache`) in
//!   encoded form (`encoded_object`).
//! - [`Feed`]: publishes the data to the other modules of this process.
//! - [`Frame`]: a message on a link.

mod backup;
mod children;
mod encoded_object;
mod feed;
mod frame;
mod introduction;
mod node;
mod parent_search;
mod reports;
mod store_calls;
mod store_reader;
mod topic_cache;
mod topics;
mod uplink;

pub use feed::{Feed, FeedEvent};
pub use frame::{Frame, Hello, StoreCall, StoreOutcome, Topic};
pub use node::{Dependencies, Node};

use std::time::Duration;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Name of the duty whose holder is the root of the tree.
pub const ROOT_DUTY: &str = "bulletin";
/// Time between two heartbeats on a link. The data are stale after five missing ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time between two reports of a child on the size of its subtree.
const SUBTREE_SIZE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest silence of a child before its link is dropped. Without this bound, a failed child would count
/// as an instance, and might be a standby, until its queue is full.
const CHILD_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Size of the buffer of a link, for each direction. Most frames are small, and an instance has up to 33
/// links.
const LINK_BUFFER_BYTES: usize = 4 * 1024;
/// Largest body of the answer to a store call that is sent through a parent, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest time for each step of opening a link: the handshake up to the first frame, a rejection, the
/// close.
const LINK_OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// WebSocket settings of all links.
fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(LINK_BUFFER_BYTES)
        .write_buffer_size(LINK_BUFFER_BYTES)
}
