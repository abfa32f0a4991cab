//! State of the endpoints that this entry routes to.
//!
//! This module feeds the endpoint [`Set`] with the platform's list of instances, the engines' load
//! reports and the results of attempts. Routing reads the set ([`Endpoints::choose`]); each attempt
//! is counted by an [`AttemptGuard`].

use super::instances;
use crate::{
    controllers::config::Snapshot,
    engines,
    logging::{Decision, DecisionKind, RunnerUp},
    settings::Routing,
    state::{Shared, spawn},
    upstream::{ejected, probe},
};
use compact_str::CompactString;
use pinereel_api::object::{Instance, InstanceState};
use pinereel_core::{
    Time, Version,
    config::PoolKind,
    endpoint::{self, AttemptEnd, Change, ChangeKind, Event, Key, LoadReport, Set},
    hash, lot,
    route::{self, Choice, Policy, Refusal, Request},
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};

/// Interval between two checks for a changed configuration or membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two load reports of one engine.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Load reports per second of all polled engines together; with more engines, each is polled less
/// often.
const MAX_TOTAL_REPORTS_PER_SECOND: u32 = 64;
/// Timeout of a call for a load report.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the endpoints controller.
#[derive(Default)]
pub struct Endpoints {
    /// Load and health of the endpoints in this entry's subset.
    set: RefCell<Set>,
    policy: RefCell<Policy>,
    polled_engines: RefCell<BTreeSet<CompactString>>,
    /// The platform's list of instances.
    pub list: instances::InstanceList,
    /// Revision of the list that was last applied to the set.
    applied_revision: Cell<u64>,
    /// Notified whenever an endpoint without a free slot may have one.
    pub capacity_freed: Notify,
    /// Notified when an endpoint is ejected.
    ejected: Notify,
}

/// Counts an attempt as in flight at its endpoint until [`AttemptGuard::finish`]. If the guard is
/// dropped instead, the attempt counts as cancelled.
pub struct AttemptGuard {
    shared: Rc<Shared>,
    key: Key,
    tokens: u32,
    started: Time,
    /// Whether the attempt runs a sample, which takes no slot from live requests.
    is_sample: bool,
    is_finished: bool,
}

impl AttemptGuard {
    /// Records how the attempt ended.
    pub fn finish(mut self, end: AttemptEnd) {
        self.end(end);
    }

    fn count_attempt(&self, end: AttemptEnd) {
        let result = match end {
            AttemptEnd::Completed => "whole",
            AttemptEnd::Cancelled => "cancelled",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Overloaded => "overloaded",
            AttemptEnd::ConnectionRefused => "connection_refused",
            AttemptEnd::ConnectionTimeout => "connection_timeout",
            AttemptEnd::Leaving => "leaving",
        };
        let set = self.shared.endpoints.set();
        let Some(endpoint) = set.get(self.key) else {
            return;
        };
        let attempts = &self.shared.metrics.attempts;
        attempts
            .with_label_values(&[endpoint.pool.as_str(), result])
            .inc();
    }

    fn end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        if self.is_sample {
            let key = self.key;
            step(&self.shared, Event::Yielding { key, change: -1 });
        }
        let took = self.shared.now().since(self.started);
        self.count_attempt(end);
        let event = Event::Finished {
            key: self.key,
            tokens: self.tokens,
            took,
            end,
        };
        step(&self.shared, event);
        self.shared.endpoints.capacity_freed.notify_waiters();
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

impl Endpoints {
    /// Whether the platform's list has been read and applied since the start.
    pub fn is_list_read(&self) -> bool {
        self.applied_revision.get() > 0
    }

    /// Borrows the endpoints; the borrow must end before the next event is fed.
    pub fn set(&self) -> std::cell::Ref<'_, Set> {
        self.set.borrow()
    }

    /// Whether the newest revision of the platform's list has been applied to the set.
    pub fn is_synced(&self) -> bool {
        self.applied_revision.get() > 0 && self.applied_revision.get() == self.list.revision()
    }

    /// Chooses an endpoint for a request, without counting an attempt there.
    pub fn choose(&self, shared: &Shared, request: &Request<'_>) -> Result<Choice, Refusal> {
        route::choose(
            &self.set.borrow(),
            request,
            shared.now(),
            &self.policy.borrow(),
        )
    }
}

/// Starts to count an attempt at an endpoint.
pub fn start_attempt(shared: &Rc<Shared>, key: Key, tokens: u32) -> AttemptGuard {
    step(shared, Event::Started { key, tokens });
    AttemptGuard {
        shared: Rc::clone(shared),
        key,
        tokens,
        started: shared.now(),
        is_sample: false,
        is_finished: false,
    }
}

