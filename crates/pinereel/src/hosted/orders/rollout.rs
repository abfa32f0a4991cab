//! Rolling update of the weights of one model at one service: executes the actions of its
//! [`Controller`] and feeds back the results.

use super::{Orders, engine_call::NoAnswer};
use crate::hosted::duty::HeldLease;
use actix_http::Method;
use compact_str::CompactString;
use pinereel_core::{
    Time, Version,
    rollout::{Action, Controller, Event, Lease, Status},
};
use pinereel_port::{
    endpoint::Entry,
    engine::{LoadOutcome, LoadRequest, StatusReport},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// Incarnation and version of the model of each listed engine, by endpoint id.
type ListedEngines = BTreeMap<CompactString, (u64, u64)>;

/// The state of the endpoint list that the controller was last informed of.
#[derive(Default)]
pub(super) struct Snapshot {
    /// Number of the last change of the list.
    change: Option<u64>,
    /// The engines that were assigned to the model.
    assigned: Vec<CompactString>,
    /// What the list showed of these engines.
    listed: ListedEngines,
}

/// The rollout of one model at one service.
pub(super) struct Rollout {
    pub(super) orders: Rc<Orders>,
    pub(super) service: CompactString,
    pub(super) model: CompactString,
    pub(super) duty: CompactString,
    /// Whether the service has other models, which share its load slots.
    pub(super) shares_slots: bool,
    pub(super) controller: RefCell<Controller>,
}

impl Rollout {
    fn held_lease(&self) -> Option<HeldLease> {
        self.orders.deps.duties.held_lease(&self.duty)
    }

    fn now(&self) -> Time {
        self.orders.deps.duties.now()
    }

    /// Informs the controller of the lease, the published version, and changes of the endpoint list.
    pub(super) fn update(self: &Rc<Self>, snapshot: &mut Snapshot) {
        let lease = self.lease();
        self.step(Event::Lease(lease));
        self.update_controller(snapshot);
    }

    /// Lets the controller issue orders and reads.
    pub(super) fn tick(self: &Rc<Self>) {
        self.step(Event::Tick);
    }

    /// The lease, if the gap after the last possible order of the previous holder has passed.
    fn lease(&self) -> Option<Lease> {
        let lease = self.held_lease()?;
        let may_order_from = self.orders.may_order_from(&self.service, &lease);
        self.publish_cooldown_ends(may_order_from);
        let cooled_down = self.now() >= may_order_from;
        if cooled_down {
            self.orders.note_cooldown_ended(&self.service, lease.fence);
        }
        cooled_down.then_some(Lease {
            fence: lease.fence,
            expires_at: lease.valid_until,
        })
    }

    /// Records in the lease when the cooldown ends: `own` is for the next process of this
    /// instance, and the gap after the last order for other instances.
    fn publish_cooldown_ends(&self, own: Time) {
        let last_order_at = self
            .orders
            .last_order_times
            .borrow()
            .get(&self.service)
            .copied();
        let others = last_order_at.map_or(own, |at| own.max(at + self.orders.min_gap()));
        self.orders
            .deps
            .duties
            .set_cooldown_ends(&self.duty, own, others);
    }

    /// Informs the controller of the published version and of changes of the endpoint list.
    fn update_controller(self: &Rc<Self>, snapshot: &mut Snapshot) {
        let published = self
            .orders
            .published_versions
            .borrow()
            .get(&self.model)
            .copied();
        if let Some(version) = published {
            self.step(Event::Published(Version(version)));
        }
        self.orders.update_assignment(&self.service);
        let assignment = self.orders.assignments.borrow();
        let Some(assignment) = assignment.get(&self.service) else {
            return;
        };
        let assigned = assignment.engines_of(&self.model);
        let change = self.orders.deps.endpoints.change_count();
        if snapshot.change == Some(change) && snapshot.assigned == assigned {
            return;
        }
        let mut listed = ListedEngines::new();
        for name in assigned {
            let previous = snapshot.listed.get(name).copied();
            if let Some(entry) = self.entry(name)
                && let Some(current) = self.update_engine(entry, previous)
            {
                listed.insert(name.clone(), current);
            }
        }
        for name in snapshot.listed.keys() {
            if !listed.contains_key(name) {
                self.step(Event::Unlisted { name: name.clone() });
            }
        }
        *snapshot = Snapshot {
            change: Some(change),
            assigned: assigned.to_vec(),
            listed,
        };
    }

    /// Informs the controller of what the list shows of an engine; `previous` is what it showed last.
    /// Returns what it shows now, or `None` if the engine does not serve the model.
    fn update_engine(
        self: &Rc<Self>,
        entry: Entry,
        mut previous: Option<(u64, u64)>,
    ) -> Option<(u64, u64)> {
        let version = entry.models.get(&self.model).copied()?;
        // A restarted engine has no orders, so the status from before the restart is void.
        if previous.is_some_and(|(incarnation, _)| incarnation != entry.incarnation) {
            previous = None;
            let name = entry.id.clone();
            self.step(Event::Unlisted { name });
        }
        self.step(Event::Listed {
            name: entry.id.clone(),
            zone: entry.zone,
            outstanding: 0,
            leaving: entry.draining,
        });
        // The list shows a new version as soon as the engine serves it; its status report is later.
        if previous.is_some_and(|(_, previous)| previous != version) {
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
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        let service = self.service.as_str();
        match action {
            Action::Read { name } => {
                let rollout = Rc::clone(self);
                actix_rt::spawn(async move { rollout.read_status(name).await });
            }
            Action::Order {
                name,
                version,
                fence,
            } => {
                let rollout = Rc::clone(self);
                actix_rt::spawn(async move { rollout.order_load(name, version, fence).await });
            }
            Action::Quarantined {
                name,
                failures,
                until,
            } => {
                let until = until.to_string();
                log::warn!(service, endpoint = name.as_str(), failures, until = until.as_str(); "engine quarantined after failed loads");
            }
            Action::UnexpectedVersion { name, version } => {
                log::warn!(service, endpoint = name.as_str(), version:serde = version; "engine serves an unexpected version");
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
        self.orders.deps.endpoints.entry(name)
    }

    async fn read_status(self: Rc<Self>, name: CompactString) {
        let report = match self.entry(&name) {
            Some(entry) => self.orders.read_status_report(&entry).await,
            None => Err(NoAnswer::Lost),
        };
        let event = match report {
            Ok(report) => Event::Observed {
                status: self.convert_report(&report),
                name,
            },
            Err(no_answer) => no_answer.into_event(name),
        };
        self.step(event);
    }

    fn convert_report(&self, report: &StatusReport) -> Status {
        let published = self
            .orders
            .published_versions
            .borrow()
            .get(&self.model)
            .copied();
        Status {
            incarnation: report.incarnation,
            version: report.models.get(&self.model).copied().map(Version),
            // The report does not say which version is loading; orders are for the newest one.
            loading: report
                .loading
                .then(|| Version(published.unwrap_or_default())),
            failed: false,
        }
    }

    async fn order_load(self: Rc<Self>, name: CompactString, version: Version, fence: u64) {
        let event = self.send_order(&name, version, fence).await;
        self.step(event.unwrap_or_else(|no_answer| no_answer.into_event(name)));
    }

    /// Orders an engine to load a version, after a read of the number of loads that it has accepted.
    async fn send_order(
        &self,
        name: &CompactString,
        version: Version,
        fence: u64,
    ) -> Result<Event, NoAnswer> {
        let entry = self.entry(name).ok_or(NoAnswer::Lost)?;
        let engine = self.orders.deps.adapter.engine;
        let before = match self.orders.read_status_report(&entry).await {
            // An engine that hangs would otherwise keep a load slot from the other models for the
            // whole load timeout.
            Err(NoAnswer::Lost) if self.shares_slots => {
                log::info!(
                    endpoint = name.as_str(),
                    model = self.model.as_str(),
                    version = version.0,
                    fence;
                    "load order not sent"
                );
                let metrics = &self.orders.deps.metrics;
                metrics.count(&metrics.orders, &["not sent"]);
                let name = name.clone();
                return Ok(Event::OrderNotSent { name, fence });
            }
            before => before?,
        };
        let needs_single_version = self.needs_single_version();
        let body = (engine.encode_load_request)(LoadRequest {
            model: &self.model,
            version: version.0,
            finish_running_first: needs_single_version,
            lease_holder: self.orders.deps.duties.instance(),
            fencing_token: fence,
            expected_accepted_loads: before.accepted_loads,
        });
        // The lease may have expired during the read.
        if self.held_lease().is_none_or(|lease| lease.fence != fence) {
            return Err(NoAnswer::Lost);
        }
        self.orders.note_order(&self.service);
        self.publish_cooldown_ends(Time::ZERO);
        let answer = self
            .orders
            .call_engine(&entry, Method::POST, engine.load_path, body);
        let outcome = answer.await;
        let outcome = outcome.map(|(status, _)| (engine.load_outcome)(status));
        log::info!(
            endpoint = name.as_str(),
            model = self.model.as_str(),
            version = version.0,
            fence,
            orders_before = before.accepted_loads,
            outcome:? = outcome;
            "load order sent"
        );
        let metrics = &self.orders.deps.metrics;
        metrics.count(
            &metrics.orders,
            &[outcome.map_or("no answer", LoadOutcome::as_str)],
        );
        let name = name.clone();
        let mut status = self.convert_report(&before);
        match outcome? {
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

    /// Whether a route to the service needs each sample from a single version.
    fn needs_single_version(&self) -> bool {
        let Some(table) = self.orders.deps.config.table() else {
            return false;
        };
        let mut routes = table.document().routes.iter();
        routes.any(|route| {
            let targets_service = route.targets.iter().any(|t| t.service == self.service);
            targets_service && route.single_version
        })
    }
}
