//! What goes over a link.

use super::encoded_object::EncodedObject;
use compact_str::CompactString;
use pinereel_core::{
    crash::Report,
    tree::{Heartbeat, Peer, SubtreeSize},
    usage,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// What is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The endpoint list but for engines.
    Endpoints,
    /// The engines of the endpoint list.
    Engines,
    /// The leases of all duties.
    Leases,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 4] = [Self::Config, Self::Endpoints, Self::Engines, Self::Leases];
    /// Those that every instance is told of.
    pub const BASE: [Self; 3] = [Self::Config, Self::Endpoints, Self::Leases];
}

/// The first frame of a newcomer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Who it is.
    pub peer: Peer,
    /// The topics that it wants, and the revision as of which it knows each; 0 if it does not.
    pub topics: BTreeMap<Topic, u64>,
}

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// All objects of a topic, as of a revision.
    #[serde(rename = "All")]
    Snapshot {
        /// The topic.
        topic: Topic,
        /// The store's revision.
        revision: u64,
        /// The objects.
        objects: Vec<EncodedObject>,
        /// For how long the store has answered all calls of the root: an endpoint that is not listed
        /// soon after an outage may only have lapsed.
        #[serde(rename = "calm")]
        store_uptime: Duration,
    },
    /// What changed up to a revision.
    Changes {
        /// The topic.
        topic: Topic,
        /// The store's revision after them.
        revision: u64,
        /// Oldest first.
        changes: Vec<EncodedObject>,
        /// As in [`Frame::Snapshot`].
        #[serde(rename = "calm")]
        store_uptime: Duration,
    },
    /// The parent lives; the first frame that a child gets.
    #[serde(rename = "Alive")]
    Heartbeat(Heartbeat),
    /// The first frame of a newcomer.
    Hello(Hello),
    /// A child wants one more topic, which it knows as of a revision.
    Subscribe {
        /// The topic.
        topic: Topic,
        /// The store's revision; 0 if the child knows nothing of the topic.
        revision: u64,
    },
    /// A child says how many it and those below it are.
    #[serde(rename = "Below")]
    SubtreeSize(SubtreeSize),
    /// Requests under which endpoints crash: what is news to the sender, or all that it knows when the link
    /// is new. Goes up and down.
    Crashes(Vec<Report>),
    /// Counts of requests that began to run: what is news to the sender, or all that it knows when the link is new. Goes up;
    /// the root's own goes down, so that it outlasts the root.
    Usage(Vec<usage::Report>),
    /// The sender takes no child, or none any more; these may.
    #[serde(rename = "Refer")]
    Referral(Vec<CompactString>),
    /// The sender has nothing to tell yet: the newcomer may return after this time.
    #[serde(rename = "Later")]
    RetryAfter(Duration),
}

impl Frame {
    /// The frame as bytes; none if it cannot be written.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(error) => {
                log::error!(error:% = error; "bulletin: frame not written");
                None
            }
        }
    }

    /// Reads a frame.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match ciborium::from_reader(bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                log::warn!(error:% = error; "bulletin: frame not read");
                None
            }
        }
    }
}
