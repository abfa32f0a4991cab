//! Which way a call to the object store takes: over the instance's own connection, through its parent
//! in the tree, or not at all.
//!
//! Designed for a store that rejects or does not answer a third of the instances for 8 s to 12 s, while
//! these instances still reach the others. The lease of a runner expires after 2 s without a renewal,
//! and a step is due in 7.5 s, so the way through the parent must be found within one call. A store
//! that is silent makes each direct call wait for its timeout of 1.5 s, so that an instance whose own
//! connection has failed makes no further direct calls, except probes, while its parent takes calls.

use std::time::Duration;

/// Most links that a call takes to an instance that sends it to the store. Three levels of the tree
/// reach 33,824 instances. Links form no loops; the limit also holds if they did for a moment.
pub const MAX_STORE_CALL_HOPS: u32 = 4;

/// State of an instance's own connection to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnConnection {
    /// The store answered the last direct call, or none has been made.
    Answering,
    /// The last direct call was rejected or not answered.
    Failing {
        /// Whether it has failed for so long that without a parent only urgent calls are sent.
        urgent_only: bool,
    },
}

/// What an instance knows about its parent as a way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCallParent {
    /// Whether the parent's last heartbeat announces that it gets calls answered.
    pub takes_calls: bool,
    /// Age of the data received from the parent; `None` if there have been none.
    pub age: Option<Duration>,
    /// Age from which on the data are stale.
    pub max_age: Duration,
}

impl StoreCallParent {
    /// Whether calls may be sent to the parent. An announcement is as old as the data that came with
    /// it: stale data mean that the announcement may not hold any more.
    pub fn accepts_calls(&self) -> bool {
        self.takes_calls && self.age.is_some_and(|age| age < self.max_age)
    }
}

/// One call, as far as the way that it takes depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCallKind {
    /// Whether a call for this purpose may be sent through other instances.
    pub may_be_relayed: bool,
    /// Whether the caller gives up so soon that the call is sent even during an outage.
    pub is_urgent: bool,
    /// Number of links that the call has already taken; 0 for an instance's own calls.
    pub hops: u32,
}

/// The way that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRoute {
    /// Over the instance's own connection.
    Direct,
    /// Through the parent.
    Parent,
    /// The call is not sent.
    Refused,
}

/// Chooses the way of a call; `parent` is `None` without a link to a parent.
///
/// A call of another instance is never sent over a connection that fails: each attempt costs as much
/// as an answered call, and its sender gets an answer sooner without it.
pub fn store_route(
    own: OwnConnection,
    parent: Option<StoreCallParent>,
    call: StoreCallKind,
) -> StoreRoute {
    let OwnConnection::Failing { urgent_only } = own else {
        return StoreRoute::Direct;
    };
    let accepts_calls = parent.is_some_and(|parent| parent.accepts_calls());
    if call.may_be_relayed && accepts_calls && call.hops < MAX_STORE_CALL_HOPS {
        StoreRoute::Parent
    } else if call.hops > 0 || (urgent_only && !call.is_urgent) {
        StoreRoute::Refused
    } else {
        StoreRoute::Direct
    }
}

/// Whether an instance announces to its children that it gets their calls answered. `has_answered` is
/// whether the store has ever answered its direct calls, `is_fresh` whether its data are fresh. An
/// instance makes few direct calls while its data come from its parent, so that it may not know yet
/// that the store answers nobody; then its data become stale.
pub fn takes_store_calls(
    own: OwnConnection,
    has_answered: bool,
    is_fresh: bool,
    parent: Option<StoreCallParent>,
) -> bool {
    let is_answering = own == OwnConnection::Answering && has_answered;
    is_fresh && (is_answering || parent.is_some_and(|parent| parent.accepts_calls()))
}
