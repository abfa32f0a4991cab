//! In-memory state of a runner: its lots, the partial outputs of their items, and the engines.

use super::{
    checkpoint::{Checkpoint, longest_outputs},
    schema::Tombstone,
};
use compact_str::CompactString;
use pinereel_core::{
    batch::{DemandWindow, Fleet, Lot, StoredLots},
    rollout::EngineShares,
};
use pinereel_port::{
    headers::Caller,
    lot::{Event, Submission},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

/// State of the runner on this instance, over all models whose lease it holds.
#[derive(Default)]
pub(super) struct State {
    /// Lots that are neither ended nor complete.
    pub(super) open_lots: BTreeMap<CompactString, OpenLot>,
    /// Lots whose committed results are being read, with the task that does so.
    pub(super) opening: BTreeMap<CompactString, AbortOnDrop>,
    /// Ids of lots that are ended or complete, and are not opened again.
    pub(super) closed: BTreeSet<CompactString>,
    /// Ended lots whose object still holds the whole submission; a tombstone will replace it.
    pub(super) ended: BTreeMap<CompactString, EndedLot>,
    /// Recent demand, by model.
    pub(super) demand_by_model: BTreeMap<CompactString, DemandWindow>,
    /// The lots in the store.
    pub(super) stored_lots: StoredLots,
    /// Engines by service and model.
    pub(super) fleets: BTreeMap<FleetKey, Fleet>,
    /// The revision of the endpoint list, the size of the working set and the revision of the engine
    /// shares from which each fleet was last updated.
    pub(super) fleet_sources: BTreeMap<FleetKey, (u64, usize, u64)>,
    /// How the models of each service share its engines, by service.
    pub(super) engine_shares: BTreeMap<CompactString, EngineShares>,
    /// Partial outputs of items of ended lots, by [`scoped_id`](super::schema::scoped_id); an item
    /// that is submitted again continues from there.
    pub(super) kept_outputs: BTreeMap<CompactString, PartialOutput>,
    /// Scoped ids of uncommitted items of closed lots, which may be submitted again.
    pub(super) known_items: BTreeSet<CompactString>,
}

/// Identifies a fleet: the engines of one service that serve one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FleetKey {
    pub(super) service: CompactString,
    pub(super) model: CompactString,
}

/// A lot whose items are being run.
pub(super) struct OpenLot {
    /// Caller on whose behalf its items run.
    pub(super) caller: Caller,
    /// Host and path that it was submitted to; they select its route.
    pub(super) host: CompactString,
    pub(super) path: CompactString,
    pub(super) model: CompactString,
    pub(super) submission: Rc<Submission>,
    pub(super) lot: Lot,
    /// Partial output of each item, by index.
    pub(super) outputs: Vec<PartialOutput>,
    /// When an item was last moved to another engine, by index.
    pub(super) last_moves: BTreeMap<usize, Instant>,
    /// Tasks of the items that are being run or scored, by index.
    pub(super) tasks: BTreeMap<usize, AbortOnDrop>,
    /// Notified when there are samples to commit, or when they have become urgent.
    pub(super) commit_wakeup: Rc<Notify>,
    pub(super) opened_at: Instant,
    /// Revision of this runner's checkpoint of the lot; `None` before the first write.
    pub(super) checkpoint_revision: Option<u64>,
    pub(super) _commit_task: AbortOnDrop,
    pub(super) _checkpoint_task: AbortOnDrop,
}

impl OpenLot {
    /// Checkpoint of the uncommitted items whose last event has at least number `min_event`.
    pub(super) fn checkpoint(&self, min_event: u64) -> Checkpoint {
        let items = self.submission.items.iter().zip(&self.outputs);
        let uncommitted = items.filter(|(item, output)| {
            output
                .last_event
                .is_some_and(|last_event| last_event >= min_event)
                && !self.lot.commit_log().contains(&item.id)
        });
        Checkpoint {
            outputs: longest_outputs(uncommitted.map(|(item, output)| (&item.id, output))),
            revision: self.checkpoint_revision,
        }
    }
}

/// A lot that its trainer has ended.
#[derive(Debug)]
pub(super) struct EndedLot {
    /// Revision of its object in the store.
    pub(super) revision: u64,
    /// When this runner learned that it is ended.
    pub(super) noticed_at: Instant,
    /// Replacement for its object.
    pub(super) tombstone: Tombstone,
}

/// Aborts a task when dropped.
pub(super) struct AbortOnDrop(pub(super) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Output of an item that is not finished, from which a further run resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PartialOutput {
    /// Number of its last event; `None` before the first.
    #[serde(rename = "last")]
    pub(super) last_event: Option<u64>,
    /// Data of its events, separated by newlines.
    pub(super) text: String,
    /// Versions of the weights that generated a part of it.
    pub(super) versions: BTreeSet<u64>,
}

impl PartialOutput {
    pub(super) fn push_event(&mut self, event: &Event, version: u64) {
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last_event = Some(event.id);
        self.versions.insert(version);
    }
}

/// One item of a lot, with what its task needs to run it.
#[derive(Clone, Debug)]
pub(super) struct ItemTask {
    pub(super) caller: Caller,
    pub(super) lot_id: CompactString,
    /// Index of the item in its lot.
    pub(super) index: usize,
    pub(super) item_id: CompactString,
    pub(super) host: CompactString,
    pub(super) fleet: FleetKey,
    /// Oldest version of the weights that the lot admits.
    pub(super) oldest_version: u64,
}
