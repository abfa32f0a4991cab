//! What a runner is told, and what it wants done.

use super::{AttemptKey, Spec};
use crate::{Span, Version, cursor, fair::Class, provenance::Stamp};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A finished sample; also what travels between entries and to the trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index of the group in the lot.
    pub group: u32,
    /// Index in the whole lot.
    pub index: u32,
    /// The whole text.
    pub text: String,
    /// Output tokens.
    pub tokens: u32,
    /// The versions that made it: what was reused first, then output, in order.
    pub spans: Vec<Span>,
    /// Score of the scoring service, if the trainer's configuration names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<f64>,
}

/// An endpoint that may run attempts of this runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Its key.
    pub endpoint: CompactString,
    /// The model that it serves.
    pub model: CompactString,
    /// The version that it is believed to serve; only a hint for scheduling.
    pub version: Version,
    /// Most attempts of this runner at once; 0 stops new work there.
    pub slots: u32,
}

/// A chunk of an attempt's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The engine's stamps.
    pub stamp: Stamp,
    /// The new text.
    pub text: String,
    /// On the last chunk: why it ended.
    pub finish: Option<Finish>,
}

/// Why an engine ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finish {
    /// The sample is whole.
    Complete,
    /// Cancelled or preempted.
    Cancelled,
}

/// Why an attempt gave no whole sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// It certainly did not run; the endpoint gets nothing more until it is offered again.
    NotRun,
    /// It may have run, or broke off.
    Lost,
}

/// A collect, as the front passes it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CollectRequest {
    /// Id of the call, given back with the answer.
    pub call: u64,
    /// Id of the lot.
    pub lot: CompactString,
    /// Groups that the asker believes this runner to run.
    pub groups: Vec<u32>,
    /// The collect's token.
    pub token: cursor::Token,
    /// The version that the trainer states.
    pub version: Version,
    /// The bound of the asker's configuration.
    pub bound: u64,
    /// Most samples in the answer.
    pub max: usize,
}

/// What happens to a runner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Run these groups. Idempotent by id and digest.
    Assign(Spec),
    /// An endpoint's slots or version; replaces what was offered before.
    Offer(Offer),
    /// The next chunk of an attempt.
    Chunk(Chunk),
    /// An attempt ended without a last chunk.
    Failed {
        /// The attempt.
        attempt: AttemptKey,
        /// What is known of it.
        failure: Failure,
    },
    /// An endpoint crashed: all its attempts are lost.
    EndpointLost {
        /// The endpoint.
        endpoint: CompactString,
    },
    /// A version of a model was published.
    Published {
        /// The model.
        model: CompactString,
        /// The version.
        version: Version,
    },
    /// A patch changed a trainer's staleness bound.
    BoundChanged {
        /// The trainer.
        trainer: CompactString,
        /// The new bound, in versions.
        bound: u64,
    },
    /// A collect.
    Collect(CollectRequest),
    /// The answer to [`Action::Score`].
    Scored {
        /// Ticket of the action.
        ticket: u64,
        /// The score.
        score: f64,
    },
    /// Scoring failed; it is tried again on a later tick.
    ScoreFailed {
        /// Ticket of the action.
        ticket: u64,
    },
    /// Take over from a runner that stops.
    Handover {
        /// The lot with its groups.
        spec: Spec,
        /// Finished samples.
        samples: Vec<Sample>,
    },
    /// Start nothing more, and hand over.
    Drain,
    /// Time passed; a few a second.
    Tick,
}

/// Starts an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The attempt; its chunks name it.
    pub attempt: AttemptKey,
    /// The endpoint.
    pub endpoint: CompactString,
    /// The lot.
    pub lot: CompactString,
    /// Index of the sample in the lot.
    pub index: u32,
    /// The prompt.
    pub prompt: String,
    /// Most output tokens, those of `resume` included.
    pub max_tokens: u32,
    /// Seed of the sampling; the same for each attempt of a sample.
    pub seed: u64,
    /// Text to go on from.
    pub resume: String,
    /// Tokens in `resume`.
    pub resume_tokens: u32,
    /// Priority at the engine.
    pub class: Class,
}

/// What a runner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Start(Start),
    /// Cancel an attempt; its later chunks are dropped.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
        /// Where it runs.
        endpoint: CompactString,
    },
    /// Have a sample scored.
    Score {
        /// Names this scoring in the answer.
        ticket: u64,
        /// The trainer.
        trainer: CompactString,
        /// The prompt.
        prompt: String,
        /// The sample's text.
        text: String,
    },
    /// The groups were taken.
    Assigned {
        /// The lot.
        lot: CompactString,
    },
    /// The groups were refused.
    Refused {
        /// The lot.
        lot: CompactString,
        /// Why.
        reason: Refusal,
    },
    /// Answer to a collect.
    Answer {
        /// Id of the call.
        call: u64,
        /// Finished samples that are outside the token and fit the bound.
        samples: Vec<Sample>,
        /// Asked groups that this runner lacks.
        missing: Vec<u32>,
    },
    /// A collect's token was refused.
    Rejected {
        /// Id of the call.
        call: u64,
        /// Why.
        error: cursor::Error,
    },
    /// Something new can be collected: waiting collects may ask again.
    Ready {
        /// The lot.
        lot: CompactString,
    },
    /// A lot is forgotten.
    Dropped {
        /// The lot.
        lot: CompactString,
        /// Why.
        reason: Refusal,
    },
    /// Hand these samples to the next runner.
    Handover {
        /// The lot with its groups.
        spec: Spec,
        /// Finished samples.
        samples: Vec<Sample>,
    },
}

/// Why a lot is refused or forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The id is in use with other content.
    #[error("the lot id is in use with another digest")]
    Conflict,
    /// The trainer is more than [`Limits::max_steps_ahead`](super::Limits::max_steps_ahead) ahead.
    #[error("the trainer is too many steps ahead")]
    Superseded,
    /// A limit on lots or samples is reached.
    #[error("too many lots or samples here")]
    Full,
    /// The groups reach beyond the largest lot or overlap.
    #[error("malformed groups")]
    Malformed,
    /// This runner is draining.
    #[error("draining")]
    Draining,
    /// Nobody asked for it long after its deadline.
    #[error("nobody asked for it long after its deadline")]
    Idle,
}
