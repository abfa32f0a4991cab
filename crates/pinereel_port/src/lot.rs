//! What trainers send and read.

use crate::DecodeError;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;

/// One call of a trainer, or of anyone who reads lots, by its method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads results.
    ReadResults {
        /// Id of the lot.
        lot: CompactString,
        /// First position that is asked for, counted from 0.
        offset: usize,
    },
    /// Reads what an item sends to its engine.
    ReadItemBody {
        /// Id of the lot.
        lot: CompactString,
        /// Id of the item.
        item: CompactString,
    },
    /// Ends a lot.
    EndLot {
        /// Id of the lot.
        lot: CompactString,
    },
    /// None of these.
    Other,
}

/// A lot as it was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Model that makes the samples.
    pub model: CompactString,
    /// Oldest version of its weights that may be used.
    pub min_version: u64,
    /// Whole groups that the trainer waits for.
    pub required_groups: usize,
    /// The items, in order.
    pub items: Vec<Item>,
}

/// One sample to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Id, also of the request at the engine.
    pub id: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Headers of the request.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the request.
    pub body: Bytes,
    /// Names the item's whole prompt and its model, if its headers do.
    pub prompt_id: Option<CompactString>,
    /// Items of a group share their prompt.
    pub group: CompactString,
    /// Estimate of the output's tokens by the trainer; often far off.
    pub output_tokens_hint: Option<u32>,
    /// The request that scores the sample's text.
    pub scorer: Option<Scorer>,
}

/// The request that scores a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scorer {
    /// Id of the request.
    pub id: CompactString,
    /// Host of its route.
    pub host: CompactString,
    /// Its path.
    pub path: CompactString,
    /// Its body.
    pub body: Bytes,
}

/// One result, at a fixed position of its lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Id of the item.
    pub item: CompactString,
    /// The text and what is known of it; none if the item was given up.
    #[serde(rename = "made")]
    pub output: Option<Output>,
}

/// A finished sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Output {
    /// Data of all events, in order.
    pub text: String,
    /// All versions of the weights that made a part of it, ascending.
    pub versions: Vec<u64>,
    /// The scoring answer's signature; none if no score was asked for.
    pub score: Option<CompactString>,
}

/// A part of a lot's results.
#[derive(Clone, Copy, Debug)]
pub struct ResultsPage<'a> {
    /// Items of the lot.
    pub total: usize,
    /// Position of the first sample here.
    pub offset: usize,
    /// The samples.
    pub samples: &'a [Sample],
}

/// One event of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, counted up by one.
    pub id: u64,
    /// Version of the weights from this event on, if it changes here.
    pub version: Option<u64>,
    /// Its part of the text.
    pub data: String,
}

/// Reads trainers' calls and writes their answers.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reads method, path and query.
    pub decode_request: fn(&actix_http::Method, &str, &str) -> Request,
    /// Reads a submitted lot.
    pub decode_submission: fn(&Value) -> Result<Submission, DecodeError>,
    /// Writes results.
    pub encode_results: fn(ResultsPage<'_>) -> Vec<u8>,
    /// Reads one whole event of a stream, without the empty line that ends it.
    pub decode_event: fn(&str) -> Result<Event, DecodeError>,
    /// Longest that a read may be kept waiting.
    pub max_long_poll_wait: Duration,
    /// Most bytes of one reading.
    pub max_page_bytes: usize,
}
