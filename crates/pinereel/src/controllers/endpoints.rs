//! The endpoints that this entry routes to: the platform's list, load reports, what attempts show.

use super::instances;
use crate::{
    controllers::config::Pin,
    engines,
    logging::{Decision, DecisionKind, RunnerUp},
    settings::Routing,
    state::{Shared, spawn},
};
use compact_str::CompactString;
use pinereel_api::object::{Instance, Presence};
use pinereel_core::{
    Time, Version,
    config::PoolKind,
    endpoint::{self, AttemptEnd, Change, Event, Key, LoadReport, Set},
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

/// Pause between looks whether the configuration or the entries have changed.
const LOOK: Duration = Duration::from_millis(500);
/// Shortest pause between load reports of one engine.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Load reports a second of all engines together; more engines report less often.
const REPORTS_PER_SECOND: u32 = 64;
/// Longest wait for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The controller's state.
#[derive(Default)]
pub struct Endpoints {
    set: RefCell<Set>,
    policy: RefCell<Policy>,
    polled: RefCell<BTreeSet<CompactString>>,
    /// The platform's list.
    pub list: instances::List,
    /// Revision of the list that the set is in line with.
    applied: Cell<u64>,
    /// Told whenever an endpoint may have room that had none.
    pub room: Notify,
}

/// An attempt counted at its endpoint until it is finished or dropped.
pub struct Ticket {
    shared: Rc<Shared>,
    key: Key,
    tokens: u32,
    started: Time,
    /// Whether it is a sample's, behind which no live request waits.
    yields: bool,
    done: bool,
}

impl Ticket {
    /// Notes how the attempt ended.
    pub fn finish(mut self, end: AttemptEnd) {
        self.end(end);
    }

    fn count(&self, end: AttemptEnd) {
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
        if std::mem::replace(&mut self.done, true) {
            return;
        }
        if self.yields {
            let key = self.key;
            step(&self.shared, Event::Yielding { key, change: -1 });
        }
        let took = self.shared.now().since(self.started);
        self.count(end);
        let event = Event::Finished {
            key: self.key,
            tokens: self.tokens,
            took,
            end,
        };
        step(&self.shared, event);
        self.shared.endpoints.room.notify_waiters();
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

impl Endpoints {
    /// Whether the platform's list was read since the start.
    pub fn are_listed(&self) -> bool {
        self.applied.get() > 0
    }

    /// The endpoints, to look at.
    pub fn set(&self) -> std::cell::Ref<'_, Set> {
        self.set.borrow()
    }

    /// Whether the set is in line with all that the platform's list says.
    pub fn settled(&self) -> bool {
        self.applied.get() > 0 && self.applied.get() == self.list.revision()
    }

    /// Chooses an endpoint; changes nothing.
    pub fn choose(&self, shared: &Shared, request: &Request<'_>) -> Result<Choice, Refusal> {
        route::choose(
            &self.set.borrow(),
            request,
            shared.now(),
            &self.policy.borrow(),
        )
    }
}

/// Counts an attempt at an endpoint from now on.
pub fn begin(shared: &Rc<Shared>, key: Key, tokens: u32) -> Ticket {
    step(shared, Event::Started { key, tokens });
    Ticket {
        shared: Rc::clone(shared),
        key,
        tokens,
        started: shared.now(),
        yields: false,
        done: false,
    }
}

/// Counts an attempt of a sample, which takes no room from live requests.
pub fn begin_sample(shared: &Rc<Shared>, key: Key, tokens: u32) -> Ticket {
    let mut ticket = begin(shared, key, tokens);
    step(shared, Event::Yielding { key, change: 1 });
    ticket.yields = true;
    ticket
}

/// Logs a routing decision with its runners-up.
pub fn log_choice(
    shared: &Shared,
    request: &str,
    what: DecisionKind,
    choice: &Choice,
    config: u64,
) {
    shared.metrics.decide(what);
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
        kind: what,
        chosen: chosen.map(|(name, _)| name),
        cost: chosen.map(|(_, cost)| cost),
        reason: reason.as_str().unwrap_or_default(),
        runners_up: &runners_up,
        config,
    }
    .emit();
}

/// Takes in an event and logs what changed.
pub fn step(shared: &Shared, event: Event) {
    let now = shared.now();
    let changes = shared.endpoints.set.borrow_mut().step(now, event);
    for change in changes {
        note(shared, &change);
    }
}

fn note(shared: &Shared, change: &Change) {
    let what = serde_json::to_string(&change.kind).unwrap_or_default();
    shared.decide(DecisionKind::Eject, &change.name, Some(&change.name), &what);
    shared.endpoints.room.notify_waiters();
}

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    shared.endpoints.policy.replace(policy(shared));
    spawn(shared, async |shared: Rc<Shared>| {
        instances::run(&shared).await;
    });
    spawn(shared, async |shared: Rc<Shared>| keep(&shared).await);
}

