//! The messages on a link, encoded in CBOR. The serialized names of variants and fields are part of the
//! format.

use super::encoded_object::EncodedObject;
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::{
    crash::Report,
    tree::{Heartbeat, Peer, SubtreeSize},
    usage,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// A part of the data to which instances subscribe separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The endpoint list without engines.
    Endpoints,
    /// The engines of the endpoint list.
    Engines,
    /// The leases of all duties.
    Leases,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 4] = [Self::Config, Self::Endpoints, Self::Engines, Self::Leases];
    /// The topics that every instance subscribes to.
    pub const BASE: [Self; 3] = [Self::Config, Self::Endpoints, Self::Leases];
}

/// What a newcomer sends first on a new link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Address, zone and preference of the newcomer.
    pub peer: Peer,
    /// The topics that it subscribes to, with the revision that it has of each; 0 for none.
    pub topics: BTreeMap<Topic, u64>,
}

/// A call to the object store that a child sends through its parent. It never contains a key: the
/// configuration, which holds keys, is not read this way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreCall {
    /// Number of the call, unique among the calls on this link.
    pub id: u64,
    /// Number of links that the call has taken, including this one.
    pub hops: u32,
    /// Label of the call's purpose.
    pub purpose: CompactString,
    /// Label of the kind of access.
    pub access: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Path with the query string.
    pub path: String,
    /// JSON body, or empty.
    pub body: Bytes,
    /// How long the store may wait before it answers; zero unless the call is a watch.
    pub wait: Duration,
}

/// Outcome of a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The store answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// HTTP body.
        body: Bytes,
    },
    /// The call was not sent and had no effect.
    NotSent,
    /// The answer was lost: a write may have taken effect.
    Unknown,
}

impl StoreOutcome {
    /// Label of the outcome in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// All objects of a topic at a revision of the store.
    #[serde(rename = "All")]
    Snapshot {
        /// The topic.
        topic: Topic,
        /// The store's revision.
        revision: u64,
        /// The objects; none of them is marked as deleted.
        objects: Vec<EncodedObject>,
        /// For how long the store has answered all calls of the root. Soon after an outage, an endpoint may
        /// be missing from the list only because its entry has expired.
        #[serde(rename = "calm")]
        store_uptime: Duration,
    },
    /// Changes of a topic up to a revision of the store.
    Changes {
        /// The topic.
        topic: Topic,
        /// The store's revision after the changes.
        revision: u64,
        /// The changes, oldest first.
        changes: Vec<EncodedObject>,
        /// The same as in [`Frame::Snapshot`].
        #[serde(rename = "calm")]
        store_uptime: Duration,
    },
    /// Heartbeat of the parent; also the first frame that an accepted child receives.
    #[serde(rename = "Alive")]
    Heartbeat(Heartbeat),
    /// The first frame that a newcomer sends.
    Hello(Hello),
    /// A child subscribes to one more topic.
    Subscribe {
        /// The topic.
        topic: Topic,
        /// The revision that the child has; 0 for none.
        revision: u64,
    },
    /// A child reports the size of its subtree.
    #[serde(rename = "Below")]
    SubtreeSize(SubtreeSize),
    /// Requests under which endpoints crash: the reports that are new to the sender, or all of them on a new
    /// link. Sent up and down the tree.
    Crashes(Vec<Report>),
    /// Counts of requests that began to run: the reports that are new to the sender, or all of them on a new
    /// link. Sent up the tree. The root sends its own counts down, so that they survive its failure.
    Usage(Vec<usage::Report>),
    /// The sender cannot accept or keep the receiver as a child; the instances at these addresses may.
    #[serde(rename = "Refer")]
    Referral(Vec<CompactString>),
    /// A store call of a child. Sent only to a parent whose heartbeat announces that it takes such calls.
    StoreCall(StoreCall),
    /// A part of the body of the parent's answer to a store call; the next one follows, and
    /// [`Frame::StoreAnswer`] has the last. Lists of lots have a megabyte a page: heartbeats that wait
    /// behind a whole one on a slow link are late, and the link is dropped.
    StoreAnswerPart {
        /// Number of the call.
        id: u64,
        /// The part.
        body: Bytes,
    },
    /// The parent's answer to a store call.
    StoreAnswer {
        /// Number of the call.
        id: u64,
        /// Its outcome; the body is what follows on the parts sent before.
        outcome: StoreOutcome,
    },
    /// What a child has read from the store for the parent that appointed it. Sent only to that parent.
    Backup {
        /// The topic.
        topic: Topic,
        /// The revision of the topic at which the changes begin; irrelevant for a snapshot.
        since: u64,
        /// Encoded [`Frame::Snapshot`] or [`Frame::Changes`].
        update: Bytes,
    },
    /// The sender, which reads the store for its parent, has sent all data that the store had this time ago.
    BackupAge(Duration),
    /// The sender, which is a root, can be tried for a parent at this address. Sent to seeds instead of a
    /// [`Hello`].
    Introduction(CompactString),
    /// The sender has no fresh data; the newcomer may retry after this time.
    #[serde(rename = "Later")]
    RetryAfter(Duration),
}

impl Frame {
    /// Encodes the frame; `None` if that fails, which is logged.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(error) => {
                log::error!(error:% = error; "broadcast tree: frame not serialized");
                None
            }
        }
    }

    /// Decodes a frame; `None` if that fails, which is logged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match ciborium::from_reader(bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!(error:% = error; "broadcast tree: malformed frame");
                None
            }
        }
    }
}
