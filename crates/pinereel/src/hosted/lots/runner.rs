//! The runner: runs all open lots of a model while this instance holds the model's lease.

use super::{
    checkpoint::{self, Checkpoint},
    cleanup,
    schema::LOT_KIND,
    scoring_permits::Permits,
    state::State,
};
use crate::{
    hosted::{
        config::Config,
        crashes::CrashTracker,
        duty::Duties,
        endpoints::Endpoints,
        list_watch::{MAX_WAIT_FOR_LOTS, Update, WatchOptions, list_and_watch},
        metrics::Metrics,
        proxy::Proxy,
        stall::StallDetector,
        store::Store,
    },
    objects::Purpose,
    restart::spawn_restarted,
    state::Clock,
    upstream::pool::Pool,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::routing_table::RoutingTable;
use pinereel_port::Adapter;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Dependencies of a [`Runner`].
pub struct Dependencies {
    /// Adapter for the formats on the wire and in the store.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// The configuration.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// The leases of this instance.
    pub duties: Rc<Duties>,
    /// Connection pool for engines.
    pub pool: Rc<Pool>,
    /// Sends scorings to their service.
    pub proxy: Rc<Proxy>,
    /// Detection of requests that crash endpoints.
    pub crashes: Rc<CrashTracker>,
    /// Detection of pauses of this process, after which cached state may be stale.
    pub stall: Rc<StallDetector>,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Clock of the fleets and the demand windows.
    pub clock: Clock,
    /// Longest time that a watch of the lots waits for a change.
    pub max_watch_wait: Duration,
    /// How long a lot is retained after its submission.
    pub retention: Duration,
}

/// Runs the lots of all models whose lease this instance holds.
pub struct Runner {
    pub(super) deps: Dependencies,
    pub(super) state: RefCell<State>,
    /// Notified when an item may have become startable.
    pub(super) wake: Notify,
    /// Bounds the concurrent scorings of this instance.
    pub(super) scoring_permits: Rc<Permits>,
    /// Incremented when an engine with runs has restarted.
    pub(super) restarts: watch::Sender<u64>,
    /// Whether no further runs are started.
    pub(super) draining: Cell<bool>,
}

impl Runner {
    /// Starts to compete for the lease of each model in the configuration, and to run its lots.
    pub fn start(deps: Dependencies) -> Rc<Self> {
        let scoring_permits = Permits::new(deps.clock);
        let runner = Rc::new(Self {
            deps,
            state: RefCell::default(),
            wake: Notify::new(),
            scoring_permits: Rc::clone(&scoring_permits),
            restarts: watch::channel(0).0,
            draining: Cell::new(false),
        });
        let serving = Rc::clone(&runner);
        actix_rt::spawn(serving.serve_models());
        let scoring_runner = Rc::clone(&runner);
        spawn_restarted("scorings", async move || {
            Rc::clone(&scoring_permits)
                .serve(Rc::clone(&scoring_runner))
                .await;
        });
        runner
    }

    /// Starts no further runs; those in progress continue.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Aborts all runs and writes checkpoints for the next runner. To be called before the leases
    /// are released.
    pub async fn checkpoint_and_stop(&self) {
        checkpoint::write_all(self).await;
    }

    /// Aborts all runs. Returns the checkpoints of the lots with uncommitted outputs, by lot.
    pub(super) fn abort_runs(&self) -> BTreeMap<CompactString, Checkpoint> {
        let mut checkpoints = BTreeMap::new();
        let mut aborted_tasks = Vec::new();
        for (id, open) in &mut self.state.borrow_mut().open_lots {
            aborted_tasks.append(&mut std::mem::take(&mut open.tasks).into_values().collect());
            // Finished samples are committed immediately.
            open.commit_wakeup.notify_one();
            let checkpoint = open.checkpoint(0);
            if !checkpoint.outputs.is_empty() {
                checkpoints.insert(id.clone(), checkpoint);
            }
        }
        drop(aborted_tasks);
        checkpoints
    }

    /// The periodic checkpoint of a lot; `None` if the lot is closed or this instance is draining.
    pub(super) fn checkpoint(&self, lot: &str) -> Option<Checkpoint> {
        let state = self.state.borrow();
        let open = state.open_lots.get(lot).filter(|_| !self.draining.get())?;
        Some(open.checkpoint(checkpoint::MIN_CHECKPOINT_EVENT))
    }

    /// Records the revision of a lot's checkpoint in the store.
    pub(super) fn checkpoint_written(&self, lot: &str, revision: u64) {
        if let Some(open) = self.state.borrow_mut().open_lots.get_mut(lot) {
            open.checkpoint_revision = Some(revision);
        }
    }

    /// Number of items that are being run or scored.
    pub fn in_flight(&self) -> usize {
        let state = self.state.borrow();
        state.open_lots.values().map(|open| open.tasks.len()).sum()
    }

    /// Number of engine slots that are counted as used by runs.
    pub fn used_slots(&self) -> u64 {
        let state = self.state.borrow();
        let fleets = state.fleets.values();
        fleets.map(|fleet| u64::from(fleet.active_runs())).sum()
    }

    /// Starts [`Runner::serve_model`] for each model, also for models that are configured later.
    async fn serve_models(self: Rc<Self>) {
        let start = |model: CompactString| {
            let runner = Rc::clone(&self);
            spawn_restarted("lots", async move || {
                Rc::clone(&runner).serve_model(&model).await;
            });
        };
        self.deps.config.for_each_new(engine_models, start).await;
    }

    /// Runs a model's lots whenever this instance holds its lease.
    async fn serve_model(self: Rc<Self>, model: &CompactString) {
        let duty = duty_name(model);
        let (runner, duties) = (&self, Rc::clone(&self.deps.duties));
        let work = async || runner.run_lots(model).await;
        let should_continue = || {
            // While draining, runs in progress finish and their results are still committed.
            let is_draining = runner.draining.get();
            if !is_draining {
                runner.drop_lots(model);
            }
            !is_draining
        };
        // Two concurrent runners duplicate work but never corrupt results, so this one continues
        // while the store is unavailable, until another instance is known to hold the lease.
        duties.run_while_held(&duty, work, should_continue).await;
    }

    /// Drops the lots of a model and aborts their tasks, after its lease is lost.
    fn drop_lots(&self, model: &CompactString) {
        let mut state = self.state.borrow_mut();
        let lots = std::mem::take(&mut state.open_lots);
        let (dropped, remaining): (BTreeMap<_, _>, _) =
            lots.into_iter().partition(|(_, open)| open.model == *model);
        state.open_lots = remaining;
        state.opening.clear();
        drop(state);
        // Dropping the tasks of these lots borrows the state again.
        drop(dropped);
    }

    /// Follows the lots in the store, dispatches their items and cleans up, until dropped.
    async fn run_lots(self: &Rc<Self>, model: &CompactString) {
        self.deps.endpoints.subscribe_engines();
        let store = self.deps.store.clone();
        let options = || WatchOptions {
            max_wait: self.deps.max_watch_wait.min(MAX_WAIT_FOR_LOTS),
            batch_delay: Duration::ZERO,
        };
        let lots = list_and_watch(
            &store,
            Purpose::Lots,
            LOT_KIND,
            options,
            None,
            |update, _| {
                self.apply_update(model, update);
            },
        );
        tokio::select! {
            () = lots => {}
            () = self.dispatch() => {}
            () = cleanup::clean_up(self, model) => {}
        }
    }

    fn apply_update(self: &Rc<Self>, model: &CompactString, update: Update) {
        // Lots that exist already when this runner starts may have had another runner.
        let has_predecessor = matches!(update, Update::All(_));
        let objects: Vec<_> = match update {
            Update::All(objects) => {
                let listed = objects.iter().map(|object| object.name.clone()).collect();
                self.state.borrow_mut().stored_lots.retain(&listed);
                objects
            }
            Update::Changes(changes) => {
                let (deleted, present): (Vec<_>, Vec<_>) =
                    changes.into_iter().partition(|change| change.deleted);
                for change in deleted {
                    let mut state = self.state.borrow_mut();
                    state.stored_lots.remove(&change.object.name);
                }
                present.into_iter().map(|change| change.object).collect()
            }
        };
        for object in objects {
            self.apply_lot(model, object, has_predecessor);
        }
    }

    /// The models of the configuration in force, each of which has a runner.
    pub(super) fn configured_models(&self) -> BTreeSet<CompactString> {
        let table = self.deps.config.table();
        table.map_or_else(BTreeSet::new, |table| {
            engine_models(&table).into_iter().collect()
        })
    }

    /// Whether a lot is open or being opened.
    pub(super) fn is_open(&self, lot: &str) -> bool {
        let state = self.state.borrow();
        state.open_lots.contains_key(lot) || state.opening.contains_key(lot)
    }
}

/// Name of the lease for running the lots of a model.
pub fn duty_name(model: &str) -> CompactString {
    format_compact!("lots-{model}")
}

/// The models of all engine services in the configuration.
fn engine_models(table: &RoutingTable) -> Vec<CompactString> {
    let services = table.document().services.iter();
    let engines = services.filter_map(|service| service.engine.as_ref());
    engines.flat_map(|engine| engine.models.clone()).collect()
}
