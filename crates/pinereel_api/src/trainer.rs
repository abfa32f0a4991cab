//! Trainers: submit a lot, collect its samples, publish weights.
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

/// The samples that a trainer wants for one step. Idempotent by `id` and content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lot {
    /// Unique id, chosen by the trainer.
    pub id: CompactString,
    /// The trainer, as named in the configuration.
    pub trainer: CompactString,
    /// The step that the samples are for; grows from lot to lot.
    pub step: u64,
    /// The trainer's version when it submits.
    pub version: Version,
    /// The groups of samples.
    pub groups: Vec<Group>,
    /// Milliseconds until the samples are wanted.
    pub deadline_ms: u64,
}

/// Samples of one prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The prompt.
    pub prompt: String,
    /// How many samples.
    pub samples: u32,
    /// Most tokens of each sample.
    pub max_tokens: u32,
}

/// Answer to a submit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// Samples in the lot.
    pub samples: u32,
    /// The token of the first collect.
    pub token: String,
}

/// Asks for samples that the trainer does not hold yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collect {
    /// The token of the last answer that the trainer took, or of the submit.
    pub token: String,
    /// The trainer's version now: staleness is judged against it.
    pub version: Version,
    /// Most samples in the answer.
    pub max: u32,
    /// Longest wait for the first sample, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a collect. The trainer takes it only if `basis` is the token it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Collected {
    /// The token that the collect carried.
    pub basis: String,
    /// The token of the next collect.
    pub token: String,
    /// Samples that were not in the basis.
    pub samples: Vec<Sample>,
    /// Samples of the lot that the trainer lacks after this answer.
    pub remaining: u32,
}

/// Announces new weights of the trainer's model, which the weight store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// The new version; higher than all before.
    pub version: Version,
}

/// Answer to a publish. A repeat of a known version is answered alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The newest version of the model.
    pub version: Version,
}
