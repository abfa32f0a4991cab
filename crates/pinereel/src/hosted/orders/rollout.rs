//! The rollout of one model at one service: what its controller decides is carried out here.

use super::{Orders, call::NoAnswer};
use crate::hosted::duty::HeldLease;
use actix_http::Method;
use compact_str::CompactString;
use pinereel_core::{
    Time, Version,
    rollout::{Action, Controller, Event, Lease, Status, max_loads},
};
use pinereel_port::{
    endpoint::Entry,
    engine::{LoadOutcome, LoadRequest, StatusReport},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause between ticks of a controller.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// The engines that were listed: incarnation and version of the model, by id.
type Known = BTreeMap<CompactString, (u64, u64)>;

/// What the controller was last told of the list.
#[derive(Default)]
struct Listed {
    /// The change of the list that it was told up to.
    change: Option<u64>,
    /// The model's engines then.
    own: Vec<CompactString>,
    /// What the list showed of them.
    known: Known,
}

/// The rollout of one model at one service.
pub(super) struct Rollout {
    pub(super) orders: Rc<Orders>,
    pub(super) service: CompactString,
    pub(super) model: CompactString,
    pub(super) duty: CompactString,
    pub(super) controller: RefCell<Controller>,
}

impl Rollout {
    pub(super) async fn run(self: Rc<Self>) {
        let mut listed = Listed::default();
        loop {
            let lease = self.lease();
            self.step(Event::Lease(lease));
            self.inform(&mut listed);
            self.step(Event::Tick);
            sleep(TICK).await;
        }
    }

    fn grant(&self) -> Option<HeldLease> {
        self.orders.parts.duties.held_lease(&self.duty)
    }

    fn now(&self) -> Time {
        self.orders.parts.duties.now()
    }

    /// The lease, once the holder before may not have given an order for the gap that engines ask.
    fn lease(&self) -> Option<Lease> {
        let grant = self.grant()?;
        let clear = self.orders.clear(&self.service, &grant);
        self.tell_rests(clear);
        let settled = self.now() >= clear;
        if settled {
            self.orders.note_settled(&self.service, grant.fence);
        }
        settled.then_some(Lease {
            fence: grant.fence,
            expires_at: grant.valid_until,
        })
    }

    /// Tells in the lease from when on the next holder may give orders.
    fn tell_rests(&self, clear: Time) {
        let last = self.orders.last_order.borrow().get(&self.service).copied();
        let others = last.map_or(clear, |last| clear.max(last + self.orders.gap()));
        self.orders
            .parts
            .duties
            .set_cooldown_ends(&self.duty, clear, others);
    }

    /// Tells the controller what is known.
    fn inform(self: &Rc<Self>, listed: &mut Listed) {
        let named = self.orders.named.borrow().get(&self.model).copied();
        if let Some(version) = named {
            self.step(Event::Published(Version(version)));
        }
        self.orders.share(&self.service);
        let shares = self.orders.shares.borrow();
        let Some(shares) = shares.get(&self.service) else {
            return;
        };
        let own = shares.of(&self.model);
        let least = self.orders.parts.settings.loads;
        let at_once = max_loads(shares.listed, shares.len(), own.len(), least);
        self.controller.borrow_mut().set_max_loads(at_once);
        let change = self.orders.parts.endpoints.change_count();
        if listed.change == Some(change) && listed.own == own {
            return;
        }
        let mut known = Known::new();
        for name in own {
            let before = listed.known.get(name).copied();
            if let Some(entry) = self.entry(name)
                && let Some(now) = self.inform_of(entry, before)
            {
                known.insert(name.clone(), now);
            }
        }
        for name in listed.known.keys() {
            if !known.contains_key(name) {
                self.step(Event::Unlisted { name: name.clone() });
            }
        }
        *listed = Listed {
            change: Some(change),
            own: own.to_vec(),
            known,
        };
    }

    /// Tells the controller what the list shows of an engine; `before` is what it showed last. Returns what it shows
    /// now; none if the engine does not serve the model.
    fn inform_of(
        self: &Rc<Self>,
        entry: Entry,
        mut before: Option<(u64, u64)>,
    ) -> Option<(u64, u64)> {
        let version = entry.models.get(&self.model).copied()?;
        // A new start knows nothing of orders: what was seen of the one before says nothing.
        if before.is_some_and(|(incarnation, _)| incarnation != entry.incarnation) {
            before = None;
            let name = entry.id.clone();
            self.step(Event::Unlisted { name });
        }
        self.step(Event::Listed {
            name: entry.id.clone(),
            zone: entry.zone,
            outstanding: 0,
            leaving: entry.draining,
        });
        // An engine lists a new version as soon as it serves it; its report lags behind.
        if before.is_some_and(|(_, before)| before != version) {
            let status = Status {
                incarnation: entry.incarnation,
                version: Some(Version(version)),
                loading: None,
                failed: false,
            };
            let name = entry.id;
            self.step(Event::Observed { name, status });
        }
        Some((entry.incarnation, version))
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
            Action::UnexpectedVersion { name, version } => {
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
        self.orders.parts.endpoints.entry(name)
    }

    async fn read(self: Rc<Self>, name: CompactString) {
        let report = match self.entry(&name) {
            Some(entry) => self.orders.report(&entry).await,
            None => Err(NoAnswer::Lost),
        };
        let event = match report {
            Ok(report) => Event::Observed {
                status: self.status(&report),
                name,
            },
            Err(no_answer) => no_answer.event(name),
        };
        self.step(event);
    }

    fn status(&self, report: &StatusReport) -> Status {
        let named = self.orders.named.borrow().get(&self.model).copied();
        Status {
            incarnation: report.incarnation,
            version: report.models.get(&self.model).copied().map(Version),
            // The report does not say which version is loaded; orders are given for the newest.
            loading: report.loading.then(|| Version(named.unwrap_or_default())),
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
        let body = (engine.encode_load_request)(LoadRequest {
            model: &self.model,
            version: version.0,
            finish_running_first: single,
            lease_holder: self.orders.parts.duties.instance(),
            fencing_token: fence,
            expected_accepted_loads: before.accepted_loads,
        });
        // The lease may have run out during the read.
        if self.grant().is_none_or(|grant| grant.fence != fence) {
            return Err(NoAnswer::Lost);
        }
        self.orders.note_order(&self.service);
        self.tell_rests(Time::ZERO);
        let answer = self
            .orders
            .call(&entry, Method::POST, engine.load_path, body);
        let verdict = answer.await;
        let verdict = verdict.map(|(status, _)| (engine.load_outcome)(status));
        log::info!(
            endpoint = name.as_str(),
            model = self.model.as_str(),
            version = version.0,
            fence,
            orders_before = before.accepted_loads,
            outcome:? = verdict;
            "order given"
        );
        let metrics = &self.orders.parts.metrics;
        metrics.count(
            &metrics.orders,
            &[verdict.map_or("no answer", LoadOutcome::as_str)],
        );
        let name = name.clone();
        let mut status = self.status(&before);
        match verdict? {
            LoadOutcome::Accepted => {
                status.loading = Some(version);
                Ok(Event::Accepted {
                    name,
                    fence,
                    status,
                })
            }
            LoadOutcome::Holds => {
                status.version = Some(version);
                status.loading = None;
                Ok(Event::Accepted {
                    name,
                    fence,
                    status,
                })
            }
            LoadOutcome::Fenced => Ok(Event::Fenced { name, fence }),
            LoadOutcome::Busy | LoadOutcome::OtherEndpoint | LoadOutcome::Refused => {
                Err(NoAnswer::Lost)
            }
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
