//! What a [`Set`](super::Set) is told, and what it answers.

use super::{Key, LoadReport};
use crate::{Time, Version};
use compact_str::CompactString;
use serde::Serialize;
use std::time::Duration;

/// What the platform's list says of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Unique name.
    pub name: CompactString,
    /// Changes with each start.
    pub incarnation: u64,
    /// `IP:PORT`.
    pub address: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Pool that it belongs to.
    pub pool: CompactString,
    /// Most requests in flight from this entry; the adaptive limit stays at or under it.
    pub slots: u32,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The platform's list shows the endpoint.
    Listed(Listing),
    /// The platform's list shows the endpoint no more, or the subset dropped it.
    Unlisted {
        /// Its name.
        name: CompactString,
    },
    /// A peer found this incarnation leaving.
    Hinted {
        /// Its name.
        name: CompactString,
        /// The incarnation that leaves.
        incarnation: u64,
    },
    /// A load report arrived.
    Reported {
        /// Incarnation that the report names; a new one is taken over at once.
        incarnation: u64,
        /// Endpoint that was asked.
        key: Key,
        /// What it said.
        report: LoadReport,
    },
    /// An attempt was sent (counted from the choice on).
    Started {
        /// Chosen endpoint.
        key: Key,
        /// Tokens expected.
        tokens: u32,
    },
    /// Of the attempts in flight there, so many more (or fewer) are of samples: a live request
    /// goes before them at the endpoint, so they take no room from it.
    Yielding {
        /// Its endpoint.
        key: Key,
        /// By how many the number changes; the last change comes before `Finished`.
        change: i32,
    },
    /// An attempt ended. Every `Started` needs exactly one.
    Finished {
        /// Its endpoint.
        key: Key,
        /// The same figure as at the start.
        tokens: u32,
        /// Time since the start.
        took: Duration,
        /// How it ended.
        end: AttemptEnd,
    },
}

/// How an attempt ended, as far as it speaks about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptEnd {
    /// A whole answer, or an error that is the caller's fault.
    Completed,
    /// The caller or this entry gave it up; says nothing about the endpoint.
    Cancelled,
    /// A broken stream, a 5xx or no answer in time.
    Failed,
    /// The endpoint said that it has too much to do.
    Overloaded,
    /// The connection was refused: nothing listens at the address.
    ConnectionRefused,
    /// The connection could not be opened in time.
    ConnectionTimeout,
    /// The endpoint said that it is leaving.
    Leaving,
}

/// How an endpoint was found leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list.
    Listed,
    /// Its own answer to a request, or its own report.
    #[serde(rename = "said")]
    Reported,
    /// Nothing has listened at its address for a while.
    ConnectionsRefused,
    /// A peer's word.
    Hinted,
}

impl LeavingSource {
    /// Whether peers may be told. Hints aren't passed on again, and refused connections may be
    /// the fault of this entry's own link.
    pub const fn is_shareable(self) -> bool {
        matches!(self, Self::Listed | Self::Reported)
    }
}

/// One change of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The endpoint.
    #[serde(skip)]
    pub key: Key,
    /// Its name.
    pub name: CompactString,
    /// Its incarnation.
    pub incarnation: u64,
    /// What changed.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// New in the set.
    Added,
    /// Gets no new work from now on.
    Leaving(LeavingSource),
    /// Not in the list any more, or replaced by a new incarnation.
    Gone,
    /// Failed repeatedly; gets nothing but rare probes, and those not before the time.
    Ejected {
        /// Earliest probe.
        until: Time,
    },
    /// Answered a probe; takes part again, with slow-start.
    Restored,
    /// Serves other weights than before.
    #[serde(rename = "serves")]
    VersionChanged(Option<Version>),
}
