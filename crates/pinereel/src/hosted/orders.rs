//! Orders to the engines: which version of the weights they load.
//!
//! One instance gives the orders of a service, under a lease with a fencing token. The decisions are
//! those of [`rollout::Controller`]; here they are carried out in the platform's calls.

use super::{
    config::Config,
    duty::{Duties, Grant},
    endpoints::Endpoints,
    follow::{Manner, Update, follow},
    metrics::Metrics,
    retire,
    store::Store,
};
use crate::{
    objects::Purpose,
    settings,
    upstream::pool::{Error, Exchange, Pool},
};
use actix_http::{
    Method, RequestHead, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time, Version, hash,
    rollout::{self, Action, Controller, Event, Lease, Settings, Sight},
};
use pinereel_port::{
    Adapter,
    endpoint::Entry,
    engine::{Order, Report, Verdict},
    live::Attempt,
    store::Object,
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Pause between ticks of a controller.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait for an engine's answer. An order without an answer may be carried out later; the
/// count of orders in the next one makes it void.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Expected time of one load until one was seen; the users' sheets say 0.9 s.
const LOAD_TIME: Duration = Duration::from_millis(900);
/// A load that takes so long has failed: several times the usual one, which is longer while more
/// engines load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between reads of an engine whose load should be over. The list tells it as well, later.
const POLL: Duration = Duration::from_millis(250);

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
    /// Figures.
    pub metrics: Metrics,
    /// Longest wait of a watch.
    pub watch: Duration,
}

/// Gives the orders of all services whose duty this instance holds.
pub struct Orders {
    parts: Parts,
    /// Newest named version by model.
    named: RefCell<BTreeMap<CompactString, u64>>,
    /// The model that each engine is kept up to date for, by service.
    shares: RefCell<BTreeMap<CompactString, Shares>>,
}

/// The models' shares of a service's engines.
#[derive(Default)]
struct Shares {
    /// The change of the endpoint list that they were made from.
    made_from: Option<u64>,
    by_engine: BTreeMap<CompactString, CompactString>,
    models: usize,
}

/// The rollout of one model at one service.
struct Rollout {
    orders: Rc<Orders>,
    service: CompactString,
    model: CompactString,
    duty: CompactString,
    controller: RefCell<Controller>,
}

impl Orders {
    /// Takes part in the duty of each service of engines from now on.
    pub fn start(parts: Parts) -> Rc<Self> {
        let orders = Rc::new(Self {
            parts,
            named: RefCell::default(),
            shares: RefCell::default(),
        });
        let state = Rc::clone(&orders);
        actix_rt::spawn(async move { state.join_duties().await });
        orders
    }