/// Starts to count an attempt of a sample, which takes no slot from live requests.
pub fn start_sample_attempt(shared: &Rc<Shared>, key: Key, tokens: u32) -> AttemptGuard {
    let mut guard = start_attempt(shared, key, tokens);
    step(shared, Event::Yielding { key, change: 1 });
    guard.is_sample = true;
    guard
}

/// Logs a routing decision with its runners-up.
pub fn log_choice(
    shared: &Shared,
    request: &str,
    kind: DecisionKind,
    choice: &Choice,
    config: u64,
) {
    shared.metrics.count_decision(kind);
    if !shared.settings.log.decisions {
        return;
    }
    let now = shared.now();
    let set = shared.endpoints.set();
    let describe = |key: Key| set.get(key).map(|e| (e.name.as_str(), e.load(now)));
    let others: Vec<_> = choice
        .runners_up
        .iter()
        .filter_map(|key| describe(*key))
        .collect();
    let runners_up: Vec<_> = others
        .iter()
        .map(|(name, cost)| RunnerUp {
            name,
            cost: *cost,
            reason: "cost",
        })
        .collect();
    let chosen = describe(choice.key);
    let reason = serde_json::to_value(choice.reason).unwrap_or_default();
    Decision {
        entry: shared.name(),
        request,
        kind,
        chosen: chosen.map(|(name, _)| name),
        cost: chosen.map(|(_, cost)| cost),
        reason: reason.as_str().unwrap_or_default(),
        runners_up: &runners_up,
        config,
    }
    .emit();
}

/// Feeds an event to the set and logs the resulting changes.
pub fn step(shared: &Shared, event: Event) {
    let now = shared.now();
    let changes = shared.endpoints.set.borrow_mut().step(now, event);
    for change in changes {
        if matches!(change.kind, ChangeKind::Ejected { .. }) {
            shared.endpoints.ejected.notify_one();
        }
        log_change(shared, &change);
    }
}

fn log_change(shared: &Shared, change: &Change) {
    let reason = serde_json::to_string(&change.kind).unwrap_or_default();
    shared.log_decision(
        DecisionKind::Eject,
        &change.name,
        Some(&change.name),
        &reason,
    );
    shared.endpoints.capacity_freed.notify_waiters();
}

/// Starts the controller's tasks: one follows the platform's list, one applies it to the set.
pub fn start(shared: &Rc<Shared>) {
    shared.endpoints.policy.replace(routing_policy(shared));
    spawn(shared, async |shared: Rc<Shared>| {
        instances::follow_list(&shared).await;
    });
    spawn(shared, async |shared: Rc<Shared>| sync_set(&shared).await);
    spawn(shared, async |shared: Rc<Shared>| {
        probe_ejected(&shared).await;
    });
}

/// Probes ejected endpoints when that is due. Never ends.
async fn probe_ejected(shared: &Shared) {
    let Endpoints { set, ejected, .. } = &shared.endpoints;
    let reaches = async |address: CompactString| probe::has_listener(&address).await;
    let apply = |event| step(shared, event);
    ejected::probe_ejected(set, ejected, || shared.now(), reaches, apply).await;
}

