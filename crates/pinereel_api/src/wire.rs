//! Frames between the system's own processes: CBOR in binary websocket messages.
//!
//! A link starts with a [`Hello`] in each direction. A frame is at most [`MAX_FRAME_BYTES`] bytes; a
//! larger or malformed one closes the link.

use crate::trainer::{Group, Sample};
use compact_str::CompactString;
use pinereel_core::{Version, config::Prepare, crash::Report, hash::Digest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub use pinereel_core::claim::StoredResponse;

/// Version of this protocol. Links between different majors are refused.
pub const PROTOCOL: u16 = 1;

/// Largest frame, in bytes of CBOR.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// One message of a peer link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// Periodic state; also the heartbeat.
    #[serde(rename = "Digest")]
    Summary(Summary),
    /// A call that expects a reply with the same id.
    Call {
        /// Unique on this link and direction.
        id: u64,
        /// What is asked.
        body: Call,
    },
    /// The reply to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// What is answered.
        body: Reply,
    },
}

/// Who speaks.
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

/// What an entry tells its peers about once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Configuration number in force at the sender.
    pub number: u64,
    /// Whether the sender admits requests and knows of no other number that may be in force.
    #[serde(rename = "vouches")]
    pub config_confirmed: bool,
    /// When it was sent, in microseconds of the sender's own clock.
    pub sent_us: u64,
    /// The latest summary that the sender had from the receiver.
    pub echo: Option<Echo>,
    /// Newest published version by model; empty if nothing changed lately.
    pub versions: BTreeMap<CompactString, Version>,
    /// Endpoints found leaving, name and incarnation; empty if nothing changed lately.
    pub leaving: BTreeMap<CompactString, u64>,
    /// Requests under which endpoints crash; empty if nothing changed lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Report>,
    /// Whether the sender is draining.
    pub draining: bool,
}

/// Names one summary of an entry, back to that entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation that sent the summary.
    pub incarnation: u64,
    /// Its [`Summary::sent_us`].
    pub sent_us: u64,
}

/// What one entry asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Store a configuration that may come into force; answered by [`Reply::Confirmed`].
    Prepare {
        /// The configuration.
        prepare: Box<Prepare>,
        /// Entries to pass it on to.
        leaves: BTreeSet<CompactString>,
    },
    /// A prepared configuration is in force.
    Commit {
        /// Its number.
        number: u64,
        /// Id of the write that made it pending.
        write: CompactString,
        /// Entries to pass it on to.
        leaves: BTreeSet<CompactString>,
    },
    /// A prepared configuration was taken back.
    Abort {
        /// Id of the write that made it pending.
        write: CompactString,
        /// Entries to pass it on to.
        leaves: BTreeSet<CompactString>,
    },
    /// Read the configuration in force.
    #[serde(rename = "Fetch")]
    FetchConfig,
    /// Tell who you are and which number is in force; answered by [`Reply::Report`].
    Report,
    /// Run these groups of a lot.
    Assign(Assignment),
    /// Hand over finished samples of a lot.
    Collect(CollectRequest),
    /// Take over finished samples from an entry that stops.
    Handover {
        /// The lot, without groups where the receiver is known to have them.
        lot: Assignment,
        /// Finished samples.
        samples: Vec<Sample>,
    },
    /// Claim an idempotency key.
    Claim {
        /// The key.
        key: CompactString,
        /// Digest of the request.
        digest: Digest,
        /// Id of the request that would execute.
        request: CompactString,
        /// Milliseconds until the request's deadline.
        left_ms: u64,
    },
    /// Record what became of a claimed request.
    Settle {
        /// The key.
        key: CompactString,
        /// Id of the request that held the claim.
        request: CompactString,
        /// Digest of the request, as in its claim.
        digest: Digest,
        /// The outcome; `None` if it was not run and the key is free again.
        outcome: Option<StoredResponse>,
    },
}

/// Groups of a lot for one runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Id of the lot.
    pub lot: CompactString,
    /// Digest of the whole lot.
    pub digest: Digest,
    /// The trainer.
    pub trainer: CompactString,
    /// The step.
    pub step: u64,
    /// The trainer's version.
    pub version: Version,
    /// Milliseconds left until the samples are wanted.
    pub deadline_ms: u64,
    /// The groups: index in the lot, index of its first sample, content.
    pub groups: Vec<(u32, u32, Group)>,
}

/// Asks a runner for finished samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectRequest {
    /// Id of the lot.
    pub lot: CompactString,
    /// Groups that the asker believes the runner to run.
    pub groups: Vec<u32>,
    /// The collect's token: samples that the trainer holds.
    pub token: String,
    /// The trainer's version.
    pub version: Version,
    /// The bound of the asker's configuration.
    pub bound: u64,
    /// Most samples.
    pub max: u32,
    /// Longest wait for the first sample, in milliseconds.
    pub wait_ms: u64,
}

/// Answers to calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Done.
    Done,
    /// Refused, with the reason.
    Refused(CompactString),
    /// Entries that stored a prepared configuration, of the receiver and its leaves.
    Confirmed(BTreeSet<CompactString>),
    /// Who answers, and the number in force there.
    Report {
        /// The answering incarnation.
        incarnation: u64,
        /// Its configuration number.
        number: u64,
    },
    /// The configuration in force.
    Config {
        /// Its number.
        number: u64,
        /// Its content.
        document: serde_json::Value,
    },
    /// Finished samples, and the asked groups that the runner lacks.
    Samples {
        /// The samples.
        samples: Vec<Sample>,
        /// Groups to assign again.
        missing: Vec<u32>,
    },
    /// The claim is granted: the asker may execute.
    Granted,
    /// The key was executed before; this came of it.
    Repeat(StoredResponse),
    /// The key is being executed.
    InProgress,
    /// The key was claimed by a request whose outcome is not known.
    ClaimUnknown,
    /// The key was used with another request.
    KeyConflict,
    /// Nothing could be claimed: the object API is unreachable.
    NotClaimed,
}

/// Why a frame could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// Not the CBOR of a frame.
    #[error("malformed frame: {0}")]
    Malformed(String),
}

impl Frame {
    /// The frame as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(|e| Error::Malformed(e.to_string()))?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads a frame from CBOR.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(|e| Error::Malformed(e.to_string()))
    }
}
