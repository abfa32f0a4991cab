//! What a runner knows of its lots.

use super::{
    checkpoint::{Left, fitting},
    schema::Stub,
    cleanup::Ages,
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
    pub(super) lots: BTreeMap<CompactString, Open>,
    pub(super) opening: BTreeMap<CompactString, Task>,
    /// Lots that need no work any more.
    pub(super) closed: BTreeSet<CompactString>,
    /// Ended lots that lie in the store as they were sent.
    pub(super) ended: BTreeMap<CompactString, Ended>,
    /// What was asked for lately, by model.
    pub(super) asked: BTreeMap<CompactString, DemandWindow>,
    /// When each lot was first seen.
    pub(super) ages: Ages,
    /// Engines by service and model.
    pub(super) fleets: BTreeMap<FleetName, Fleet>,
    /// The change of the endpoint list, and the size of the working set, that each fleet was last brought up to date with.
    pub(super) synced: BTreeMap<FleetName, (u64, usize)>,
    /// Unfinished texts of ended lots, by the name of the item.
    pub(super) drafts: BTreeMap<CompactString, Draft>,
    /// Names of the items of lots that were ended, which may come again.
    pub(super) known: BTreeSet<CompactString>,
}

/// The engines of a service, as far as they serve one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FleetName {
    pub(super) service: CompactString,
    pub(super) model: CompactString,
}

/// A lot that is being worked on.
pub(super) struct Open {
    /// On whose behalf its items run.
    pub(super) caller: Caller,
    pub(super) host: CompactString,
    pub(super) path: CompactString,
    pub(super) model: CompactString,
    pub(super) submission: Rc<Submission>,
    pub(super) lot: Lot,
    pub(super) drafts: Vec<Draft>,
    pub(super) moved: BTreeMap<usize, Instant>,
    pub(super) tasks: BTreeMap<usize, Task>,
    pub(super) more: Rc<Notify>,
    pub(super) opened: Instant,
    /// Revision of the object with its unfinished texts.
    pub(super) texts_revision: Option<u64>,
    pub(super) _committer: Task,
    pub(super) _keeper: Task,
}

impl Open {
    /// The texts that are not listed, of those that have come to event `least`.
    pub(super) fn unlisted(&self, least: u64) -> Left {
        let items = self.submission.items.iter().zip(&self.drafts);
        let unlisted = items.filter(|(item, draft)| {
            draft.last.is_some_and(|last| last >= least)
                && !self.lot.commit_log().contains(&item.id)
        });
        Left {
            texts: fitting(unlisted.map(|(item, draft)| (&item.id, draft))),
            revision: self.texts_revision,
        }
    }
}

/// A lot that its trainer has ended.
#[derive(Debug)]
pub(super) struct Ended {
    /// Revision of its object.
    pub(super) revision: u64,
    /// Since when this runner knows.
    pub(super) since: Instant,
    /// What is to be kept of it.
    pub(super) stub: Stub,
}

/// A task that ends with its handle.
pub(super) struct Task(pub(super) JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The text of an item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Draft {
    /// Number of its last event.
    pub(super) last: Option<u64>,
    /// Data of its events, one a line.
    pub(super) text: String,
    /// Versions that made a part of it.
    pub(super) versions: BTreeSet<u64>,
}

impl Draft {
    pub(super) fn add(&mut self, event: &Event, version: u64) {
        if self.last.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last = Some(event.number);
        self.versions.insert(version);
    }
}

/// One item of one lot.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) caller: Caller,
    pub(super) lot: CompactString,
    pub(super) at: usize,
    pub(super) item: CompactString,
    pub(super) host: CompactString,
    pub(super) fleet: FleetName,
    pub(super) oldest_version: u64,
}
