//! Broadcast tree: one instance, the root, reads the object store, and the data reach all others over
//! links between instances.
//!
//! Hundreds of instances need the same data, and each call to the store is paid for. In a star, the
//! reader would need a link and a send per change for each instance, and instances beyond its capacity
//! would have to read the store themselves. So each instance forwards the data to at most
//! [`MAX_CHILDREN`] others: two levels reach 1,056 instances, three 33,824.
//!
//! There is no central assignment. An instance that is full refers a newcomer to its children, first to
//! those in the newcomer's availability zone. If the root fails, its [`Children::standbys`] take over,
//! so that the failure costs calls to the store at a few instances and not at all of them.
//!
//! - [`Children`]: the parent's side of the links.
//! - [`Uplink`]: the child's side of a link.
//! - [`Heartbeat`]: sent down the tree, with the age of the data.
//! - [`RetryPacer`]: spreads the retries of newcomers that cannot be accepted yet.
//! - [`ReplayBuffer`]: the last changes, for children that have missed no more.
//! - [`store_route`]: the way of a store call, directly or through the parent.
//! - [`BackupReaders`]: the children that read the store for a root that it does not answer.
//! - [`Seeds`]: how an instance finds a parent if the store does not answer it.
//! - [`RankRange`]: ranks of the instances, assigned down the tree.

mod backup_readers;
mod children;
mod heartbeat;
mod replay_buffer;
mod retry_pacer;
mod seeds;
mod store_route;
mod subtree;
mod uplink;

pub use backup_readers::{BackupReaders, MAX_READER_GROUPS, MAX_READER_LEVEL, MAX_ROOT_GROUPS};
pub use children::{Admission, ChildKey, Children, Peer};
pub use heartbeat::Heartbeat;
pub use replay_buffer::ReplayBuffer;
pub use retry_pacer::RetryPacer;
pub use seeds::{INTRODUCTION_INTERVAL, Seeds};
pub use store_route::{
    MAX_STORE_CALL_HOPS, OwnConnection, StoreCallKind, StoreCallParent, StoreRoute, store_route,
    takes_store_calls,
};
pub use subtree::{RankRange, SubtreeSize};
pub use uplink::{StoreStatus, Uplink};

use std::time::Duration;

/// Most children of one instance. It bounds the sends per change at an instance whatever the size of
/// the fleet. With fewer, 350 instances would need a third level, and each level adds to the age of
/// the data.
pub const MAX_CHILDREN: usize = 32;

/// Most standbys of the root. If two of them fail together with the root, one is left.
pub const MAX_STANDBYS: usize = 3;

/// Longest age of the data with which an instance accepts children or stays with its parent, at the
/// first level. The root makes a call at least every 0.7 s, each takes up to 0.3 s at a slow store, and
/// heartbeats come every 0.3 s. With the time to find another parent, the removal of an endpoint or a
/// new configuration is in force after at most 2.2 s.
pub const MAX_AGE: Duration = Duration::from_millis(1_600);

/// Time without an answer after which the root takes a call for lost, long before its timeout. A slow store
/// takes 0.3 s.
pub const LATE_CALL_TIME: Duration = Duration::from_millis(400);

/// The same for a reader that the root has appointed. The root has waited already.
pub const LATE_READER_CALL_TIME: Duration = Duration::from_millis(150);

/// Added to [`MAX_AGE`] for each level below the first, so that the level above finds another parent
/// first and its children stay with it.
pub const MAX_AGE_PER_LEVEL: Duration = Duration::from_millis(400);

/// Shortest time for which an instance below the first level stays with a parent whose data are stale.
/// That parent looks for another parent itself meanwhile.
pub const MIN_STALE_GRACE: Duration = Duration::from_millis(500);

/// Longest time that a newcomer waits for a root that is still reading the store. A list of ten
/// thousand endpoints has about twenty pages.
pub const MAX_ROOT_LOADING_TIME: Duration = Duration::from_secs(3);
