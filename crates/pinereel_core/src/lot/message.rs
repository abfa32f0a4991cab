//! Messages of a runner: the [`Event`]s that it handles and the [`Action`]s that it returns.

use super::{AttemptKey, Spec};
use crate::{Span, Version, cursor, fair::Class, provenance::Stamp};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A finished sample, as sent between instances and to the trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index of the group in the lot.
    pub group: u32,
    /// Index of the sample in the lot.
    pub index: u32,
    /// The complete output text.
    pub text: String,
    /// Number of output tokens.
    pub tokens: u32,
    /// Weight versions that computed it: reused prefixes first, then the output, in order.
    pub spans: Vec<Span>,
    /// Score from the scoring service, if the trainer's configuration names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<f64>,
}

/// Capacity of an endpoint that this runner may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Name of the endpoint.
    pub endpoint: CompactString,
    /// The model that it serves.
    pub model: CompactString,
    /// Version that it probably serves; only a hint for scheduling.
    pub version: Version,
    /// Most concurrent attempts of this runner; 0 stops new attempts there.
    pub slots: u32,
}

/// A chunk of the output stream of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Offset, token count and weight versions as stamped by the engine.
    pub stamp: Stamp,
    /// The new text.
    pub text: String,
    /// On the last chunk: why the stream ended.
    pub finish: Option<Finish>,
}

/// Why an engine ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finish {
    /// The sample is complete.
    Complete,
    /// Cancelled or preempted.
    Cancelled,
}

/// Why an attempt ended without its last chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The attempt certainly did not run; the endpoint gets no new attempts until it is offered again.
    NotRun,
    /// The attempt may have run, or its stream broke off.
    Lost,
}

/// A trainer's collect, as forwarded to one runner by the instance that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CollectRequest {
    /// Id of the call, returned with the answer.
    pub call: u64,
    /// Id of the lot.
    pub lot: CompactString,
    /// Groups that the sender expects on this runner.
    pub groups: Vec<u32>,
    /// The trainer's cursor token.
    pub token: cursor::Token,
    /// The version that the trainer states.
    pub version: Version,
    /// Staleness bound by the sender's configuration, in versions.
    pub bound: u64,
    /// Most samples in the answer.
    pub max_samples: usize,
}

/// Input of [`Runner::step`](super::Runner::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Run these groups. Idempotent by the id and digest of the lot.
    Assign(Spec),
    /// Capacity or version of an endpoint changed; replaces its earlier offer.
    Offer(Offer),
    /// The next chunk of an attempt.
    Chunk(Chunk),
    /// An attempt ended without a last chunk.
    Failed {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// Whether it may have run.
        failure: Failure,
    },
    /// An endpoint crashed or left: all attempts on it are lost.
    EndpointLost {
        /// Name of the endpoint.
        endpoint: CompactString,
    },
    /// A version of a model was published.
    Published {
        /// Name of the model.
        model: CompactString,
        /// The version.
        version: Version,
    },
    /// A configuration change set a new staleness bound for a trainer.
    BoundChanged {
        /// Name of the trainer.
        trainer: CompactString,
        /// The new bound, in versions.
        bound: u64,
    },
    /// A trainer collects finished samples.
    Collect(CollectRequest),
    /// The answer to [`Action::Score`].
    Scored {
        /// Ticket of the action.
        ticket: u64,
        /// The score.
        score: f64,
    },
    /// Scoring failed; it is retried on a later tick.
    ScoreFailed {
        /// Ticket of the action.
        ticket: u64,
    },
    /// Take over from a draining runner.
    Handover {
        /// The lot with its groups.
        spec: Spec,
        /// Finished samples.
        samples: Vec<Sample>,
    },
    /// Start no more attempts, and hand over.
    Drain,
    /// Periodic timer, several times per second.
    Tick,
}

/// Parameters of a new attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Key of the attempt, repeated in its chunks.
    pub attempt: AttemptKey,
    /// Name of the endpoint.
    pub endpoint: CompactString,
    /// Id of the lot.
    pub lot: CompactString,
    /// Index of the sample in the lot.
    pub index: u32,
    /// The prompt.
    pub prompt: String,
    /// Most output tokens, including those in `resume`.
    pub max_tokens: u32,
    /// Sampling seed; the same for each attempt of a sample.
    pub seed: u64,
    /// Output text from which to resume; empty to start from the prompt.
    pub resume: String,
    /// Number of output tokens in `resume`.
    pub resume_tokens: u32,
    /// Priority class at the engine.
    pub class: Class,
}

/// Output of [`Runner::step`](super::Runner::step), carried out by the caller in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Start(Start),
    /// Cancel an attempt; chunks that still arrive are dropped.
    Cancel {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// Endpoint on which it runs.
        endpoint: CompactString,
    },
    /// Have a finished sample scored.
    Score {
        /// Identifies this scoring in the answer.
        ticket: u64,
        /// Name of the trainer.
        trainer: CompactString,
        /// The prompt.
        prompt: String,
        /// The sample's text.
        text: String,
    },
    /// The groups were accepted.
    Assigned {
        /// Id of the lot.
        lot: CompactString,
    },
    /// The groups were refused.
    Refused {
        /// Id of the lot.
        lot: CompactString,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// Answer to a collect.
    Answer {
        /// Id of the call.
        call: u64,
        /// Finished samples that the token lacks and that meet the staleness bound.
        samples: Vec<Sample>,
        /// Requested groups that are not assigned to this runner.
        missing: Vec<u32>,
    },
    /// A collect's token was refused.
    Rejected {
        /// Id of the call.
        call: u64,
        /// Why the token was refused.
        error: cursor::Error,
    },
    /// A sample finished: waiting collects may be repeated.
    Ready {
        /// Id of the lot.
        lot: CompactString,
    },
    /// A lot was dropped.
    Dropped {
        /// Id of the lot.
        lot: CompactString,
        /// Why it was dropped.
        reason: Refusal,
    },
    /// Hand these samples over to the next runner of their groups.
    Handover {
        /// The lot with its groups.
        spec: Spec,
        /// Finished samples.
        samples: Vec<Sample>,
    },
}

/// Why a lot is refused or dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The id is in use by a lot with another digest.
    #[error("the lot id is in use with another digest")]
    Conflict,
    /// The trainer is more than [`Limits::max_steps_ahead`](super::Limits::max_steps_ahead) ahead.
    #[error("the trainer is too many steps ahead")]
    Superseded,
    /// A limit on lots, samples or text is reached.
    #[error("too many lots or samples here")]
    Full,
    /// The sample ranges of the groups overlap, changed, or exceed the largest lot.
    #[error("malformed groups")]
    Malformed,
    /// This runner is draining.
    #[error("draining")]
    Draining,
    /// No assign or collect came for long after its deadline.
    #[error("nobody asked for it long after its deadline")]
    Idle,
}
