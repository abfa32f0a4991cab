//! The runner: makes the samples of all open lots of a model, while it holds the model's duty.

use super::{
    commit::{self, Pending, first_segment},
    handover::{self, Drafts},
    record::{self, LOTS, accepted, is_ended, results, segment},
    run, score,
    stream::Place,
    sweep::{self, Ages},
};
use crate::{
    hosted::{
        config::Config,
        duty::Duties,
        endpoints::Endpoints,
        follow::{Manner, Update, follow},
        metrics::Metrics,
        relay::Relay,
        store::Store,
    },
    objects::{Error, Purpose},
    state::Clock,
    upstream::pool::Pool,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::{
    batch::{Failure, Fate, Fleet, Halt, Key, Listed, Lot},
    hash, table,
};
use pinereel_port::{
    Adapter,
    config::{Kind, Route},
    lot::{Event, Item, Sample, Submission},
    store::Object,
};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Longest pause between two looks for engines that may take an item again.
const LOOK: Duration = Duration::from_millis(60);
/// Pause after a lot's results could not be read.
const RETRY: Duration = Duration::from_millis(150);
/// A run is not moved twice within this time: its new engine must show its pace first.
const MOVE_PAUSE: Duration = Duration::from_millis(400);
/// Texts of ended lots that are kept for groups that come again.
const DRAFTS: usize = 2_048;

/// What a runner works with.
pub struct Parts {
    /// Translates.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// The configuration.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Duties.
    pub duties: Rc<Duties>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// Brings scorings to their service.
    pub relay: Rc<Relay>,
    /// Figures.
    pub metrics: Metrics,
    /// The clock.
    pub clock: Clock,
    /// Longest wait of a watch.
    pub watch: Duration,
    /// How long a lot is kept after its submission.
    pub kept: Duration,
}

/// Makes samples.
pub struct Runner {
    pub(super) parts: Parts,
    state: RefCell<State>,
    /// Something may be started.
    wake: Notify,
    pub(super) scorings: Rc<score::Gate>,
    /// Whether no further run is started.
    draining: Cell<bool>,
}

#[derive(Default)]
struct State {
    /// Lots that are neither ended nor complete, and those whose results are being read.
    lots: BTreeMap<CompactString, Open>,
    opening: BTreeMap<CompactString, Task>,
    /// Lots that need no work any more.
    closed: BTreeSet<CompactString>,
    /// When each lot was first seen.
    ages: Ages,
    /// Engines by service and model.
    fleets: BTreeMap<FleetName, Fleet>,
    /// Unfinished texts of ended lots, by item.
    drafts: BTreeMap<CompactString, Draft>,
    /// Items of lots that were ended, which may come again.
    known: BTreeSet<CompactString>,
}

/// The engines of a service, as far as they serve one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FleetName {
    pub(super) service: CompactString,
    pub(super) model: CompactString,
}

/// A lot that is being worked on.
struct Open {
    host: CompactString,
    path: CompactString,
    model: CompactString,
    submission: Rc<Submission>,
    lot: Lot,
    drafts: Vec<Draft>,
    moved: BTreeMap<usize, Instant>,
    tasks: BTreeMap<usize, Task>,
    more: Rc<Notify>,
    opened: Instant,
    _committer: Task,
}

/// A task that ends with its handle.
struct Task(JoinHandle<()>);

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
    pub(super) lot: CompactString,
    pub(super) at: usize,
    pub(super) item: CompactString,
    pub(super) host: CompactString,
    pub(super) fleet: FleetName,
    pub(super) oldest_version: u64,
}

impl Runner {
    /// Takes part in the duty of each model of the configuration from now on.
    pub fn start(parts: Parts) -> Rc<Self> {
        let runner = Rc::new(Self {
            parts,
            state: RefCell::default(),
            wake: Notify::new(),
            scorings: Rc::default(),
            draining: Cell::new(false),
        });
        let state = Rc::clone(&runner);
        actix_rt::spawn(async move { state.join_duties().await });
        runner
    }

