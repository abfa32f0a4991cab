//! Rollout of new weight versions to the engines of each pool.
//!
//! Every entry runs a [`Controller`] for each pool of engines, but only the holder of the pool's
//! lease feeds it with events and sends its orders, which carry the lease's fencing token.

use super::leases;
use crate::{
    engines::{self, Error},
    logging::DecisionKind,
    state::{Shared, spawn},
};
use compact_str::{CompactString, format_compact};
use pinereel_api::{
    engine::{self, Order},
    object::InstanceState,
};
use pinereel_core::{
    config::PoolKind,
    endpoint::{Endpoint, State},
    rollout::{Action, Controller, Event, Lease, Settings, Status},
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Interval between two updates and ticks of a pool's controller.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks for new pools in the configuration.
const POOL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to an engine.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the rollout controller.
#[derive(Default)]
pub struct Rollout {
    controllers: RefCell<BTreeMap<CompactString, Controller>>,
}

/// Starts the task that joins the rollout of new pools.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            join_new_pools(&shared);
            sleep(POOL_CHECK_INTERVAL).await;
        }
    });
}

/// Becomes a candidate for the rollout lease of each pool of engines that is new.
fn join_new_pools(shared: &Rc<Shared>) {
    let Some(snapshot) = shared.config.snapshot() else {
        return;
    };
    for (name, pool) in &snapshot.document.pools {
        let is_joined = shared.rollout.controllers.borrow().contains_key(name);
        if is_joined || pool.kind != PoolKind::Engine {
            continue;
        }
        let settings = Settings {
            min_serving_share: pool.floor,
            max_loads: pool.loads as usize,
            ..Settings::default()
        };
        let controller = Controller::new(settings);
        shared
            .rollout
            .controllers
            .borrow_mut()
            .insert(name.clone(), controller);
        leases::join(shared, &duty_of(name));
        let name = name.clone();
        spawn(shared, async move |shared| run(&shared, &name).await);
    }
}

fn duty_of(pool: &str) -> CompactString {
    format_compact!("rollout-{pool}")
}

async fn run(shared: &Rc<Shared>, pool: &CompactString) {
    let duty = duty_of(pool);
    let mut listed_names = BTreeSet::new();
    let mut was_held = false;
    loop {
        let lease = shared.leases.held(&duty, shared.now());
        let lease = lease.map(|(fence, expires_at)| Lease { fence, expires_at });
        if lease.is_some() || was_held {
            // The controller also gets the events once after the lease is lost, so that it stops.
            step(shared, pool, Event::Lease(lease));
            feed_pool_state(shared, pool, &mut listed_names);
            step(shared, pool, Event::Tick);
        }
        was_held = lease.is_some();
        sleep(TICK_INTERVAL).await;
    }
}

/// Feeds the pool's published version and engines to its controller.
fn feed_pool_state(
    shared: &Rc<Shared>,
    pool: &CompactString,
    listed_names: &mut BTreeSet<CompactString>,
) {
    let Some(snapshot) = shared.config.snapshot() else {
        return;
    };
    let model = snapshot
        .document
        .pools
        .get(pool)
        .and_then(|pool| pool.model.clone());
    let Some(model) = model else { return };
    if let Some(version) = shared.lots.versions().get(&model) {
        step(shared, pool, Event::Published(*version));
    }
    let subset_events: Vec<_> = {
        let set = shared.endpoints.set();
        set.pool(pool)
            .map(|(_, engine)| engine_events(engine))
            .collect()
    };
    let mut names = BTreeSet::new();
    for [listed, report] in subset_events {
        if let Event::Listed { name, .. } = &listed {
            names.insert(name.clone());
        }
        step(shared, pool, listed);
        step(shared, pool, report);
    }
    for event in events_outside_subset(shared, pool, &names) {
        if let Event::Listed { name, .. } = &event {
            names.insert(name.clone());
        }
        step(shared, pool, event);
    }
    for name in listed_names.difference(&names) {
        step(shared, pool, Event::Unlisted { name: name.clone() });
    }
    *listed_names = names;
}

/// Events with an engine's listing and its last load report.
fn engine_events(engine: &Endpoint) -> [Event; 2] {
    let listed = Event::Listed {
        name: engine.name.clone(),
        zone: engine.zone.clone(),
        outstanding: engine.outstanding,
        leaving: engine.state == State::Leaving,
    };
    let report = Event::Reported {
        name: engine.name.clone(),
        version: engine.version,
        loading: engine.loading,
    };
    [listed, report]
}

