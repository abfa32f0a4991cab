//! Orders to the engines: which version of the weights they load.
//!
//! One instance gives the orders of a service, under a lease with a fencing token. The decisions are
//! those of [`Controller`]; here they are carried out in the platform's calls.

mod assignment;
mod engine_call;
mod rollout;
mod scaler;

use super::{
    config::Config,
    duty::{Duties, HeldLease},
    endpoints::Endpoints,
    list_watch::{Update, WatchOptions, list_and_watch},
    metrics::Metrics,
    retire,
    store::Store,
};
use crate::{objects::Purpose, settings, upstream::pool::Pool};
use assignment::Assignment;
use compact_str::{CompactString, format_compact};
use engine_call::ANSWER_TIMEOUT;
use futures_util::future::OptionFuture;
use pinereel_core::{
    Time,
    rollout::{Controller, Settings},
    routing_table::RoutingTable,
};
use pinereel_port::{Adapter, store::Object};
use rollout::{Rollout, TICK_INTERVAL};
use scaler::ServiceScaler;
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// Expected time of one load until one was seen: what the users' engines take while few load.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(900);
/// A load that takes so long has failed: several times the usual one, which is longer while more
/// engines load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between reads of an engine whose load should be over. The list tells it as well, later.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// An order that was sent reaches its engine within this time, or its connection is lost: a segment
/// that is lost once is sent again after 0.2 s.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(500);

/// Orders are given for so long after a renewal at most. The next holder waits the engines' gap from then
/// on: with the whole lease, 1.8 s, engines got no order for 5.5 s after a holder was cut off. Renewals come
/// every 0.5 s to 0.84 s, so that a late one ends no order at once.
const MAX_ACTING_TIME: Duration = Duration::from_millis(1_200);

/// Pause between two looks at what the models ask for; their leases are heard every 0.7 s.
const DEMAND_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What orders are given with.
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
    /// Bounds.
    pub settings: settings::Orders,
    /// Where the platform takes orders for endpoints; none if they are no duty.
    pub platform: Option<SocketAddr>,
    /// Figures.
    pub metrics: Metrics,
    /// Longest wait of a watch.
    pub max_watch_time: Duration,
}

/// Gives the orders of all services whose duty this instance holds.
pub struct Orders {
    parts: Parts,
    /// Newest named version by model.
    published_versions: RefCell<BTreeMap<CompactString, u64>>,
    /// When this instance last sent an order, by service.
    last_order_times: RefCell<BTreeMap<CompactString, Time>>,
    /// Fencing token under which this instance has given orders, or might have, by service.
    cooled_down_fences: RefCell<BTreeMap<CompactString, u64>>,
    /// The model that each engine is kept up to date for, by service.
    assignments: RefCell<BTreeMap<CompactString, Assignment>>,
}

impl Orders {
    /// Takes part in the duty of each service of engines from now on.
    pub fn start(parts: Parts) -> Rc<Self> {
        let orders = Rc::new(Self {
            parts,
            published_versions: RefCell::default(),
            last_order_times: RefCell::default(),
            cooled_down_fences: RefCell::default(),
            assignments: RefCell::default(),
        });
        let state = Rc::clone(&orders);
        actix_rt::spawn(async move { state.run_new_services().await });
        orders
    }

    async fn run_new_services(self: Rc<Self>) {
        let start = |service: CompactString| {
            let orders = Rc::clone(&self);
            actix_rt::spawn(async move { orders.run_service(&service).await });
        };
        self.parts.config.for_each_new(engine_services, start).await;
    }

    /// From when on orders may be given under a grant.
    fn may_order_from(&self, service: &str, lease: &HeldLease) -> Time {
        if self.cooled_down_fences.borrow().get(service) == Some(&lease.fence) {
            // It lapsed in between, and nobody else had it.
            return Time::ZERO;
        }
        lease.may_act_from(self.min_gap())
    }

    /// Time between the last order of one holder and the first of the next.
    fn min_gap(&self) -> Duration {
        self.parts.settings.gap + MAX_DELIVERY_TIME
    }

    /// An order is about to be given: the next holder waits the gap from now on.
    fn note_order(&self, service: &CompactString) {
        let now = self.parts.duties.now();
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
        let table = self.parts.config.table();
        let engine = table.and_then(|table| table.service(service)?.engine.clone());
        engine.map(|engine| engine.models).unwrap_or_default()
    }

    /// Gives the orders of a service whenever this instance holds its duty.
    async fn run_service(self: Rc<Self>, service: &CompactString) {
        let duty = format_compact!("orders-{service}");
        let (orders, duties) = (&self, Rc::clone(&self.parts.duties));
        let control = async || orders.control_service(service, &duty).await;
        duties.set_max_acting_time(&duty, MAX_ACTING_TIME);
        // What is known of the engines is kept while a renewal is late; each order asks for the grant.
        duties.run_while_held(&duty, control, || true).await;
    }

    async fn control_service(self: &Rc<Self>, service: &CompactString, duty: &CompactString) {
        self.parts.endpoints.subscribe_engines();
        let store = self.parts.store.clone();
        let (kind, max_wait) = (
            self.parts.adapter.object_kinds.versions,
            self.parts.max_watch_time,
        );
        let watch_options = || WatchOptions {
            max_wait,
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
        let models = self.models_of(service).into_iter().map(|model| {
            let rollout = Rollout {
                orders: Rc::clone(self),
                service: service.clone(),
                model,
                duty: duty.clone(),
                controller: RefCell::new(Controller::new(self.controller_settings())),
            };
            Rc::new(rollout).run()
        });
        // One instance is enough to answer retirements; the holder of this duty is one.
        let retirements = retire::serve(&store, self.parts.adapter, max_wait);
        let scaler = self.parts.platform.map(|address| {
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
            _ = futures_util::future::join_all(models) => {}
        }
    }

    fn controller_settings(&self) -> Settings {
        Settings {
            max_loads: self.parts.settings.loads,
            initial_load_time: INITIAL_LOAD_TIME,
            load_timeout: LOAD_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT + TICK_INTERVAL,
            poll_interval: LOAD_POLL_INTERVAL,
            // An engine that loads answers that it is busy.
            can_replace_load: false,
            ..Settings::default()
        }
    }

    fn apply_versions(&self, update: Update) {
        let objects: Vec<Object> = match update {
            Update::All(objects) => objects,
            Update::Changes(changes) => changes.into_iter().map(|c| c.object).collect(),
        };
        for object in objects {
            match (self.parts.adapter.decode_named_version)(&object.spec) {
                Ok((model, version)) => {
                    let revision = object.revision;
                    log::info!(model = model.as_str(), version, revision; "version named");
                    let mut published_versions = self.published_versions.borrow_mut();
                    let known = published_versions.entry(model).or_default();
                    *known = version.max(*known);
                }
                Err(fault) => log::error!(object = object.name.as_str(); "{fault}"),
            }
        }
    }
}

/// The services whose endpoints are engines.
fn engine_services(table: &RoutingTable) -> Vec<CompactString> {
    let services = table.document().services.iter();
    let engines = services.filter(|service| service.engine.is_some());
    engines.map(|service| service.name.clone()).collect()
}