    /// Starts no further run; those under way go on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Hands unfinished texts over to the next runner; to be called before the duties are released.
    pub async fn hand_over(&self) {
        handover::hand_over(self).await;
    }

    /// Ends all runs; returns the texts that are not listed, by lot.
    pub(super) fn leave(&self) -> BTreeMap<CompactString, Drafts> {
        let mut left = BTreeMap::new();
        let mut ended = Vec::new();
        for (id, open) in &mut self.state.borrow_mut().lots {
            ended.append(&mut std::mem::take(&mut open.tasks).into_values().collect());
            // What is made is committed at once.
            open.more.notify_one();
            let items = open.submission.items.iter().zip(&open.drafts);
            let unlisted = items.filter(|(item, draft)| {
                draft.last.is_some() && !open.lot.ledger().contains(&item.id)
            });
            let texts: Drafts = unlisted.map(|(i, d)| (i.id.clone(), d.clone())).collect();
            if !texts.is_empty() {
                left.insert(id.clone(), texts);
            }
        }
        drop(ended);
        left
    }

    /// Runs and scorings under way.
    pub fn in_flight(&self) -> usize {
        let state = self.state.borrow();
        state.lots.values().map(|open| open.tasks.len()).sum()
    }

    async fn join_duties(self: Rc<Self>) {
        let mut changes = self.parts.config.changes();
        let mut joined = BTreeSet::new();
        loop {
            for model in self.models() {
                if joined.insert(model.clone()) {
                    let runner = Rc::clone(&self);
                    actix_rt::spawn(async move { runner.serve(&model).await });
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn models(&self) -> Vec<CompactString> {
        let Some(table) = self.parts.config.table() else {
            return Vec::new();
        };
        let services = table.document().services.iter();
        let engines = services.filter_map(|service| service.engine.as_ref());
        engines.flat_map(|engine| engine.models.clone()).collect()
    }

    /// Works for a model whenever this instance holds its duty.
    async fn serve(self: Rc<Self>, model: &CompactString) {
        let duty = format_compact!("lots-{model}");
        let mut standing = self.parts.duties.join(&duty);
        loop {
            if standing.wait_for(|s| s.grant.is_some()).await.is_err() {
                return;
            }
            let mut watched = standing.clone();
            let lost = async {
                // Two runners cost work and never a wrong result, so that it goes on while the store
                // is away, until another instance is known to have the duty.
                let _ = watched.wait_for(|s| !s.presumed).await;
            };
            tokio::select! {
                () = self.work(model) => {}
                () = lost => {}
            }
            if self.draining.get() {
                // What is under way ends by itself, and its results are still committed.
                return;
            }
            self.drop_model(model);
        }
    }

    fn drop_model(&self, model: &CompactString) {
        let mut state = self.state.borrow_mut();
        let lots = std::mem::take(&mut state.lots);
        let (dropped, kept): (BTreeMap<_, _>, _) =
            lots.into_iter().partition(|(_, open)| open.model == *model);
        state.lots = kept;
        state.opening.clear();
        drop(state);
        // Ending their tasks calls back into the state.
        drop(dropped);
    }

    async fn work(self: &Rc<Self>, model: &CompactString) {
        let store = self.parts.store.clone();
        let manner = || Manner {
            wait: self.parts.watch,
            gather: Duration::ZERO,
        };
        let lots = follow(&store, Purpose::Lots, LOTS, manner, None, |update, _| {
            self.take(model, update);
        });
        tokio::select! {
            () = lots => {}
            () = self.dispatch() => {}
            () = sweep::sweep(self) => {}
        }
    }

    fn take(self: &Rc<Self>, model: &CompactString, update: Update) {
        // What stands already when a runner begins may have had another one.
        let inherited = matches!(update, Update::All(_));
        let objects: Vec<_> = match update {
            Update::All(objects) => objects,
            Update::Changes(changes) => {
                let present = changes.into_iter().filter(|change| !change.deleted);
                present.map(|change| change.object).collect()
            }
        };
        for object in objects {
            self.take_lot(model, object, inherited);
        }
    }

    fn take_lot(self: &Rc<Self>, model: &CompactString, object: Object, inherited: bool) {
        let id = object.name.clone();
        self.ages(|ages| ages.seen(&id));
        if is_ended(&object) {
            self.close(&id, "ended");
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

    /// The ages of the lots that this instance has seen.
    pub(super) fn ages<T>(&self, look: impl FnOnce(&mut Ages) -> T) -> T {
        look(&mut self.state.borrow_mut().ages)
    }

    /// Whether there is still work to do for a lot.
    pub(super) fn is_open(&self, lot: &str) -> bool {
        let state = self.state.borrow();
        state.lots.contains_key(lot) || state.opening.contains_key(lot)
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
        let submission = accepted.submission;
        let mut state = self.state.borrow_mut();
        let mut lot = Lot::new(&submission, &state.known);
        for object in &objects {
            let adopted = segment(object).map(|(from, segment)| lot.list(from, segment.samples));
            match adopted {
                Ok(Ok(())) => {}
                Ok(Err(gap)) => log::error!(id = id.as_str(); "{gap}"),
                Err(fault) => log::error!(id = id.as_str(); "{fault}"),
            }
        }
        let oldest = submission.oldest_version;
        let mut drafts = Vec::new();
        for item in &submission.items {
            let kept = state.drafts.remove(&item.id);
            let draft = texts.remove(&item.id).or(kept).unwrap_or_default();
            let fits = draft.versions.iter().all(|version| *version >= oldest);
            drafts.push(if fits { draft } else { Draft::default() });
        }
        let reused = drafts.iter().filter(|draft| draft.last.is_some()).count();
        log::info!(
            id = id.as_str(),
            items = submission.items.len(),
            listed = lot.ledger().next(),
            oldest_version = oldest,
            texts_reused = reused;
            "lot opened"
        );
        let metrics = &self.parts.metrics;
        metrics.count(&metrics.lots, &["opened"]);
        let more = Rc::new(Notify::new());
        let committer = commit::commit(Rc::clone(&self), id.clone(), Rc::clone(&more));
        let open = Open {
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
            _committer: Task(actix_rt::spawn(committer)),
        };
        let ended = state.closed.contains(&id);
        if !ended {
            state.lots.insert(id.clone(), open);
        }
        drop(state);
        self.wake.notify_one();
        // Last: it ends this very task.
        let task = self.state.borrow_mut().opening.remove(&id);
        drop(task);
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
    fn close(&self, id: &CompactString, why: &str) {
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
            if open.lot.ledger().contains(&item.id) {
                continue;
            }
            state.known.insert(item.id.clone());
            if draft.last.is_some() && state.drafts.len() < DRAFTS {
                state.drafts.insert(item.id.clone(), draft);
            }
        }
        drop(state);
        let metrics = &self.parts.metrics;
        metrics.count(&metrics.lots, &[why]);
        metrics.observe(&metrics.lot_seconds, why, open.opened.elapsed());
        log::info!(
            id = id.as_str(),
            why,
            listed = open.lot.ledger().next(),
            items = open.lot.total(),
            running = open.tasks.len(),
            ms = open.opened.elapsed().as_millis() as u64;
            "lot closed"
        );
        drop(open);
        self.wake.notify_one();
    }

    /// Places items at engines as long as there are both.
    async fn dispatch(self: &Rc<Self>) {
        let mut endpoints = self.parts.endpoints.changes();
        loop {
            self.sync_fleets();
            self.give_up_old();
            while self.place_one() {}
            tokio::select! {
                () = self.wake.notified() => {}
                _ = endpoints.changed() => {}
                () = sleep(LOOK) => {}
            }
        }
    }

    fn sync_fleets(&self) {
        let mut state = self.state.borrow_mut();
        let wanted: BTreeSet<_> = state
            .lots
            .values()
            .filter_map(|open| self.fleet(open))
            .collect();
        for name in wanted {
            let entries = self.parts.endpoints.of(&name.service);
            let listed = entries.into_iter().map(|entry| Listed {
                version: entry.models.get(&name.model).copied(),
                id: entry.id,
                address: entry.address,
                slots: entry.slots,
                leaving: entry.leaving,
            });
            let listed: Vec<_> = listed.collect();
            state.fleets.entry(name).or_default().sync(listed);
        }
    }

    /// The lot's route under the configuration in force.
    fn route(&self, open: &Open) -> Option<Route> {
        let table = self.parts.config.table()?;
        let route = table.find(&open.host, &open.path)?;
        (route.kind == Kind::Lot).then(|| route.clone())
    }

    /// The engines that a lot's items go to.
    fn fleet(&self, open: &Open) -> Option<FleetName> {
        let route = self.route(open)?;
        let seed = hash::stable(open.path.as_bytes());
        Some(FleetName {
            service: table::service(&route, seed)?.into(),
            model: open.model.clone(),
        })
    }

    /// Starts the next item of the oldest lot that has one, if an engine takes it.
    fn place_one(self: &Rc<Self>) -> bool {
        if self.draining.get() {
            return false;
        }
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        let mut by_age: Vec<_> = state
            .lots
            .iter()
            .map(|(id, open)| (open.opened, id.clone()))
            .collect();
        by_age.sort();
        for (_, id) in by_age {
            let state = &mut *state;
            let Some(open) = state.lots.get_mut(&id) else {
                continue;
            };
            if open.lot.waiting() == 0 {
                continue;
            }
            let (Some(route), Some(name)) = (self.route(open), self.fleet(open)) else {
                continue;
            };
            let Some(fleet) = state.fleets.get_mut(&name) else {
                continue;
            };
            let oldest_version = open.submission.oldest_version;
            let Some(key) = fleet.pick(now, oldest_version, None) else {
                continue;
            };
            let (Some(engine), Some(at)) = (fleet.get(key), open.lot.start()) else {
                continue;
            };
            let place = Place {
                key,
                id: engine.listed.id.clone(),
                address: engine.listed.address,
            };
            fleet.started(key);
            let work = Work {
                item: open.submission.items[at].id.clone(),
                host: open.host.clone(),
                lot: id,
                at,
                fleet: name,
                oldest_version,
            };
            let task = run::run(Rc::clone(self), work, route, place);
            // One that ended before is replaced.
            open.tasks.insert(at, Task(actix_rt::spawn(task)));
            return true;
        }
        false
    }

    /// Lists items whose time is over as given up.
    fn give_up_old(&self) {
        let mut state = self.state.borrow_mut();
        let mut ended = Vec::new();
        for open in state.lots.values_mut() {
            let Some(ttl) = self.route(open).and_then(|route| route.item_ttl) else {
                continue;
            };
            if open.opened.elapsed() < ttl {
                continue;
            }
            for at in 0..open.lot.total() {
                if !open.lot.is_done(at) {
                    let item = open.submission.items[at].id.clone();
                    open.lot.finish(at, Sample { item, made: None });
                    ended.extend(open.tasks.remove(&at));
                }
            }
            open.more.notify_one();
        }
        drop(state);
        drop(ended);
    }

    pub(super) fn item(&self, work: &Work) -> Option<Item> {
        let state = self.state.borrow();
        let open = state.lots.get(&work.lot)?;
        open.submission.items.get(work.at).cloned()
    }

    /// The text of an item so far.
    pub(super) fn draft(&self, work: &Work) -> Draft {
        let state = self.state.borrow();
        let open = state.lots.get(&work.lot);
        open.map(|open| open.drafts[work.at].clone())
            .unwrap_or_default()
    }

    /// Number of an item's last event, and the newest version that made a part of its text.
    pub(super) fn progress(&self, work: &Work) -> (Option<u64>, Option<u64>) {
        let state = self.state.borrow();
        let Some(open) = state.lots.get(&work.lot) else {
            return (None, None);
        };
        let draft = &open.drafts[work.at];
        (draft.last, draft.versions.last().copied())
    }

    /// Adds an event to an item's text.
    pub(super) fn add_event(&self, work: &Work, event: &Event, version: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&work.lot) {
            open.drafts[work.at].add(event, version);
        }
    }

    /// Forgets an item's text.
    pub(super) fn drop_text(&self, work: &Work) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&work.lot) {
            open.drafts[work.at] = Draft::default();
        }
    }

    /// The task of an item is at its end.
    pub(super) fn task_ended(&self, work: &Work) {
        let task = {
            let mut state = self.state.borrow_mut();
            let open = state.lots.get_mut(&work.lot);
            open.and_then(|open| open.tasks.remove(&work.at))
        };
        drop(task);
    }

    /// A run made an event; says whether it should go on at another engine.
    pub(super) fn progressed(&self, work: &Work, key: Key, gap: Option<Duration>) -> bool {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(fleet) = state.fleets.get_mut(&work.fleet) else {
            return false;
        };
        match gap {
            Some(gap) => fleet.made(key, gap),
            None => fleet.began(key),
        }
        let waiting = state.lots.values().any(|open| open.lot.waiting() > 0);
        let Some(open) = state.lots.get_mut(&work.lot) else {
            return false;
        };
        let events = open.drafts[work.at].last.unwrap_or_default();
        let oldest = work.oldest_version;
        if waiting || fleet.better(now, key, oldest, events).is_none() {
            return false;
        }
        let recent = open.moved.get(&work.at);
        if recent.is_some_and(|at| at.elapsed() < MOVE_PAUSE) {
            return false;
        }
        open.moved.insert(work.at, Instant::now());
        true
    }

    pub(super) fn run_ended(&self, fleet: &FleetName, key: Key, halt: Halt) {
        let now = self.parts.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(fleet) {
            fleet.ended(now, key, halt);
        }
        drop(state);
        self.wake.notify_one();
    }

    pub(super) fn run_failed(&self, work: &Work, failure: Failure, max_attempts: u32) -> Fate {
        let mut state = self.state.borrow_mut();
        let fate = match state.lots.get_mut(&work.lot) {
            Some(open) => open.lot.run_failed(work.at, failure, max_attempts),
            None => Fate::Again,
        };
        drop(state);
        self.wake.notify_one();
        fate
    }

    pub(super) fn score_failed(&self, work: &Work, failure: Failure, max_attempts: u32) -> Fate {
        let mut state = self.state.borrow_mut();
        match state.lots.get_mut(&work.lot) {
            Some(open) => open.lot.score_failed(work.at, failure, max_attempts),
            None => Fate::Again,
        }
    }

    pub(super) fn finished(&self, work: &Work, sample: Sample) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.lots.get_mut(&work.lot) {
            open.lot.finish(work.at, sample);
            open.more.notify_one();
        }
    }

    /// What is to be committed next; `None` if the lot is not worked on any more.
    pub(super) fn pending(&self, lot: &str) -> Option<Pending> {
        let state = self.state.borrow();
        let open = state.lots.get(lot)?;
        let samples = first_segment(open.lot.unlisted());
        let all = open.lot.ledger().next() + open.lot.unlisted().len() >= open.lot.total();
        Some(Pending {
            from: open.lot.ledger().next(),
            total: open.lot.total(),
            urgent: self.draining.get()
                || all
                || open.lot.satisfies()
                || samples.len() < open.lot.unlisted().len(),
            samples,
        })
    }

    /// A segment stands in the store.
    pub(super) fn listed(&self, lot: &str, from: usize, samples: Vec<Sample>) {
        let mut ended = Vec::new();
        let mut complete = false;
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.lots.get_mut(lot) else {
                return;
            };
            if let Err(gap) = open.lot.list(from, samples) {
                log::error!(id = lot; "{gap}");
            }
            // Another runner may have finished what still runs here.
            let done: Vec<_> = open.tasks.keys().copied().collect();
            for at in done {
                if open.lot.is_done(at) {
                    ended.extend(open.tasks.remove(&at));
                }
            }
            complete |= open.lot.is_complete();
        }
        drop(ended);
        if complete {
            // The committer itself may be the caller, and ends with the lot: so this comes last.
            self.close(&lot.into(), "complete");
        }
    }
}