/// Events for the engines of the pool that are listed, but outside this entry's subset.
fn events_outside_subset(
    shared: &Shared,
    pool: &str,
    in_subset: &BTreeSet<CompactString>,
) -> Vec<Event> {
    let listed = shared.endpoints.list.endpoints();
    let others = listed
        .iter()
        .filter(|(name, instance)| instance.pool == pool && !in_subset.contains(*name));
    let events = others.map(|(name, instance)| Event::Listed {
        name: name.clone(),
        zone: instance.zone.clone(),
        outstanding: 0,
        leaving: instance.state == InstanceState::Leaving,
    });
    events.collect()
}

fn step(shared: &Rc<Shared>, pool: &CompactString, event: Event) {
    let actions = {
        let mut controllers = shared.rollout.controllers.borrow_mut();
        let Some(controller) = controllers.get_mut(pool) else {
            return;
        };
        controller.step(shared.now(), event)
    };
    for action in actions {
        execute(shared, pool, action);
    }
}

fn execute(shared: &Rc<Shared>, pool: &CompactString, action: Action) {
    match action {
        Action::Read { name } => {
            let pool = pool.clone();
            spawn(shared, async move |shared| read(&shared, &pool, name).await);
        }
        Action::Order {
            name,
            version,
            fence,
        } => {
            let reason = format_compact!("{version} under fence {fence}");
            shared.log_decision(DecisionKind::Load, pool, Some(&name), &reason);
            let pool = pool.clone();
            spawn(shared, async move |shared| {
                let event = send_order(&shared, &pool, &name, version, fence).await;
                step(&shared, &pool, event);
            });
        }
        other => {
            let reason = serde_json::to_string(&other).unwrap_or_default();
            shared.log_decision(DecisionKind::Load, pool, None, &reason);
        }
    }
}

async fn read(shared: &Rc<Shared>, pool: &CompactString, name: CompactString) {
    let event = match engine_address(shared, &name) {
        Some(address) => match engines::state(&shared.http, &address, ENGINE_CALL_TIMEOUT).await {
            Ok(state) => Event::Observed {
                status: engine_status(&state),
                name,
            },
            Err(error) => failure_event(name, &error),
        },
        None => Event::NoAnswer { name },
    };
    step(shared, pool, event);
}

async fn send_order(
    shared: &Shared,
    pool: &str,
    name: &CompactString,
    version: pinereel_core::Version,
    fence: u64,
) -> Event {
    let name = name.clone();
    let model = shared
        .config
        .snapshot()
        .and_then(|snapshot| snapshot.document.pools.get(pool)?.model.clone());
    // The lease is checked again right before the order is sent: the process may have been paused.
    let held = shared.leases.held(&duty_of(pool), shared.now());
    let (Some(model), Some(address), true) = (
        model,
        engine_address(shared, &name),
        held.map(|(f, _)| f) == Some(fence),
    ) else {
        return Event::NoAnswer { name };
    };
    let order = Order {
        fence,
        model,
        version,
    };
    match engines::order(&shared.http, &address, &order, ENGINE_CALL_TIMEOUT).await {
        Ok(state) => Event::Accepted {
            status: engine_status(&state),
            name,
            fence,
        },
        Err(Error::Fenced) => Event::Fenced { name, fence },
        Err(error) => failure_event(name, &error),
    }
}

/// Event for a call that failed: the engine is unreachable, or whether it acted is unknown.
fn failure_event(name: CompactString, error: &Error) -> Event {
    match error {
        Error::NotOpened(_) => Event::Unreachable { name },
        _ => Event::NoAnswer { name },
    }
}

fn engine_address(shared: &Shared, name: &str) -> Option<CompactString> {
    let set = shared.endpoints.set();
    if let Some((_, engine)) = set.find(name) {
        return Some(engine.address.clone());
    }
    let listed = shared.endpoints.list.endpoints();
    listed.get(name).map(|instance| instance.address.clone())
}

fn engine_status(state: &engine::State) -> Status {
    Status {
        incarnation: state.incarnation,
        version: state.version,
        loading: state.loading,
        failed: state.failed.is_some(),
    }
}
