//! The tree over which one instance tells all others what it reads from the object store.
//!
//! Load pattern: hundreds of instances need the same news, and each call to the store is paid for. In a
//! star the one that reads has a link, and a send a change, for each instance, and those beyond its
//! room read for themselves. So every instance passes the news on to at most [`MAX_CHILDREN`] others; two
//! levels reach 1,056 instances, three 33,824.
//!
//! Nobody assigns places: an instance that is full refers a newcomer to its children, those of its own
//! availability zone first. If the root falls silent, its [`Children::standbys`] stand in for it, so that
//! its loss costs calls at a few instances and not at all of them.
//!
//! - [`Children`]: the side of a parent.
//! - [`Uplink`]: the side of a child.
//! - [`RetryPacer`]: when a newcomer that is turned away may return.
//! - [`ReplayBuffer`]: the last changes, for children that have missed no more.
//! - [`Heartbeat`]: the sign of life that goes down the tree, with the age of the news.

mod children;
mod heartbeat;
mod replay_buffer;
mod retry_pacer;
mod subtree;
mod uplink;

pub use children::{Admission, ChildKey, Children, Peer};
pub use heartbeat::Heartbeat;
pub use replay_buffer::ReplayBuffer;
pub use retry_pacer::RetryPacer;
pub use subtree::{RankRange, SubtreeSize};
pub use uplink::{StoreStatus, Uplink};

use std::time::Duration;

/// Most children of one instance, so that a change costs it as many sends whatever the fleet's size. With
/// fewer the tree gets a third level at 350 instances, and each level adds to the age of the news.
pub const MAX_CHILDREN: usize = 32;

/// Instances that stand in for the root, in this order: two that are lost together with it leave one.
pub const MAX_STANDBYS: usize = 3;

/// Publication that are older are no good for taking a child or staying with a parent. The root makes a call
/// every 0.7 s at the least, each takes up to 0.3 s at a slow store, and signs of life come every 0.3 s.
/// With the time to find another parent, a leave or a configuration is in force after 2.2 s at most.
pub const MAX_AGE: Duration = Duration::from_millis(1_600);

/// Publication may be so much older at each level below the first: the level above finds another parent first,
/// and its children stay.
pub const MAX_AGE_PER_LEVEL: Duration = Duration::from_millis(400);

/// Those below the first level stay with a parent whose news are not fresh for so long at least: it looks for another
/// parent itself.
pub const MIN_STALE_GRACE: Duration = Duration::from_millis(500);

/// Longest time that a newcomer waits for a root that reads the store: ten thousand endpoints are some twenty pages.
pub const MAX_ROOT_LOADING_TIME: Duration = Duration::from_secs(3);
