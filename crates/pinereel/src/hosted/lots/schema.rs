//! How lots and their results lie in the object store.
//!
//! | kind | name | spec | status |
//! |---|---|---|---|
//! | `pinereel-lots` | lot's name | [`AcceptedLot`]; once it is ended, a [`Tombstone`] | [`LotStatus`] |
//! | `pinereel-results-LOT` | position of the first sample, six digits | [`Segment`], never changed | |
//!
//! | `pinereel-drafts-LOT` | its runner, in this start | unfinished texts by item | |
//!
//! A lot's name is its id, after its workspace if it has one ([`name`]): a call of another workspace looks
//! elsewhere and finds nothing.
//!
//! All are created only if they do not exist; that create is the acceptance of a
//! lot, and the commit of results.

use compact_str::{CompactString, format_compact};
use pinereel_core::hash::Digest;
use pinereel_port::{
    Adapter, Fault,
    live::Caller,
    lot::{Sample, Submission},
    store::Object,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};

/// Most samples of one segment, so that a reader finds the one that holds a position by one list.
pub(super) const MAX_SEGMENT_SAMPLES: usize = 16;

/// Kind of the accepted lots.
pub(super) const LOT_KIND: &str = "pinereel-lots";

/// The name of what a caller knows by `id`: a lot, or an item of one. Other callers' names differ.
pub(super) fn scoped_id(caller: &Caller, id: &str) -> CompactString {
    let Some(workspace) = caller.workspace() else {
        return id.into();
    };
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !workspace.is_empty() && workspace.chars().all(is_plain) {
        return format_compact!("{workspace}.{id}");
    }
    // A dot or slash in it must not make two names one, or another path.
    format_compact!("{}.{id}", Digest::of(workspace.as_bytes()))
}

/// An accepted lot, as it is written.
#[derive(Serialize)]
pub(super) struct LotSpec<'a> {
    /// Workspace that it belongs to; none if the configuration knew none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) workspace: Option<&'a str>,
    /// Host that it was sent to.
    pub(super) host: &'a str,
    /// Path that it was sent to.
    pub(super) path: &'a str,
    /// Its model: runners of other models need not read on.
    pub(super) model: &'a str,
    /// The lot as its trainer sent it.
    pub(super) lot: &'a RawValue,
}

/// An accepted lot, as it is read.
#[derive(Debug)]
pub(super) struct AcceptedLot {
    /// On whose behalf its items run.
    pub(super) caller: Caller,
    /// Host that it was sent to.
    pub(super) host: CompactString,
    /// Path that it was sent to.
    pub(super) path: CompactString,
    /// The lot.
    pub(super) submission: Submission,
}

/// What is kept of a lot some time after its trainer has ended it.
///
/// Who begins to run a model's lots lists all that are kept, for three minutes each. Whole ones, of
/// 0.1 MB to 0.3 MB, took 0.6 s to 0.9 s before the first of the open ones was run.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Tombstone {
    /// Its model.
    pub(super) model: CompactString,
    /// How many items it had.
    pub(super) items: usize,
}

/// How a lot stands.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct LotStatus {
    /// Whether its trainer has ended it.
    pub(super) ended: bool,
}

/// Some results, at positions one after the other.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Segment {
    /// Items of the whole lot.
    pub(super) total: usize,
    /// The results.
    pub(super) samples: Vec<Sample>,
}

/// Kind of the results of a lot.
pub(super) fn results_kind(lot: &str) -> CompactString {
    format_compact!("pinereel-results-{lot}")
}

/// Kind of the unfinished texts of a lot, as its runners wrote them.
pub(super) fn checkpoint_kind(lot: &str) -> CompactString {
    format_compact!("pinereel-drafts-{lot}")
}

/// Name of the segment that begins at a position.
pub(super) fn segment_name(from: usize) -> CompactString {
    format_compact!("{from:06}")
}

/// Reads an accepted lot.
pub(super) fn parse_lot(adapter: &Adapter, object: &Object) -> Result<AcceptedLot, Fault> {
    let text = |field: &str| {
        let value = object.spec.get(field).and_then(Value::as_str);
        let value = value.ok_or_else(|| Fault::new("accepted lot", format!("no {field}")));
        value.map(CompactString::from)
    };
    let lot = object.spec.get("lot").unwrap_or(&Value::Null);
    let workspace = object.spec.get("workspace").and_then(Value::as_str);
    let caller = workspace.map_or(Caller::Open, |name| Caller::Workspace(name.into()));
    Ok(AcceptedLot {
        caller,
        host: text("host")?,
        path: text("path")?,
        submission: (adapter.lot.submission)(lot)?,
    })
}

impl Tombstone {
    /// What is or would be kept of a lot.
    pub(super) fn of(adapter: &Adapter, object: &Object) -> Result<Self, Fault> {
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

/// Reads what is kept of an ended lot; none if it is there as it was sent.
pub(super) fn parse_tombstone(object: &Object) -> Option<Tombstone> {
    Tombstone::deserialize(&object.spec).ok()
}

/// The model of a lot, if its object tells.
pub(super) fn lot_model(object: &Object) -> Option<&str> {
    object.spec.get("model").and_then(Value::as_str)
}

/// Whether a lot is ended.
pub(super) fn is_ended(object: &Object) -> bool {
    // No status yet is a lot that goes on.
    LotStatus::deserialize(&object.status).is_ok_and(|status| status.ended)
}

/// Reads a segment, with the position of its first sample.
pub(super) fn parse_segment(object: &Object) -> Result<(usize, Segment), Fault> {
    let from = object.name.parse();
    let from = from.map_err(|_| Fault::new("segment", format!("name {}", object.name)))?;
    let segment = Segment::deserialize(&object.spec).map_err(|e| Fault::new("segment", e))?;
    Ok((from, segment))
}
