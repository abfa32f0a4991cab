//! Lots on their way in and out of a runner.

use super::{
    commit,
    handover::{self, Drafts},
    record::{self, Stub, accepted, is_ended, results, segment},
    runner::{self, Runner},
    state::{Draft, Ended, Open, State, Task},
};
use crate::objects::{Error, Purpose};
use compact_str::CompactString;
use pinereel_core::{
    Time,
    batch::{DEFAULT_LENGTH_TOKENS, DemandWindow, Lot},
};
use pinereel_port::store::Object;
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// Pause after a lot's results could not be read.
const RETRY: Duration = Duration::from_millis(150);
/// An item that has no slot so long after its lot came had to wait for others: most texts take less.
const IN_TIME: Duration = Duration::from_millis(1_500);
/// Texts of ended lots that are kept for groups that come again.
const DRAFTS: usize = 2_048;

impl Runner {
    pub(super) fn take_lot(
        self: &Rc<Self>,
        model: &CompactString,
        object: Object,
        inherited: bool,
    ) {
        let id = object.name.clone();
        self.ages(|ages| ages.seen(&id));
        if record::model(&object).is_some_and(|other| other != model) {
            return;
        }
        if is_ended(&object) {
            self.close(&id, "ended");
            self.note_ended(object);
            return;
        }
        let new = {
            let state = self.state.borrow();
            !state.closed.contains(&id)
                && !state.lots.contains_key(&id)
                && !state.opening.contains_key(&id)
        };
        if !new {
            return;
        }
        let lot = match accepted(&self.parts.adapter, &object) {
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
        let opening = id.clone();
        let task = actix_rt::spawn(async move { runner.open(opening, lot, inherited).await });
        self.state.borrow_mut().opening.insert(id, Task(task));
    }

    /// An ended lot is cut down to a stub at the next sweep.
    fn note_ended(&self, object: Object) {
        if record::stub(&object).is_some() {
            return;
        }
        match Stub::of(&self.parts.adapter, &object) {
            Ok(stub) => {
                let ended = Ended {
                    revision: object.revision,
                    since: Instant::now(),
                    stub,
                };
                self.state.borrow_mut().ended.insert(object.name, ended);
            }
            Err(fault) => log::error!(id = object.name.as_str(); "{fault}"),
        }
    }

    /// Reads what is committed of a lot, and begins to work on it.
    async fn open(self: Rc<Self>, id: CompactString, accepted: record::Accepted, inherited: bool) {
        let (objects, mut texts) = loop {
            match self.read_lot(&id, inherited).await {
                Ok(read) => break read,
                Err(error) => {
                    log::warn!(id = id.as_str(), error:% = error; "lot's results not read");
                    sleep(RETRY).await;
                }
            }
        };
        let (submission, caller) = (accepted.submission, accepted.caller);
        let mut state = self.state.borrow_mut();
        let again = submission.items.iter().map(|item| &item.id);
        let again = again.filter(|id| state.known.contains(&record::name(&caller, id)));
        let mut lot = Lot::new(&submission, &again.cloned().collect());
        for object in &objects {
            let adopted =
                segment(object).map(|(from, segment)| lot.add_segment(from, segment.samples));
            match adopted {
                Ok(Ok(())) => {}
                Ok(Err(gap)) => log::error!(id = id.as_str(); "{gap}"),
                Err(fault) => log::error!(id = id.as_str(); "{fault}"),
            }
        }
        let oldest = submission.min_version;
        let mut drafts = Vec::new();
        for item in &submission.items {
            let kept = state.drafts.remove(&record::name(&caller, &item.id));
            let draft = texts.remove(&item.id).or(kept).unwrap_or_default();
            let fits = draft.versions.iter().all(|version| *version >= oldest);
            drafts.push(if fits { draft } else { Draft::default() });
        }
        let reused = drafts.iter().filter(|draft| draft.last.is_some()).count();
        log::info!(
            id = id.as_str(),
            items = submission.items.len(),
            listed = lot.commit_log().next_position(),
            oldest_version = oldest,
            texts_reused = reused;
            "lot opened"
        );
        let metrics = &self.parts.metrics;
        metrics.count(&metrics.lot_events, &["opened"]);
        let more = Rc::new(Notify::new());
        let committer = commit::commit(Rc::clone(&self), id.clone(), Rc::clone(&more));
        let keeper = handover::keep(Rc::clone(&self), id.clone());
        let open = Open {
            caller,
            host: accepted.host,
            path: accepted.path,
            model: submission.model.clone(),
            submission: Rc::new(submission),
            lot,
            drafts,
            moved: BTreeMap::new(),
            tasks: BTreeMap::new(),
            more,
            opened: Instant::now(),
            texts_revision: None,
            _committer: Task(actix_rt::spawn(committer)),
            _keeper: Task(actix_rt::spawn(keeper)),
        };
        let ended = state.closed.contains(&id);
        if !ended {
            self.note_demand(&mut state, &open);
            state.lots.insert(id.clone(), open);
            actix_rt::spawn(Rc::clone(&self).note_shortage(id.clone()));
        }
        drop(state);
        self.wake.notify_one();
        // Last: it ends this very task.
        let task = self.state.borrow_mut().opening.remove(&id);
        drop(task);
    }

    /// Tells how much work the model's trainers ask for, so that it gets its share of the engines.
    fn note_demand(&self, state: &mut State, open: &Open) {
        let items = &open.submission.items;
        let hints = items.iter().map(|item| item.output_tokens_hint);
        let tokens = hints.map(|hint| u64::from(hint.unwrap_or(DEFAULT_LENGTH_TOKENS)));
        self.add_demand(state, &open.model, |asked, now| {
            asked.record_lot(now, items.len() as u64, tokens.sum());
        });
    }

    /// Tells how many items of a lot found no slot in time, so that there are more engines for the next ones.
    async fn note_shortage(self: Rc<Self>, id: CompactString) {
        sleep(IN_TIME).await;
        let mut state = self.state.borrow_mut();
        let Some(open) = state.lots.get(&id) else {
            return;
        };
        let (model, waiting) = (open.model.clone(), open.lot.queued());
        self.add_demand(&mut state, &model, |asked, now| {
            asked.record_unplaced(now, waiting as u64);
        });
    }

    fn add_demand(
        &self,
        state: &mut State,
        model: &CompactString,
        add: impl FnOnce(&mut DemandWindow, Time),
    ) {
        let now = self.parts.clock.now();
        let asked = state.asked.entry(model.clone()).or_default();
        add(asked, now);
        let duties = &self.parts.duties;
        duties.set_lot_demand(runner::duty(model), asked.demand(now));
    }

    /// What is committed of a lot, and the texts that earlier runners left.
    async fn read_lot(
        &self,
        id: &CompactString,
        inherited: bool,
    ) -> Result<(Vec<Object>, Drafts), Error> {
        let store = &self.parts.store;
        let (objects, _) = store.list(Purpose::Lots, &results(id), None).await?;
        let texts = if inherited {
            handover::inherit(self, id).await?
        } else {
            Drafts::new()
        };
        Ok((objects, texts))
    }

    /// Ends the work on a lot, keeping unfinished texts for groups that come again.
    pub(super) fn close(&self, id: &CompactString, why: &str) {
        let mut state = self.state.borrow_mut();
        state.closed.insert(id.clone());
        let opening = state.opening.remove(id);
        let Some(mut open) = state.lots.remove(id) else {
            drop(state);
            drop(opening);
            return;
        };
        let drafts = std::mem::take(&mut open.drafts);
        for (at, draft) in drafts.into_iter().enumerate() {
            let item = &open.submission.items[at];
            if open.lot.commit_log().contains(&item.id) {
                continue;
            }
            let name = record::name(&open.caller, &item.id);
            state.known.insert(name.clone());
            if draft.last.is_some() && state.drafts.len() < DRAFTS {
                state.drafts.insert(name, draft);
            }
        }
        drop(state);
        let metrics = &self.parts.metrics;
        metrics.count(&metrics.lot_events, &[why]);
        metrics.observe(&metrics.lot_seconds, why, open.opened.elapsed());
        log::info!(
            id = id.as_str(),
            why,
            listed = open.lot.commit_log().next_position(),
            items = open.lot.total(),
            running = open.tasks.len(),
            ms = open.opened.elapsed().as_millis() as u64;
            "lot closed"
        );
        drop(open);
        self.wake.notify_one();
    }
}