    async fn join_duties(self: Rc<Self>) {
        let mut changes = self.parts.config.changes();
        let mut joined = BTreeSet::new();
        loop {
            for service in self.services() {
                if joined.insert(service.clone()) {
                    let orders = Rc::clone(&self);
                    actix_rt::spawn(async move { orders.serve(&service).await });
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn services(&self) -> Vec<CompactString> {
        let Some(table) = self.parts.config.table() else {
            return Vec::new();
        };
        let services = table.document().services.iter();
        let engines = services.filter(|service| service.engine.is_some());
        engines.map(|service| service.name.clone()).collect()
    }

    /// Brings the shares of a service up to date.
    fn share(&self, service: &CompactString) {
        let change = *self.parts.endpoints.changes().borrow();
        let mut all = self.shares.borrow_mut();
        let shares = all.entry(service.clone()).or_default();
        if shares.made_from == Some(change) {
            return;
        }
        let entries = self.parts.endpoints.of(service).into_iter();
        let engines = entries.filter(|entry| !entry.leaving).map(|entry| entry.id);
        let models = self.models(service);
        shares.by_engine = rollout::share(engines, &models);
        shares.models = models.len();
        shares.made_from = Some(change);
    }

    fn models(&self, service: &str) -> Vec<CompactString> {
        let table = self.parts.config.table();
        let engine = table.and_then(|table| table.service(service)?.engine.clone());
        engine.map(|engine| engine.models).unwrap_or_default()
    }

    /// Gives the orders of a service whenever this instance holds its duty.
    async fn serve(self: Rc<Self>, service: &CompactString) {
        let duty = format_compact!("orders-{service}");
        let mut standing = self.parts.duties.join(&duty);
        loop {
            if standing.wait_for(|s| s.grant.is_some()).await.is_err() {
                return;
            }
            let mut watched = standing.clone();
            let lost = async {
                // An error means that the process is ending.
                let _ = watched.wait_for(|s| s.grant.is_none()).await;
            };
            tokio::select! {
                () = self.work(service, &duty) => {}
                () = lost => {}
            }
        }
    }

    async fn work(self: &Rc<Self>, service: &CompactString, duty: &CompactString) {
        let store = self.parts.store.clone();
        let (kind, wait) = (self.parts.adapter.places.versions, self.parts.watch);
        let manner = || Manner {
            wait,
            gather: Duration::ZERO,
        };
        let versions = follow(&store, Purpose::Weights, kind, manner, None, |update, _| {
            self.take(update);
        });
        let models = self.models(service).into_iter().map(|model| {
            let rollout = Rollout {
                orders: Rc::clone(self),
                service: service.clone(),
                model,
                duty: duty.clone(),
                controller: RefCell::new(Controller::new(self.settings())),
            };
            Rc::new(rollout).run()
        });
        // One instance is enough to answer retirements; the holder of this duty is one.
        let retirements = retire::serve(&store, self.parts.adapter, wait);
        tokio::select! {
            () = versions => {}
            () = retirements => {}
            _ = futures_util::future::join_all(models) => {}
        }
    }

    fn settings(&self) -> Settings {
        Settings {
            loads: self.parts.settings.loads,
            load_time: LOAD_TIME,
            load_timeout: LOAD_TIMEOUT,
            answer_timeout: ANSWER + TICK,
            poll: POLL,
            // An engine that loads answers that it is busy.
            replaces: false,
            ..Settings::default()
        }
    }

    fn take(&self, update: Update) {
        let objects: Vec<Object> = match update {
            Update::All(objects) => objects,
            Update::Changes(changes) => changes.into_iter().map(|c| c.object).collect(),
        };
        for object in objects {
            match (self.parts.adapter.version)(&object.spec) {
                Ok((model, version)) => {
                    let revision = object.revision;
                    log::info!(model = model.as_str(), version, revision; "version named");
                    let mut named = self.named.borrow_mut();
                    let known = named.entry(model).or_default();
                    *known = version.max(*known);
                }
                Err(fault) => log::error!(object = object.name.as_str(); "{fault}"),
            }
        }
    }

    /// One call at an engine.
    async fn call(
        &self,
        entry: &Entry,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), NoAnswer> {
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = path.parse().unwrap_or_default();
        let host = HeaderValue::from_str(&entry.address.to_string());
        if let Ok(host) = host {
            head.headers.insert(HOST, host);
        }
        let json = HeaderValue::from_static("application/json");
        head.headers.insert(CONTENT_TYPE, json);
        let attempt = Attempt {
            id: &format_compact!("order-{}", entry.id),
            endpoint: &entry.id,
            time_left: None,
            after_event: None,
        };
        (self.parts.adapter.live.attempt)(&mut head.headers, attempt);
        let exchange = Exchange {
            address: entry.address,
            head,
            body,
            reuse: true,
        };
        let exchange = async {
            let response = self.parts.pool.send(exchange).await;
            let response = response.map_err(|error| match error {
                Error::NotOpened(_) => NoAnswer::NotOpened,
                Error::Lost(_) | Error::Stale(_) => NoAnswer::Lost,
            })?;
            let status = response.status;
            let body = response.body.whole().await;
            Ok((status, body.map_err(|_| NoAnswer::Lost)?))
        };
        timeout(ANSWER, exchange)
            .await
            .unwrap_or(Err(NoAnswer::Lost))
    }

    async fn report(&self, entry: &Entry) -> Result<Report, NoAnswer> {
        let engine = self.parts.adapter.engine;
        let answer = self.call(entry, Method::GET, engine.report_path, Bytes::new());
        let (status, body) = answer.await?;
        if status != StatusCode::OK {
            return Err(NoAnswer::Lost);
        }
        (engine.report)(&body).map_err(|fault| {
            log::warn!(endpoint = entry.id.as_str(); "{fault}");
            NoAnswer::Lost
        })
    }
}

impl Rollout {
    async fn run(self: Rc<Self>) {
        let mut listed = BTreeMap::new();
        loop {
            let lease = self.lease();
            self.step(Event::Lease(lease));
            self.inform(&mut listed);
            self.step(Event::Tick);
            sleep(TICK).await;
        }
    }

    fn grant(&self) -> Option<Grant> {
        self.orders.parts.duties.acts(&self.duty)
    }

    fn now(&self) -> Time {
        self.orders.parts.duties.now()
    }

    /// The lease, once the holder before may not have given an order for the gap that engines ask.
    fn lease(&self) -> Option<Lease> {
        let grant = self.grant()?;
        let settled = self.now() >= grant.since + self.orders.parts.settings.gap;
        let first = grant.fence == FIRST_FENCE;
        (first || settled).then_some(Lease {
            fence: grant.fence,
            until: grant.until,
        })
    }

    fn entries(&self) -> Vec<Entry> {
        self.orders.parts.endpoints.of(&self.service)
    }

    /// Tells the controller what is known.
    fn inform(self: &Rc<Self>, listed: &mut BTreeMap<CompactString, u64>) {
        let named = self.orders.named.borrow().get(&self.model).copied();
        if let Some(version) = named {
            self.step(Event::Published(Version(version)));
        }
        self.orders.share(&self.service);
        let shares = self.orders.shares.borrow();
        let Some(shares) = shares.get(&self.service) else {
            return;
        };
        let loads = rollout::loads(
            shares.by_engine.len(),
            shares.models,
            self.orders.parts.settings.loads,
        );
        self.controller.borrow_mut().set_loads(loads);
        let mut present = BTreeMap::new();
        for entry in self.entries() {
            let Some(version) = entry.models.get(&self.model).copied() else {
                continue;
            };
            if shares.by_engine.get(&entry.id) != Some(&self.model) {
                continue;
            }
            let before = listed.get(&entry.id).copied();
            self.step(Event::Listed {
                name: entry.id.clone(),
                zone: entry.zone,
                outstanding: 0,
                leaving: entry.leaving,
            });
            // An engine lists a new version as soon as it serves it; its report lags behind.
            if before.is_some_and(|before| before != version) {
                let sight = Sight {
                    incarnation: hash::stable(entry.id.as_bytes()),
                    version: Some(Version(version)),
                    loading: None,
                    failed: false,
                };
                self.step(Event::Seen {
                    name: entry.id.clone(),
                    sight,
                });
            }
            present.insert(entry.id, version);
        }
        for name in listed.keys() {
            if !present.contains_key(name) {
                self.step(Event::Unlisted { name: name.clone() });
            }
        }
        *listed = present;
    }

    fn step(self: &Rc<Self>, event: Event) {
        let actions = self.controller.borrow_mut().step(self.now(), event);
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        let service = self.service.as_str();
        match action {
            Action::Read { name } => {
                let rollout = Rc::clone(self);
                actix_rt::spawn(async move { rollout.read(name).await });
            }
            Action::Order {
                name,
                version,
                fence,
            } => {
                let rollout = Rc::clone(self);
                actix_rt::spawn(async move { rollout.order(name, version, fence).await });
            }
            Action::Quarantined {
                name,
                failures,
                until,
            } => {
                let until = until.to_string();
                log::warn!(service, endpoint = name.as_str(), failures, until = until.as_str(); "engine's loads fail");
            }
            Action::Strayed { name, version } => {
                log::warn!(service, endpoint = name.as_str(), version:serde = version; "engine strayed");
            }
            Action::LeaseLost { fence } => {
                log::warn!(service, fence; "an engine has seen a newer fencing token");
            }
            Action::Complete { version, took } => {
                let millis = took.as_millis() as u64;
                log::info!(service, version:serde = version, ms = millis; "rollout complete");
            }
        }
    }

    fn entry(&self, name: &str) -> Option<Entry> {
        self.entries().into_iter().find(|entry| entry.id == name)
    }

    async fn read(self: Rc<Self>, name: CompactString) {
        let report = match self.entry(&name) {
            Some(entry) => self.orders.report(&entry).await,
            None => Err(NoAnswer::Lost),
        };
        let event = match report {
            Ok(report) => Event::Seen {
                sight: self.sight(&name, &report),
                name,
            },
            Err(no_answer) => no_answer.event(name),
        };
        self.step(event);
    }

    fn sight(&self, name: &str, report: &Report) -> Sight {
        let named = self.orders.named.borrow().get(&self.model).copied();
        Sight {
            incarnation: hash::stable(name.as_bytes()),
            version: report.models.get(&self.model).copied().map(Version),
            // The report does not say which version is loaded; orders are given for the newest.
            loading: report.busy.then(|| Version(named.unwrap_or_default())),
            failed: false,
        }
    }

    async fn order(self: Rc<Self>, name: CompactString, version: Version, fence: u64) {
        let event = self.send_order(&name, version, fence).await;
        self.step(event.unwrap_or_else(|no_answer| no_answer.event(name)));
    }

    /// Gives an order.
    async fn send_order(
        &self,
        name: &CompactString,
        version: Version,
        fence: u64,
    ) -> Result<Event, NoAnswer> {
        let entry = self.entry(name).ok_or(NoAnswer::Lost)?;
        let engine = self.orders.parts.adapter.engine;
        let before = self.orders.report(&entry).await?;
        let single = self.single_version();
        let body = (engine.order)(Order {
            model: &self.model,
            version: version.0,
            whole_runs: single,
            holder: self.orders.parts.duties.instance(),
            fence,
            expected_orders: before.orders,
        });
        // The lease may have run out during the read.
        if self.grant().is_none_or(|grant| grant.fence != fence) {
            return Err(NoAnswer::Lost);
        }
        let answer = self
            .orders
            .call(&entry, Method::POST, engine.order_path, body);
        let verdict = answer.await;
        let verdict = verdict.map(|(status, _)| (engine.verdict)(status));
        log::info!(
            endpoint = name.as_str(),
            model = self.model.as_str(),
            version = version.0,
            fence,
            orders_before = before.orders,
            outcome:? = verdict;
            "order given"
        );
        let metrics = &self.orders.parts.metrics;
        metrics.count(
            &metrics.orders,
            &[verdict.map_or("no answer", Verdict::as_str)],
        );
        let name = name.clone();
        let mut sight = self.sight(&name, &before);
        match verdict? {
            Verdict::Accepted => {
                sight.loading = Some(version);
                Ok(Event::Taken { name, fence, sight })
            }
            Verdict::Holds => {
                sight.version = Some(version);
                sight.loading = None;
                Ok(Event::Taken { name, fence, sight })
            }
            Verdict::Fenced => Ok(Event::Refused { name, fence }),
            Verdict::Busy | Verdict::OtherEndpoint | Verdict::Refused => Err(NoAnswer::Lost),
        }
    }

    /// Whether a route of the service wants samples of one version alone.
    fn single_version(&self) -> bool {
        let Some(table) = self.orders.parts.config.table() else {
            return false;
        };
        let mut routes = table.document().routes.iter();
        routes.any(|route| {
            let here = route.targets.iter().any(|t| t.service == self.service);
            here && route.single_version
        })
    }
}

/// Why a call at an engine brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoAnswer {
    /// No connection could be opened.
    NotOpened,
    /// It may have been taken, or the answer says nothing.
    Lost,
}

impl NoAnswer {
    const fn event(self, name: CompactString) -> Event {
        match self {
            Self::NotOpened => Event::Unreached { name },
            Self::Lost => Event::Silent { name },
        }
    }
}

/// The fencing token of a duty's first holder, before which nobody gave an order.
const FIRST_FENCE: u64 = 1;
