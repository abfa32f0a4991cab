//! Layout of lots, results and checkpoints in the object store.
//!
//! | kind | name | spec | status |
//! |---|---|---|---|
//! | `pinereel-lots` | [`scoped_id`] | [`LotSpec`]; [`Tombstone`] after its end | [`LotStatus`] |
//! | `pinereel-results-LOT` | [`segment_name`] | [`Segment`], immutable | |
//! | `pinereel-drafts-LOT` | id of the runner's process | partial outputs by item id | |
//!
//! All objects are created with a conditional create (only if they do not exist): the create of a
//! lot object is the lot's acceptance, and the create of a segment commits its results.

use compact_str::{CompactString, format_compact};
use pinereel_core::hash::Digest;
use pinereel_port::{
    Adapter, DecodeError,
    headers::Caller,
    lot::{Sample, Submission},
    store::Object,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};

/// Upper bound of the samples in a segment. With it, one list call finds the segment that holds a
/// given position.
pub(super) const MAX_SEGMENT_SAMPLES: usize = 16;

/// Kind of the lot objects.
pub(super) const LOT_KIND: &str = "pinereel-lots";

/// The id of a lot or item, prefixed with the caller's workspace if it has one. Ids of different
/// workspaces never collide, so a call from another workspace finds nothing.
pub(super) fn scoped_id(caller: &Caller, id: &str) -> CompactString {
    let Some(workspace) = caller.workspace() else {
        return id.into();
    };
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !workspace.is_empty() && workspace.chars().all(is_plain) {
        return format_compact!("{workspace}.{id}");
    }
    // Hashed, because a dot or slash in the workspace could make two ids equal or change the path.
    format_compact!("{}.{id}", Digest::of(workspace.as_bytes()))
}

/// Spec of a lot object, for writing.
#[derive(Serialize)]
pub(super) struct LotSpec<'a> {
    /// Workspace of the caller; absent if the configuration has no workspaces.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) workspace: Option<&'a str>,
    /// Host that it was submitted to.
    pub(super) host: &'a str,
    /// Path that it was submitted to.
    pub(super) path: &'a str,
    /// Model of the lot, repeated here so that runners of other models need not parse the lot.
    pub(super) model: &'a str,
    /// The submission, unchanged.
    pub(super) lot: &'a RawValue,
}

/// Spec of a lot object, parsed.
#[derive(Debug)]
pub(super) struct AcceptedLot {
    /// Caller on whose behalf its items run.
    pub(super) caller: Caller,
    /// Host that it was submitted to.
    pub(super) host: CompactString,
    /// Path that it was submitted to.
    pub(super) path: CompactString,
    /// The submission.
    pub(super) submission: Submission,
}

/// Replaces the spec of a lot after its trainer has ended it.
///
/// A new runner of a model lists all retained lots, which stay for three minutes each. With whole
/// lots of 0.1 MB to 0.3 MB, that took 0.6 s to 0.9 s before the first open lot was run.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Tombstone {
    /// Model of the lot.
    pub(super) model: CompactString,
    /// Number of its items.
    pub(super) items: usize,
}

/// Status of a lot object.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct LotStatus {
    /// Whether its trainer has ended it.
    pub(super) ended: bool,
}

/// Committed results at consecutive positions; the name of the object gives the first.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Segment {
    /// Number of items of the whole lot.
    pub(super) total: usize,
    /// The results, in the order of their positions.
    pub(super) samples: Vec<Sample>,
}

/// Kind of the segments of a lot.
pub(super) fn results_kind(lot: &str) -> CompactString {
    format_compact!("pinereel-results-{lot}")
}

/// Kind of the checkpoints of a lot, one object for each process that ran it.
pub(super) fn checkpoint_kind(lot: &str) -> CompactString {
    format_compact!("pinereel-drafts-{lot}")
}

/// Name of the segment whose first sample has position `from`, padded so that names sort by
/// position.
pub(super) fn segment_name(from: usize) -> CompactString {
    format_compact!("{from:06}")
}

/// Parses a lot object that is not a [`Tombstone`].
pub(super) fn parse_lot(adapter: &Adapter, object: &Object) -> Result<AcceptedLot, DecodeError> {
    let text = |field: &str| {
        let value = object.spec.get(field).and_then(Value::as_str);
        let value = value.ok_or_else(|| DecodeError::new("accepted lot", format!("no {field}")));
        value.map(CompactString::from)
    };
    let lot = object.spec.get("lot").unwrap_or(&Value::Null);
    let workspace = object.spec.get("workspace").and_then(Value::as_str);
    let caller = workspace.map_or(Caller::PassThrough, |name| Caller::Workspace(name.into()));
    Ok(AcceptedLot {
        caller,
        host: text("host")?,
        path: text("path")?,
        submission: (adapter.lot.decode_submission)(lot)?,
    })
}

impl Tombstone {
    /// The tombstone that the object holds, or the one that would replace it.
    pub(super) fn of(adapter: &Adapter, object: &Object) -> Result<Self, DecodeError> {
        if let Some(tombstone) = parse_tombstone(object) {
            return Ok(tombstone);
        }
        let submission = parse_lot(adapter, object)?.submission;
        Ok(Self {
            model: submission.model,
            items: submission.items.len(),
        })
    }
}

/// Parses a tombstone; `None` if the object still holds the whole submission.
pub(super) fn parse_tombstone(object: &Object) -> Option<Tombstone> {
    Tombstone::deserialize(&object.spec).ok()
}

/// The model of a lot object; `None` if its spec names none.
pub(super) fn lot_model(object: &Object) -> Option<&str> {
    object.spec.get("model").and_then(Value::as_str)
}

/// Whether the trainer has ended the lot.
pub(super) fn is_ended(object: &Object) -> bool {
    // A lot without a status is not ended.
    LotStatus::deserialize(&object.status).is_ok_and(|status| status.ended)
}

/// Parses a segment and the position of its first sample.
pub(super) fn parse_segment(object: &Object) -> Result<(usize, Segment), DecodeError> {
    let from = object.name.parse();
    let from = from.map_err(|_| DecodeError::new("segment", format!("name {}", object.name)))?;
    let segment = Segment::deserialize(&object.spec).map_err(|e| DecodeError::new("segment", e))?;
    Ok((from, segment))
}
