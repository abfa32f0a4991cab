//! Frames between entries: CBOR in binary websocket messages.
//!
//! A link starts with a [`Hello`] in each direction. A frame has at most [`MAX_FRAME_BYTES`] bytes;
//! a larger or malformed one closes the link. Serde renames keep the names of the wire format.

use crate::trainer::{Group, Sample};
use compact_str::CompactString;
use pinereel_core::{Version, config::Prepare, crash::Report, hash::Digest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub use pinereel_core::claim::StoredResponse;

/// Version of this protocol. Links between different versions are refused.
pub const PROTOCOL: u16 = 1;

/// Maximum size of a frame, in bytes of CBOR.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// Periodic state of the sender; also the heartbeat.
    #[serde(rename = "Digest")]
    Summary(Summary),
    /// Call that expects a reply with the same id.
    Call {
        /// Id, unique per link and direction.
        id: u64,
        /// Content of the call.
        body: Call,
    },
    /// Reply to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// Content of the reply.
        body: Reply,
    },
}

/// Identifies the sender of a link's frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u16,
    /// Name of the entry.
    pub name: CompactString,
    /// Changes with each start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: CompactString,
}

/// State that an entry sends to its peers about once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Configuration number in force at the sender.
    pub number: u64,
    /// Whether the sender admits requests and knows of no other number that may be in force.
    #[serde(rename = "vouches")]
    pub config_confirmed: bool,
    /// Time of sending, in microseconds of the sender's monotonic clock.
    pub sent_us: u64,
    /// Latest summary that the sender received from the receiver of this one.
    pub echo: Option<Echo>,
    /// Newest published version by model; empty if nothing changed recently.
    pub versions: BTreeMap<CompactString, Version>,
    /// Endpoints known to be leaving, incarnation by name; empty if nothing changed recently.
    pub leaving: BTreeMap<CompactString, u64>,
    /// Requests that crash endpoints; empty if nothing changed recently.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Report>,
    /// Whether the sender is draining.
    pub draining: bool,
}

/// Identifies a received summary to the entry that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the entry that sent the summary.
    pub incarnation: u64,
    /// [`Summary::sent_us`] of the summary.
    pub sent_us: u64,
}

/// Call from one entry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Store a configuration that may come into force; answered by [`Reply::Confirmed`].
    Prepare {
        /// Proposed configuration.
        prepare: Box<Prepare>,
        /// Entries to which the receiver forwards the call.
        leaves: BTreeSet<CompactString>,
    },
    /// Put a prepared configuration into force.
    Commit {
        /// Number of the configuration.
        number: u64,
        /// Id of the write that made it pending.
        write: CompactString,
        /// Entries to which the receiver forwards the call.
        leaves: BTreeSet<CompactString>,
    },
    /// Discard a prepared configuration.
    Abort {
        /// Id of the write that made it pending.
        write: CompactString,
        /// Entries to which the receiver forwards the call.
        leaves: BTreeSet<CompactString>,
    },
    /// Read the configuration in force; answered by [`Reply::Config`].
    #[serde(rename = "Fetch")]
    FetchConfig,
    /// Report incarnation and configuration number; answered by [`Reply::Report`].
    Report,
    /// Run groups of a lot.
    Assign(Assignment),
    /// Return finished samples of a lot; answered by [`Reply::Samples`].
    Collect(CollectRequest),
    /// Take over finished samples from an entry that is stopping.
    Handover {
        /// Lot; without groups if the receiver is known to have them.
        lot: Assignment,
        /// Finished samples of the lot.
        samples: Vec<Sample>,
    },
    /// Claim an idempotency key.
    Claim {
        /// Key, prefixed with the pool.
        key: CompactString,
        /// Digest of the request.
        digest: Digest,
        /// Id of the request that runs if the claim is granted.
        request: CompactString,
        /// Milliseconds until the request's deadline.
        left_ms: u64,
    },
    /// Record the outcome of a claimed request.
    Settle {
        /// Key, prefixed with the pool.
        key: CompactString,
        /// Id of the request that held the claim.
        request: CompactString,
        /// Digest of the request, as in its claim.
        digest: Digest,
        /// Outcome; `None` if the request did not run, which releases the key.
        outcome: Option<StoredResponse>,
    },
}

/// Groups of a lot that are assigned to one runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Id of the lot.
    pub lot: CompactString,
    /// Digest of the complete lot.
    pub digest: Digest,
    /// Name of the trainer.
    pub trainer: CompactString,
    /// Training step that uses the samples.
    pub step: u64,
    /// Version of the trainer's weights.
    pub version: Version,
    /// Milliseconds until the lot's deadline.
    pub deadline_ms: u64,
    /// Assigned groups: index in the lot, index of the group's first sample, content.
    pub groups: Vec<(u32, u32, Group)>,
}

/// Request to a runner for finished samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectRequest {
    /// Id of the lot.
    pub lot: CompactString,
    /// Groups that the sender believes are assigned to the runner.
    pub groups: Vec<u32>,
    /// Cursor token of the collect: samples that the trainer already has.
    pub token: String,
    /// Version of the trainer's weights.
    pub version: Version,
    /// Staleness bound in the sender's configuration, in versions.
    pub bound: u64,
    /// Maximum number of samples in the reply.
    pub max: u32,
    /// Maximum wait for the first sample, in milliseconds.
    pub wait_ms: u64,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The call was executed.
    Done,
    /// The call was refused, with the reason.
    Refused(CompactString),
    /// Entries that stored a prepared configuration, among the receiver and those to which it
    /// forwarded the call.
    Confirmed(BTreeSet<CompactString>),
    /// Incarnation and configuration number of the replying entry.
    Report {
        /// Incarnation of the entry.
        incarnation: u64,
        /// Number of the configuration in force there.
        number: u64,
    },
    /// Configuration in force.
    Config {
        /// Number of the configuration.
        number: u64,
        /// Content of the configuration.
        document: serde_json::Value,
    },
    /// Finished samples, and the requested groups that the runner does not have.
    Samples {
        /// Finished samples.
        samples: Vec<Sample>,
        /// Groups that must be assigned again.
        missing: Vec<u32>,
    },
    /// The claim is granted: the request may run.
    Granted,
    /// A request with the key has run; its stored response.
    Repeat(StoredResponse),
    /// A request with the key is running.
    InProgress,
    /// The key was claimed by a request whose outcome is not known.
    ClaimUnknown,
    /// The key was used with a different request.
    KeyConflict,
    /// The key could not be claimed: the object API is unreachable.
    NotClaimed,
}

/// Why a frame could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The bytes are not the CBOR encoding of a frame, or encoding failed.
    #[error("malformed frame: {0}")]
    Malformed(String),
}

impl Frame {
    /// Encodes the frame as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(|e| Error::Malformed(e.to_string()))?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame from CBOR.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(|e| Error::Malformed(e.to_string()))
    }
}
