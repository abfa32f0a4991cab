//! Opening and closing of lots on a runner, and the demand that they report.
//!
//! A lot is opened once its committed results and checkpoints have been read, and closed when it is
//! complete or its trainer has ended it.

use super::{
    checkpoint::{self, PartialOutputs},
    commit,
    runner::{self, Runner},
    schema::{self, Tombstone, is_ended, parse_lot, parse_segment, results_kind},
    state::{AbortOnDrop, EndedLot, OpenLot, PartialOutput, State},
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use pinereel_core::{
    Time,
    batch::{DEFAULT_LENGTH_TOKENS, DemandWindow, Lot, StoredLot},
};
use pinereel_port::store::Object;
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// Pause before a failed read of a lot's results is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after the opening of a lot at which its queued items are counted as unplaced. Most runs take
/// less, so an item that is still queued had to wait for other items.
const UNPLACED_CHECK_DELAY: Duration = Duration::from_millis(1_500);
/// Upper bound of the partial outputs kept from closed lots, for items that are submitted again.
const MAX_KEPT_OUTPUTS: usize = 2_048;

impl Runner {
    /// Applies the current object of a lot: opens a new lot and closes an ended one. With
    /// `has_predecessor`, another runner may have written checkpoints of it.
    pub(super) fn apply_lot(
        self: &Rc<Self>,
        model: &CompactString,
        object: Object,
        has_predecessor: bool,
    ) {
        let id = object.name.clone();
        let object_model = schema::lot_model(&object);
        let stored = StoredLot {
            model: object_model.map(CompactString::from),
            revision: object.revision,
            ended: is_ended(&object),
        };
        let now = self.deps.clock.now();
        let mut state = self.state.borrow_mut();
        state.stored_lots.record(now, &id, stored);
        drop(state);
        if object_model.is_some_and(|other| other != model) {
            return;
        }
        if is_ended(&object) {
            self.close_lot(&id, "ended");
            self.record_ended(object);
            return;
        }
        let is_new = {
            let state = self.state.borrow();
            !state.closed.contains(&id)
                && !state.open_lots.contains_key(&id)
                && !state.opening.contains_key(&id)
        };
        if !is_new {
            return;
        }
        let lot = match parse_lot(&self.deps.adapter, &object) {
            Ok(lot) => lot,
            Err(fault) => {
                log::error!(id = id.as_str(), revision = object.revision; "{fault}");
                return;
            }
        };
        if lot.submission.model != *model {
            return;
        }
        let runner = Rc::clone(self);
        let lot_id = id.clone();
        let task =
            actix_rt::spawn(async move { runner.open_lot(lot_id, lot, has_predecessor).await });
        self.state
            .borrow_mut()
            .opening
            .insert(id, AbortOnDrop(task));
    }

    /// Records an ended lot, for which the next cleanup writes a tombstone.
    fn record_ended(&self, object: Object) {
        if schema::parse_tombstone(&object).is_some() {
            return;
        }
        match Tombstone::of(&self.deps.adapter, &object) {
            Ok(tombstone) => {
                let ended = EndedLot {
                    revision: object.revision,
                    noticed_at: Instant::now(),
                    tombstone,
                };
                self.state.borrow_mut().ended.insert(object.name, ended);
            }
            Err(fault) => log::error!(id = object.name.as_str(); "{fault}"),
        }
    }

    /// Reads the committed results of a lot and its checkpoints, and starts to run it.
    async fn open_lot(
        self: Rc<Self>,
        id: CompactString,
        accepted: schema::AcceptedLot,
        has_predecessor: bool,
    ) {
        let (objects, mut checkpointed) = loop {
            match self.read_lot(&id, has_predecessor).await {
                Ok(read) => break read,
                Err(error) => {
                    log::warn!(
                        id = id.as_str(), error:% = error;
                        "reading the lot's results failed; retrying"
                    );
                    sleep(READ_RETRY_DELAY).await;
                }
            }
        };
        let (submission, caller) = (accepted.submission, accepted.caller);
        let mut state = self.state.borrow_mut();
        let ids = submission.items.iter().map(|item| &item.id);
        let ids = ids.filter(|id| state.known_items.contains(&schema::scoped_id(&caller, id)));
        let mut lot = Lot::new(&submission, &ids.cloned().collect());
        for object in &objects {
            let added =
                parse_segment(object).map(|(from, segment)| lot.add_segment(from, segment.samples));
            match added {
                Ok(Ok(())) => {}
                Ok(Err(gap)) => log::error!(id = id.as_str(); "{gap}"),
                Err(fault) => log::error!(id = id.as_str(); "{fault}"),
            }
        }
        let oldest = submission.min_version;
        let mut outputs = Vec::new();
        for item in &submission.items {
            let kept = state
                .kept_outputs
                .remove(&schema::scoped_id(&caller, &item.id));
            let output = checkpointed.remove(&item.id).or(kept).unwrap_or_default();
            let is_usable = output.versions.iter().all(|version| *version >= oldest);
            outputs.push(if is_usable {
                output
            } else {
                PartialOutput::default()
            });
        }
        let reused = outputs
            .iter()
            .filter(|output| output.last_event.is_some())
            .count();
        log::info!(
            id = id.as_str(),
            items = submission.items.len(),
            listed = lot.commit_log().next_position(),
            oldest_version = oldest,
            texts_reused = reused;
            "lot opened"
        );
        let metrics = &self.deps.metrics;
        metrics.count(&metrics.lot_events, &["opened"]);
        let commit_wakeup = Rc::new(Notify::new());
        let commits =
            commit::commit_results(Rc::clone(&self), id.clone(), Rc::clone(&commit_wakeup));
        let checkpoints = checkpoint::write_periodically(Rc::clone(&self), id.clone());
        let open = OpenLot {
            caller,
            host: accepted.host,
            path: accepted.path,
            model: submission.model.clone(),
            submission: Rc::new(submission),
            lot,
            outputs,
            last_moves: BTreeMap::new(),
            tasks: BTreeMap::new(),
            commit_wakeup,
            opened_at: Instant::now(),
            checkpoint_revision: None,
            _commit_task: AbortOnDrop(actix_rt::spawn(commits)),
            _checkpoint_task: AbortOnDrop(actix_rt::spawn(checkpoints)),
        };
        let is_closed = state.closed.contains(&id);
        if !is_closed {
            self.record_demand(&mut state, &open);
            state.open_lots.insert(id.clone(), open);
            actix_rt::spawn(Rc::clone(&self).record_unplaced_items(id.clone()));
        }
        drop(state);
        self.wake.notify_one();
        // Last, because dropping the handle aborts this task.
        let task = self.state.borrow_mut().opening.remove(&id);
        drop(task);
    }

    /// Adds a lot to its model's demand, which determines the model's share of the engines.
    fn record_demand(&self, state: &mut State, open: &OpenLot) {
        let items = &open.submission.items;
        let hints = items.iter().map(|item| item.output_tokens_hint);
        let tokens = hints.map(|hint| u64::from(hint.unwrap_or(DEFAULT_LENGTH_TOKENS)));
        self.update_demand(state, &open.model, |window, now| {
            window.record_lot(now, items.len() as u64, tokens.sum());
        });
    }

    /// Adds the items that are queued after [`UNPLACED_CHECK_DELAY`] to the model's demand, so that
    /// further lots get more engines.
    async fn record_unplaced_items(self: Rc<Self>, id: CompactString) {
        sleep(UNPLACED_CHECK_DELAY).await;
        let mut state = self.state.borrow_mut();
        let Some(open) = state.open_lots.get(&id) else {
            return;
        };
        let (model, queued) = (open.model.clone(), open.lot.queued());
        self.update_demand(&mut state, &model, |window, now| {
            window.record_unplaced(now, queued as u64);
        });
    }

    fn update_demand(
        &self,
        state: &mut State,
        model: &CompactString,
        add: impl FnOnce(&mut DemandWindow, Time),
    ) {
        let now = self.deps.clock.now();
        let window = state.demand_by_model.entry(model.clone()).or_default();
        add(window, now);
        let duties = &self.deps.duties;
        duties.set_lot_demand(runner::duty_name(model), window.demand(now));
    }

    /// Reads the segments of a lot, and the checkpoints if it may have had another runner.
    async fn read_lot(
        &self,
        id: &CompactString,
        has_predecessor: bool,
    ) -> Result<(Vec<Object>, PartialOutputs), Error> {
        let store = &self.deps.store;
        let (objects, _) = store.list(Purpose::Lots, &results_kind(id), None).await?;
        let outputs = if has_predecessor {
            checkpoint::read_all(self, id).await?
        } else {
            PartialOutputs::new()
        };
        Ok((objects, outputs))
    }

    /// Stops the runs of a lot and keeps their partial outputs for items that are submitted again.
    pub(super) fn close_lot(&self, id: &CompactString, reason: &str) {
        let mut state = self.state.borrow_mut();
        state.closed.insert(id.clone());
        let opening = state.opening.remove(id);
        let Some(mut open) = state.open_lots.remove(id) else {
            drop(state);
            drop(opening);
            return;
        };
        let outputs = std::mem::take(&mut open.outputs);
        for (index, output) in outputs.into_iter().enumerate() {
            let item = &open.submission.items[index];
            if open.lot.commit_log().contains(&item.id) {
                continue;
            }
            let key = schema::scoped_id(&open.caller, &item.id);
            state.known_items.insert(key.clone());
            if output.last_event.is_some() && state.kept_outputs.len() < MAX_KEPT_OUTPUTS {
                state.kept_outputs.insert(key, output);
            }
        }
        drop(state);
        let metrics = &self.deps.metrics;
        metrics.count(&metrics.lot_events, &[reason]);
        metrics.observe(&metrics.lot_seconds, reason, open.opened_at.elapsed());
        log::info!(
            id = id.as_str(),
            why = reason,
            listed = open.lot.commit_log().next_position(),
            items = open.lot.total(),
            running = open.tasks.len(),
            ms = open.opened_at.elapsed().as_millis() as u64;
            "lot closed"
        );
        drop(open);
        self.wake.notify_one();
    }
}
