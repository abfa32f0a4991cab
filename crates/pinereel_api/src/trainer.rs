//! HTTP API for trainers: submit a lot, collect its samples, publish weights.
//!
//! | call | path | answer |
//! |---|---|---|
//! | submit | `POST /v1/lots` [`Lot`] | 200 [`Submitted`] |
//! | collect | `POST /v1/lots/{lot}/collect` [`Collect`] | 200 [`Collected`] |
//! | publish | `POST /v1/trainers/{trainer}/versions` [`Publish`] | 200 [`Published`] |

use compact_str::CompactString;
use pinereel_core::Version;
use serde::{Deserialize, Serialize};

pub use pinereel_core::lot::Sample;

/// Samples that a trainer wants for one step. A submit is idempotent by `id` and content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lot {
    /// Id of the lot, chosen by the trainer; unique.
    pub id: CompactString,
    /// Name of the trainer in the configuration.
    pub trainer: CompactString,
    /// Training step that uses the samples; increases from lot to lot.
    pub step: u64,
    /// Version of the trainer's weights at the submit.
    pub version: Version,
    /// Samples, grouped by prompt.
    pub groups: Vec<Group>,
    /// Deadline of all samples, in milliseconds from the submit.
    pub deadline_ms: u64,
}

/// Samples for one prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Text to complete.
    pub prompt: String,
    /// Number of samples.
    pub samples: u32,
    /// Maximum number of tokens per sample.
    pub max_tokens: u32,
}

/// Response to a submit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// Number of samples in the lot.
    pub samples: u32,
    /// Cursor token for the first collect.
    pub token: String,
}

/// Request for samples that the trainer does not have yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collect {
    /// Cursor token of the last response that the trainer accepted, or of the submit.
    pub token: String,
    /// Current version of the trainer's weights, against which staleness is computed.
    pub version: Version,
    /// Maximum number of samples in the response.
    pub max: u32,
    /// Maximum wait for the first sample, in milliseconds.
    pub wait_ms: u64,
}

/// Response to a collect. The trainer accepts it only if `basis` is its current cursor token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Collected {
    /// Cursor token of the collect.
    pub basis: String,
    /// Cursor token for the next collect.
    pub token: String,
    /// Samples that `basis` does not include.
    pub samples: Vec<Sample>,
    /// Number of samples of the lot that are missing after this response.
    pub remaining: u32,
}

/// Announces new weights of the trainer's model, which are in the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// New version; higher than all earlier ones.
    pub version: Version,
}

/// Response to a publish, and to a repeated one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Newest version of the model.
    pub version: Version,
}
