//! Input events and resulting changes of a [`Set`](super::Set).

use super::{Key, LoadReport};
use crate::{Time, Version};
use compact_str::CompactString;
use serde::Serialize;
use std::time::Duration;

/// An endpoint as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Unique name.
    pub name: CompactString,
    /// Differs between starts under one name.
    pub incarnation: u64,
    /// `IP:PORT`.
    pub address: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Pool that it belongs to.
    pub pool: CompactString,
    /// Maximum concurrent attempts from this entry; upper bound of the adaptive concurrency limit.
    pub slots: u32,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Input of [`Set::step`](super::Set::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The platform's list contains the endpoint.
    Listed(Listing),
    /// The platform's list no longer contains the endpoint, or it is no longer in this entry's
    /// subset.
    Unlisted {
        /// Name of the endpoint.
        name: CompactString,
    },
    /// A peer reports that this incarnation is leaving.
    Hinted {
        /// Name of the endpoint.
        name: CompactString,
        /// The incarnation that leaves.
        incarnation: u64,
    },
    /// A load report arrived.
    Reported {
        /// Incarnation named by the report. A new one replaces the old one immediately.
        incarnation: u64,
        /// Endpoint that was polled.
        key: Key,
        /// The figures.
        report: LoadReport,
    },
    /// A response of the endpoint arrived, with its load.
    SlowdownReported {
        /// Endpoint that responded.
        key: Key,
        /// Time that work takes on its machine now, in percent of the usual time; `None` if it
        /// reports none.
        percent: Option<u32>,
    },
    /// An attempt was sent. It counts from the time the endpoint was chosen.
    Started {
        /// The chosen endpoint.
        key: Key,
        /// Expected number of tokens.
        tokens: u32,
    },
    /// The number of attempts in flight that carry samples changed. The endpoint runs live requests
    /// before them, so they take no room from live requests.
    Yielding {
        /// Endpoint of the attempts.
        key: Key,
        /// Difference to the number before. The last decrease comes before `Finished`.
        change: i32,
    },
    /// An attempt ended. Each `Started` is followed by exactly one.
    Finished {
        /// Endpoint of the attempt.
        key: Key,
        /// The same value as in `Started`.
        tokens: u32,
        /// Time since the start.
        took: Duration,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A probe of an ejected endpoint, due as of [`Set::due_probes`](super::Set::due_probes), ended.
    Probed {
        /// Endpoint that was probed.
        key: Key,
        /// Whether a connection could be opened.
        reached: bool,
    },
}

/// How an attempt ended, as far as that says something about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptEnd {
    /// A complete answer, or an error caused by the caller.
    Completed,
    /// Cancelled by the caller or this entry. Says nothing about the endpoint.
    Cancelled,
    /// A broken stream, a 5xx status, or no answer in time.
    Failed,
    /// The endpoint reported that it is overloaded.
    Overloaded,
    /// The connection was refused: nothing listens at the address.
    ConnectionRefused,
    /// The connection could not be opened in time.
    ConnectionTimeout,
    /// The endpoint reported that it is leaving.
    Leaving,
}

/// Source of the information that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list.
    Listed,
    /// The endpoint's own answer to a request, or its load report.
    #[serde(rename = "said")]
    Reported,
    /// A hint from a peer.
    Hinted,
}

impl LeavingSource {
    /// Whether this entry may pass the information on to peers. Hints are not forwarded again.
    pub const fn is_shareable(self) -> bool {
        matches!(self, Self::Listed | Self::Reported)
    }
}

/// A change of one endpoint, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Key of the endpoint.
    #[serde(skip)]
    pub key: Key,
    /// Name of the endpoint.
    pub name: CompactString,
    /// Incarnation that changed.
    pub incarnation: u64,
    /// How it changed.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// Kind of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Added to the set.
    Added,
    /// Gets no new requests from now on.
    Leaving(LeavingSource),
    /// No longer listed, or replaced by a new incarnation.
    Gone,
    /// Ejected after repeated failures. It gets only occasional probes from `until` on.
    Ejected {
        /// Earliest time of a probe.
        until: Time,
    },
    /// Answered a probe and takes requests again, with slow start.
    Restored,
    /// Serves another version of the weights than before.
    #[serde(rename = "serves")]
    VersionChanged(Option<Version>),
}