/// Brings the set in line whenever the platform's list, the configuration or the entries change.
async fn keep(shared: &Rc<Shared>) {
    let mut last = None;
    loop {
        let entries = instances::Entries::of(shared);
        let revision = shared.endpoints.list.revision();
        if let Some(pin) = shared.config.pin()
            && revision > 0
        {
            let basis = (revision, pin.number, entries);
            if last.as_ref() != Some(&basis) {
                apply(shared, &pin, &basis.2);
                shared.endpoints.applied.set(revision);
                last = Some(basis);
            }
        }
        tokio::select! {
            () = shared.endpoints.list.changed.notified() => {}
            () = sleep(LOOK) => {}
        }
    }
}

fn policy(shared: &Shared) -> Policy {
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

fn apply(shared: &Rc<Shared>, pin: &Pin, entries: &instances::Entries) {
    let held: BTreeMap<_, _> = {
        let names = instances::held(shared, entries);
        let listed = shared.endpoints.list.endpoints();
        let found = names.into_iter().map(|name| {
            let instance = listed[&name].clone();
            (name, instance)
        });
        found.collect()
    };
    let gone: Vec<_> = {
        let set = shared.endpoints.set();
        let names = set.iter().map(|(_, e)| e.name.clone());
        names.filter(|name| !held.contains_key(name)).collect()
    };
    for name in gone {
        step(shared, Event::Unlisted { name });
    }
    for (name, instance) in held {
        let pool = pin.document.pools.get(&instance.pool);
        let slots = pool.map_or(1, |pool| pool.slots);
        let engine = pool.is_some_and(|pool| pool.kind == PoolKind::Engine);
        step(shared, Event::Listed(listing(&name, instance, slots)));
        if engine && shared.endpoints.polled.borrow_mut().insert(name.clone()) {
            spawn(shared, async move |shared| poll(&shared, name).await);
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
        leaving: instance.state == Presence::Leaving,
    }
}

/// Reads one engine's state until it is no more listed.
async fn poll(shared: &Rc<Shared>, name: CompactString) {
    // Engines that were listed together are asked one after the other from the second time on.
    let mut spread = f64::from(hash::stable(name.as_bytes()) as u32) / f64::from(u32::MAX);
    loop {
        let found = shared
            .endpoints
            .set()
            .find(&name)
            .map(|(key, e)| (key, e.address.clone()));
        let Some((key, address)) = found else { break };
        let read = engines::state(&shared.http, &address, REPORT_TIMEOUT).await;
        if let Ok(state) = read {
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
        offer(shared, &name);
        sleep(report_pause(shared).mul_f64(spread)).await;
        spread = 1.0;
    }
    shared.endpoints.polled.borrow_mut().remove(&name);
    withdraw(shared, name);
}

/// Pause between load reports of one engine, so that all together keep their rate.
fn report_pause(shared: &Shared) -> Duration {
    let engines = shared.endpoints.polled.borrow().len();
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let pause = Duration::from_secs(1) / REPORTS_PER_SECOND * engines;
    pause.max(REPORT_PAUSE)
}

/// Tells the lots' runner that an engine is no more in the set. What runs on one that is still
/// listed, but went to another entry's subset, may end there.
fn withdraw(shared: &Rc<Shared>, name: CompactString) {
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

/// Tells the lots' runner what an engine has to offer.
fn offer(shared: &Rc<Shared>, name: &CompactString) {
    let Some(pin) = shared.config.pin() else {
        return;
    };
    let offer = {
        let set = shared.endpoints.set();
        let Some((_, endpoint)) = set.find(name) else {
            return;
        };
        let Some(pool) = pin.document.pools.get(&endpoint.pool) else {
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
