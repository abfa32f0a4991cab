//! The runner: makes the samples of all open lots of a model, while it holds the model's duty.

use super::{
    handover::{self, Left},
    record::LOTS,
    score,
    state::State,
    sweep::{self, Ages},
};
use crate::{
    hosted::{
        config::Config,
        crashes::CrashTracker,
        duty::Duties,
        endpoints::Endpoints,
        follow::{Manner, Update, follow},
        metrics::Metrics,
        proxy::Proxy,
        stall::Stall,
        store::Store,
    },
    objects::Purpose,
    state::Clock,
    upstream::pool::Pool,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::routing_table::RoutingTable;
use pinereel_port::Adapter;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Notify, watch};

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
    pub proxy: Rc<Proxy>,
    /// Requests under which endpoints crash.
    pub crashes: Rc<CrashTracker>,
    /// Whether what is known may be old.
    pub stall: Rc<Stall>,
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
    pub(super) state: RefCell<State>,
    /// Something may be started.
    pub(super) wake: Notify,
    pub(super) scorings: Rc<score::Gate>,
    /// Grows when an engine with runs has started again.
    pub(super) restarts: watch::Sender<u64>,
    /// Whether no further run is started.
    pub(super) draining: Cell<bool>,
}

impl Runner {
    /// Takes part in the duty of each model of the configuration from now on.
    pub fn start(parts: Parts) -> Rc<Self> {
        let runner = Rc::new(Self {
            parts,
            state: RefCell::default(),
            wake: Notify::new(),
            scorings: Rc::default(),
            restarts: watch::channel(0).0,
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
    pub(super) fn leave(&self) -> BTreeMap<CompactString, Left> {
        let mut left = BTreeMap::new();
        let mut ended = Vec::new();
        for (id, open) in &mut self.state.borrow_mut().lots {
            ended.append(&mut std::mem::take(&mut open.tasks).into_values().collect());
            // What is made is committed at once.
            open.more.notify_one();
            let unlisted = open.unlisted(0);
            if !unlisted.texts.is_empty() {
                left.insert(id.clone(), unlisted);
            }
        }
        drop(ended);
        left
    }

    /// The long texts of a lot that are not listed; none if they need not be kept any more.
    pub(super) fn long_texts(&self, lot: &str) -> Option<Left> {
        let state = self.state.borrow();
        let open = state.lots.get(lot).filter(|_| !self.draining.get())?;
        Some(open.unlisted(handover::LONG_TEXT))
    }

    /// The texts of a lot were written.
    pub(super) fn texts_kept(&self, lot: &str, revision: u64) {
        if let Some(open) = self.state.borrow_mut().lots.get_mut(lot) {
            open.texts_revision = Some(revision);
        }
    }

    /// Runs and scorings under way.
    pub fn in_flight(&self) -> usize {
        let state = self.state.borrow();
        state.lots.values().map(|open| open.tasks.len()).sum()
    }

    async fn join_duties(self: Rc<Self>) {
        let start = |model: CompactString| {
            let runner = Rc::clone(&self);
            actix_rt::spawn(async move { runner.serve(&model).await });
        };
        self.parts.config.for_each_new(models, start).await;
    }

    /// Works for a model whenever this instance holds its duty.
    async fn serve(self: Rc<Self>, model: &CompactString) {
        let duty = duty(model);
        let (runner, duties) = (&self, Rc::clone(&self.parts.duties));
        let work = async || runner.work(model).await;
        let goes_on = || {
            // At a stop what is under way ends by itself, and its results are still committed.
            let stops = runner.draining.get();
            if !stops {
                runner.drop_model(model);
            }
            !stops
        };
        // Two runners cost work and never a wrong result, so that it goes on while the store is away,
        // until another instance is known to have the duty.
        duties.whenever_held(&duty, work, goes_on).await;
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
        self.parts.endpoints.subscribe_engines();
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

    /// The ages of the lots that this instance has seen.
    pub(super) fn ages<T>(&self, look: impl FnOnce(&mut Ages) -> T) -> T {
        look(&mut self.state.borrow_mut().ages)
    }

    /// Whether there is still work to do for a lot.
    pub(super) fn is_open(&self, lot: &str) -> bool {
        let state = self.state.borrow();
        state.lots.contains_key(lot) || state.opening.contains_key(lot)
    }
}

/// The duty of running the lots of a model.
pub fn duty(model: &str) -> CompactString {
    format_compact!("lots-{model}")
}

/// The models of all engines.
fn models(table: &RoutingTable) -> Vec<CompactString> {
    let services = table.document().services.iter();
    let engines = services.filter_map(|service| service.engine.as_ref());
    engines.flat_map(|engine| engine.models.clone()).collect()
}