/// Updates the set whenever the platform's list, the configuration or the membership changes.
async fn sync_set(shared: &Rc<Shared>) {
    let mut last_inputs = None;
    loop {
        let entries = instances::LiveEntries::of(shared);
        let revision = shared.endpoints.list.revision();
        if let Some(snapshot) = shared.config.snapshot()
            && revision > 0
        {
            let inputs = (revision, snapshot.number, entries);
            if last_inputs.as_ref() != Some(&inputs) {
                apply_list(shared, &snapshot, &inputs.2);
                shared.endpoints.applied_revision.set(revision);
                last_inputs = Some(inputs);
            }
        }
        tokio::select! {
            () = shared.endpoints.list.changed.notified() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn routing_policy(shared: &Shared) -> Policy {
    let settings = &shared.settings.policy;
    if settings.routing == Routing::Baseline {
        return Policy::BASELINE;
    }
    Policy {
        affinity: settings.prefix_affinity,
        zone_local: settings.zone_local,
        ..Policy::FULL
    }
}

fn apply_list(shared: &Rc<Shared>, snapshot: &Snapshot, entries: &instances::LiveEntries) {
    let subset: BTreeMap<_, _> = {
        let names = instances::subset_names(shared, entries);
        let listed = shared.endpoints.list.endpoints();
        let found = names.into_iter().map(|name| {
            let instance = listed[&name].clone();
            (name, instance)
        });
        found.collect()
    };
    let unlisted: Vec<_> = {
        let set = shared.endpoints.set();
        let names = set.iter().map(|(_, e)| e.name.clone());
        names.filter(|name| !subset.contains_key(name)).collect()
    };
    for name in unlisted {
        step(shared, Event::Unlisted { name });
    }
    for (name, instance) in subset {
        let pool = snapshot.document.pools.get(&instance.pool);
        let slots = pool.map_or(1, |pool| pool.slots);
        let is_engine = pool.is_some_and(|pool| pool.kind == PoolKind::Engine);
        step(shared, Event::Listed(listing(&name, instance, slots)));
        if is_engine
            && shared
                .endpoints
                .polled_engines
                .borrow_mut()
                .insert(name.clone())
        {
            spawn(shared, async move |shared| poll_engine(&shared, name).await);
        }
    }
}

fn listing(name: &CompactString, instance: Instance, slots: u32) -> endpoint::Listing {
    endpoint::Listing {
        name: name.clone(),
        incarnation: instance.incarnation,
        address: instance.address,
        zone: instance.zone,
        pool: instance.pool,
        slots,
        leaving: instance.state == InstanceState::Leaving,
    }
}

/// Polls one engine for load reports until it leaves the set.
async fn poll_engine(shared: &Rc<Shared>, name: CompactString) {
    // The first interval is shortened to a fraction that depends on the engine's name, so that
    // engines that are listed together are polled at different times from then on.
    let mut interval_fraction =
        f64::from(hash::stable(name.as_bytes()) as u32) / f64::from(u32::MAX);
    loop {
        let engine = shared
            .endpoints
            .set()
            .find(&name)
            .map(|(key, e)| (key, e.address.clone()));
        let Some((key, address)) = engine else { break };
        let state = engines::state(&shared.http, &address, LOAD_REPORT_TIMEOUT).await;
        if let Ok(state) = state {
            let report = LoadReport {
                at: Time(shared.now().0.saturating_sub(state.lag_ms * 1_000)),
                running: state.running,
                waiting: state.waiting,
                version: state.version,
                loading: state.loading,
                leaving: state.leaving,
            };
            let incarnation = state.incarnation;
            step(
                shared,
                Event::Reported {
                    incarnation,
                    key,
                    report,
                },
            );
        }
        send_offer(shared, &name);
        sleep(report_interval(shared).mul_f64(interval_fraction)).await;
        interval_fraction = 1.0;
    }
    shared.endpoints.polled_engines.borrow_mut().remove(&name);
    withdraw_offer(shared, name);
}

/// Interval between two load reports of one engine, so that all together keep within
/// [`MAX_TOTAL_REPORTS_PER_SECOND`].
fn report_interval(shared: &Shared) -> Duration {
    let engines = shared.endpoints.polled_engines.borrow().len();
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let pause = Duration::from_secs(1) / MAX_TOTAL_REPORTS_PER_SECOND * engines;
    pause.max(MIN_REPORT_INTERVAL)
}

/// Tells the lots' runner that an engine has left the set. An engine that is still listed has moved
/// to another entry's subset: it is offered without slots, and its attempts may finish.
fn withdraw_offer(shared: &Rc<Shared>, name: CompactString) {
    let listed = shared.endpoints.list.endpoints().contains_key(&name);
    let event = if listed {
        lot::Event::Offer(lot::Offer {
            endpoint: name,
            model: CompactString::default(),
            version: Version::default(),
            slots: 0,
        })
    } else {
        lot::Event::EndpointLost { endpoint: name }
    };
    crate::controllers::lots::step(shared, event);
}

/// Tells the lots' runner an engine's model, version and concurrency limit.
fn send_offer(shared: &Rc<Shared>, name: &CompactString) {
    let Some(snapshot) = shared.config.snapshot() else {
        return;
    };
    let offer = {
        let set = shared.endpoints.set();
        let Some((_, endpoint)) = set.find(name) else {
            return;
        };
        let Some(pool) = snapshot.document.pools.get(&endpoint.pool) else {
            return;
        };
        let (Some(model), Some(version)) = (pool.model.clone(), endpoint.version) else {
            return;
        };
        let live = endpoint.state == endpoint::State::Live;
        lot::Offer {
            endpoint: name.clone(),
            model,
            version,
            slots: if live { endpoint.limit() } else { 0 },
        }
    };
    crate::controllers::lots::step(shared, lot::Event::Offer(offer));
}
