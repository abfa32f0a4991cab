//! Orders engines to load new weight versions, and requests endpoints from the platform.
//!
//! For each service of engines, one instance at a time does this, under a lease with a fencing
//! token. [`Controller`] decides which engine loads which version, and
//! [`Autoscaler`](pinereel_core::scale::Autoscaler) how many endpoints to request. This module makes
//! the calls that they decide on.

mod assignment;
mod engine_call;
mod load_slots;
mod rollout;
mod scaler;

use super::{
    config::Config,
    duty::{Duties, HeldLease},
    endpoints::Endpoints,
    list_watch::{MAX_WAIT_FOR_LOTS, Update, WatchOptions, list_and_watch},
    metrics::Metrics,
    retirement,
    store::Store,
};
use crate::{objects::Purpose, restart::spawn_restarted, settings, upstream::pool::Pool};
use assignment::Assignment;
use compact_str::{CompactString, format_compact};
use engine_call::ANSWER_TIMEOUT;
use futures_util::future::OptionFuture;
use load_slots::{Rollouts, TICK_INTERVAL};
use pinereel_core::{
    Time,
    rollout::{Controller, Settings},
    routing_table::RoutingTable,
};
use pinereel_port::{Adapter, store::Object};
use rollout::Rollout;
use scaler::ServiceScaler;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Expected time of a load until one has been observed: that of an engine while few others load.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(900);
/// A load that takes longer counts as failed. This is several times the usual time, as loads take
/// longer while more engines load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between status reads of an engine whose load should have ended. The endpoint list shows
/// the end of a load too, but later.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Share of a model's engines that stays in service while others load, where several models share the
/// service. With the default of half, 7 of 15 engines load at a time and the last one alone, 3.1 s in
/// place of 2.0 s; with this share, all engines but one of three can load in two rounds.
const MIN_SERVING_SHARE_OF_MODEL: f64 = 0.4;

/// Time from the publication of a version until its first load, where several models share the service.
/// Trainers submit the next step 0.11 s to 0.15 s after a version; a load that begins before that rejects
/// the step's first runs, which are those of its longest texts.
const LOAD_DELAY: Duration = Duration::from_millis(300);

/// Maximum time until an order that was sent reaches its engine, unless its connection is lost. A TCP
/// segment that is lost once is retransmitted after 0.2 s.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(500);

/// Maximum time after a lease renewal during which orders are sent. The gap before the orders of the
/// next holder starts at its end: with the whole lease of 1.8 s, engines got no order for 5.5 s after
/// a holder lost its network. Renewals are 0.5 s to 0.84 s apart, so one that is a little late does
/// not interrupt the orders.
const MAX_ACTING_TIME: Duration = Duration::from_millis(1_200);

/// Minimum interval between checks of the models' demand, which is received with their leases every
/// 0.7 s.
const DEMAND_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Dependencies of [`Orders`].
pub struct Dependencies {
    /// Message formats of the platform and the engines.
    pub adapter: Adapter,
    /// The object store.
    pub store: Store,
    /// The configuration in force.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Leases of the control duties.
    pub duties: Rc<Duties>,
    /// Connections to endpoints and to the platform.
    pub pool: Rc<Pool>,
    /// Minimum gap between the orders of two holders, and the number of loads at a time.
    pub settings: settings::Orders,
    /// Address at which the platform takes requests for endpoints; `None` if autoscaling is off.
    pub platform_address: Option<SocketAddr>,
    /// Counts orders and requests.
    pub metrics: Metrics,
    /// Longest duration of one watch call to the object store.
    pub max_watch_time: Duration,
}

/// Sends the orders of all services whose lease this instance holds.
pub struct Orders {
    deps: Dependencies,
    /// Newest published weight version, by model.
    published_versions: RefCell<BTreeMap<CompactString, u64>>,
    /// Time of the last order or request of this instance, by service.
    last_order_times: RefCell<BTreeMap<CompactString, Time>>,
    /// Fencing token of the last lease whose cooldown has ended here, so that this instance may have
    /// sent orders under it, by service.
    cooled_down_fences: RefCell<BTreeMap<CompactString, u64>>,
    /// The model for which each engine is kept up to date, by service.
    assignments: RefCell<BTreeMap<CompactString, Assignment>>,
    /// Number of calls to engines so far; part of the id of each call.
    call_count: Cell<u64>,
}

impl Orders {
    /// Registers for the lease of each service of engines, now and when the configuration adds one.
    pub fn start(deps: Dependencies) -> Rc<Self> {
        let orders = Rc::new(Self {
            deps,
            published_versions: RefCell::default(),
            last_order_times: RefCell::default(),
            cooled_down_fences: RefCell::default(),
            assignments: RefCell::default(),
            call_count: Cell::new(0),
        });
        let state = Rc::clone(&orders);
        actix_rt::spawn(state.run_new_services());
        orders
    }

    async fn run_new_services(self: Rc<Self>) {
        let start = |service: CompactString| {
            let orders = Rc::clone(&self);
            spawn_restarted("orders", async move || {
                Rc::clone(&orders).run_service(&service).await;
            });
        };
        self.deps.config.for_each_new(engine_services, start).await;
    }

