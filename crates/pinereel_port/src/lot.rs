//! Lots, which are the samples that one trainer wants for one training step: their submission, the
//! requests that read or end them, and their results.

use crate::DecodeError;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;

/// A request to read or end a lot, decoded from its method and path. Trainers send them, and anyone
/// else who reads lots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads the results of a lot.
    ReadResults {
        /// Id of the lot.
        lot: CompactString,
        /// Index of the first requested result, counted from 0.
        offset: usize,
    },
    /// Reads the body of the request that an item sends to its engine.
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
    /// Any other request.
    Other,
}

/// A lot as the trainer submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Model that generates the samples.
    pub model: CompactString,
    /// Oldest version of the model's weights that may generate a sample.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub required_groups: usize,
    /// The items in the order of submission.
    pub items: Vec<Item>,
}

/// One sample to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Id of the item, also used as the id of its request to the engine.
    pub id: CompactString,
    /// Path of the request to the engine.
    pub path: CompactString,
    /// Headers of the request to the engine.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the request to the engine.
    pub body: Bytes,
    /// Id of the group; all items of a group have the same prompt.
    pub group: CompactString,
    /// The trainer's estimate of the number of output tokens; often far off.
    pub output_tokens_hint: Option<u32>,
    /// The request that scores the sample's text, if it is to be scored.
    pub scorer: Option<Scorer>,
}

/// What is needed of a submitted lot to accept it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Name of the model.
    pub model: CompactString,
    /// Number of items.
    pub items: usize,
}

/// The request that scores a generated text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scorer {
    /// Id of the request.
    pub id: CompactString,
    /// Host of the route that the request is sent to.
    pub host: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Body of the request.
    pub body: Bytes,
}

/// The result of one item. Its position in the list of results does not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Id of the item.
    pub item: CompactString,
    /// The generated output; `None` if the item was given up.
    #[serde(rename = "made")]
    pub output: Option<Output>,
}

/// A completely generated text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Output {
    /// Concatenated data of all events of the stream, in order.
    pub text: String,
    /// All versions of the weights that generated a part of the text, ascending.
    pub versions: Vec<u64>,
    /// Signature of the scoring response; `None` if the item has no scorer.
    pub score: Option<CompactString>,
}

/// A contiguous range of a lot's results.
#[derive(Clone, Copy, Debug)]
pub struct ResultsPage<'a> {
    /// Number of items in the lot.
    pub total: usize,
    /// Index of the first sample of this page.
    pub offset: usize,
    /// The results, in order.
    pub samples: &'a [Sample],
}

/// One server-sent event of a generation stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id, which increases by one with each event.
    pub id: u64,
    /// Version of the weights that generates this event and the following ones, if it changes here.
    pub version: Option<u64>,
    /// The part of the text that the event carries.
    pub data: String,
}

/// Decodes what trainers send and encodes the responses.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Decodes the method, path and query of a request.
    pub decode_request: fn(&actix_http::Method, &str, &str) -> Request,
    /// Decodes a submitted lot.
    pub decode_submission: fn(&Value) -> Result<Submission, DecodeError>,
    /// Checks the JSON text of a submitted lot, one item at a time.
    pub check_submission: fn(&str) -> Result<Summary, DecodeError>,
    /// Encodes a page of results.
    pub encode_results: fn(ResultsPage<'_>) -> Vec<u8>,
    /// Decodes one complete event of a stream, without the blank line that ends it.
    pub decode_event: fn(&str) -> Result<Event, DecodeError>,
    /// Maximum time for which a read is held open until there are new results.
    pub max_long_poll_wait: Duration,
    /// Maximum size of a results page in bytes.
    pub max_page_bytes: usize,
}
