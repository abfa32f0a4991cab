//! What a runner knows of its lots.

use super::{
    checkpoint::{Checkpoint, longest_outputs},
    cleanup::FirstSeen,
    schema::Tombstone,
};
use compact_str::CompactString;
use pinereel_core::batch::{DemandWindow, Fleet, Lot};
use pinereel_port::{
    live::Caller,
    lot::{Event, Submission},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

#[derive(Default)]
pub(super) struct State {
    /// Lots that are neither ended nor complete, and those whose results are being read.
    pub(super) lots: BTreeMap<CompactString, OpenLot>,
    pub(super) opening: BTreeMap<CompactString, AbortOnDrop>,
    /// Lots that need no work any more.
    pub(super) closed: BTreeSet<CompactString>,
    /// EndedLot lots that lie in the store as they were sent.
    pub(super) ended: BTreeMap<CompactString, EndedLot>,
    /// What was asked for lately, by model.
    pub(super) demand_by_model: BTreeMap<CompactString, DemandWindow>,
    /// When each lot was first seen.
    pub(super) first_seen: FirstSeen,
    /// Engines by service and model.
    pub(super) fleets: BTreeMap<FleetKey, Fleet>,
    /// The change of the endpoint list, and the size of the working set, that each fleet was last brought up to date with.
    pub(super) fleet_sources: BTreeMap<FleetKey, (u64, usize)>,
    /// Unfinished texts of ended lots, by the name of the item.
    pub(super) kept_outputs: BTreeMap<CompactString, PartialOutput>,
    /// Names of the items of lots that were ended, which may come again.
    pub(super) known_items: BTreeSet<CompactString>,
}

/// The engines of a service, as far as they serve one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FleetKey {
    pub(super) service: CompactString,
    pub(super) model: CompactString,
}

/// A lot that is being worked on.
pub(super) struct OpenLot {
    /// On whose behalf its items run.
    pub(super) caller: Caller,
    pub(super) host: CompactString,
    pub(super) path: CompactString,
    pub(super) model: CompactString,
    pub(super) submission: Rc<Submission>,
    pub(super) lot: Lot,
    pub(super) outputs: Vec<PartialOutput>,
    pub(super) last_moves: BTreeMap<usize, Instant>,
    pub(super) tasks: BTreeMap<usize, AbortOnDrop>,
    pub(super) commit_wakeup: Rc<Notify>,
    pub(super) opened_at: Instant,
    /// Revision of the object with its unfinished texts.
    pub(super) checkpoint_revision: Option<u64>,
    pub(super) _commit_task: AbortOnDrop,
    pub(super) _checkpoint_task: AbortOnDrop,
}

impl OpenLot {
    /// The texts that are not listed, of those that have come to event `least`.
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
    /// Revision of its object.
    pub(super) revision: u64,
    /// Since when this runner knows.
    pub(super) noticed_at: Instant,
    /// What is to be kept of it.
    pub(super) tombstone: Tombstone,
}

/// A task that ends with its handle.
pub(super) struct AbortOnDrop(pub(super) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The text of an item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PartialOutput {
    /// Number of its last event.
    #[serde(rename = "last")]
    pub(super) last_event: Option<u64>,
    /// Data of its events, one a line.
    pub(super) text: String,
    /// Versions that made a part of it.
    pub(super) versions: BTreeSet<u64>,
}

impl PartialOutput {
    pub(super) fn push_event(&mut self, event: &Event, version: u64) {
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last_event = Some(event.number);
        self.versions.insert(version);
    }
}

/// One item of one lot.
#[derive(Clone, Debug)]
pub(super) struct ItemTask {
    pub(super) caller: Caller,
    pub(super) lot: CompactString,
    pub(super) index: usize,
    pub(super) item: CompactString,
    pub(super) host: CompactString,
    pub(super) fleet: FleetKey,
    pub(super) oldest_version: u64,
}