    /// The time from which orders may be sent under a lease.
    fn may_order_from(&self, service: &str, lease: &HeldLease) -> Time {
        if self.cooled_down_fences.borrow().get(service) == Some(&lease.fence) {
            // The lease has expired meanwhile, but no other instance has held it.
            return Time::ZERO;
        }
        lease.may_act_from(self.min_gap())
    }

    /// Minimum time between the last order of one holder and the first order of the next.
    fn min_gap(&self) -> Duration {
        self.deps.settings.gap + MAX_DELIVERY_TIME
    }

    /// Records that an order is about to be sent: the gap before the next holder's orders starts now.
    fn note_order(&self, service: &CompactString) {
        let now = self.deps.duties.now();
        self.last_order_times
            .borrow_mut()
            .insert(service.clone(), now);
    }

    fn note_cooldown_ended(&self, service: &CompactString, fence: u64) {
        self.cooled_down_fences
            .borrow_mut()
            .insert(service.clone(), fence);
    }

    fn models_of(&self, service: &str) -> Vec<CompactString> {
        let table = self.deps.config.table();
        let engine = table.and_then(|table| table.service(service)?.engine.clone());
        engine.map(|engine| engine.models).unwrap_or_default()
    }

    /// Sends the orders of a service whenever this instance holds its lease.
    async fn run_service(self: Rc<Self>, service: &CompactString) {
        let duty = format_compact!("orders-{service}");
        let (orders, duties) = (&self, Rc::clone(&self.deps.duties));
        let control = async || orders.control_service(service, &duty).await;
        duties.set_max_acting_time(&duty, MAX_ACTING_TIME);
        // The known status of the engines is kept while a renewal is late: the lease is checked again
        // before each order.
        duties.run_while_held(&duty, control, || true).await;
    }

    /// Runs the work of the lease holder of a service, until dropped: the rollouts of its models, the
    /// requests for endpoints, and the answers to retirement requests.
    async fn control_service(self: &Rc<Self>, service: &CompactString, duty: &CompactString) {
        self.deps.endpoints.subscribe_engines();
        let store = self.deps.store.clone();
        let (kind, watch_time) = (
            self.deps.adapter.object_kinds.versions,
            self.deps.max_watch_time,
        );
        let watch_options = || WatchOptions {
            max_wait: watch_time.min(MAX_WAIT_FOR_LOTS),
            batch_delay: Duration::ZERO,
        };
        let versions = list_and_watch(
            &store,
            Purpose::Weights,
            kind,
            watch_options,
            None,
            |update, _| {
                self.apply_versions(update);
            },
        );
        let models = self.models_of(service);
        let settings = self.controller_settings(models.len());
        let shares_slots = models.len() > 1;
        let rollouts = models.into_iter().map(|model| {
            let rollout = Rollout {
                orders: Rc::clone(self),
                service: service.clone(),
                model,
                duty: duty.clone(),
                shares_slots,
                controller: RefCell::new(Controller::new(settings)),
            };
            Rc::new(rollout)
        });
        let rollouts = Rollouts::new(Rc::clone(self), service.clone(), rollouts.collect());
        // One instance suffices to answer retirement requests, so the lease holder does it.
        let retirements = retirement::answer_requests(&store, self.deps.adapter, watch_time);
        let scaler = self.deps.platform_address.map(|address| {
            let scaler = ServiceScaler {
                orders: Rc::clone(self),
                service: service.clone(),
                duty: duty.clone(),
                address,
            };
            scaler.run()
        });
        tokio::select! {
            Some(()) = OptionFuture::from(scaler) => {}
            () = versions => {}
            () = retirements => {}
            () = rollouts.run() => {}
        }
    }

    fn controller_settings(&self, models: usize) -> Settings {
        let defaults = Settings::default();
        let (min_serving_share, load_delay) = match models {
            0 | 1 => (defaults.min_serving_share, defaults.load_delay),
            _ => (MIN_SERVING_SHARE_OF_MODEL, LOAD_DELAY),
        };
        Settings {
            min_serving_share,
            load_delay,
            max_loads: self.deps.settings.loads,
            initial_load_time: INITIAL_LOAD_TIME,
            load_timeout: LOAD_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT + TICK_INTERVAL,
            poll_interval: LOAD_POLL_INTERVAL,
            // An engine refuses orders as busy while it loads.
            can_replace_load: false,
            ..defaults
        }
    }

    fn apply_versions(&self, update: Update) {
        let objects: Vec<Object> = match update {
            Update::All(objects) => objects,
            Update::Changes(changes) => changes.into_iter().map(|c| c.object).collect(),
        };
        for object in objects {
            match (self.deps.adapter.decode_named_version)(&object.spec) {
                Ok((model, _)) if model != object.name => {
                    log::error!(object = object.name.as_str(), model = model.as_str(); "version of another model refused");
                }
                Ok((model, version)) => {
                    let revision = object.revision;
                    log::info!(model = model.as_str(), version, revision; "version published");
                    let mut published_versions = self.published_versions.borrow_mut();
                    let newest = published_versions.entry(model).or_default();
                    *newest = version.max(*newest);
                }
                Err(fault) => log::error!(object = object.name.as_str(); "{fault}"),
            }
        }
    }
}

/// Names of the services whose endpoints are engines.
fn engine_services(table: &RoutingTable) -> Vec<CompactString> {
    let services = table.document().services.iter();
    let engines = services.filter(|service| service.engine.is_some());
    engines.map(|service| service.name.clone()).collect()
}
