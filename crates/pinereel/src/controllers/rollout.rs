//! Weight rollout of each pool of engines, by the holder of the pool's lease.

use super::leases;
use crate::{
    engines::{self, Error},
    logging::DecisionKind,
    state::{Shared, spawn},
};
use compact_str::{CompactString, format_compact};
use pinereel_api::{
    engine::{self, Order},
    object::Presence,
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

/// Pause between ticks.
const TICK: Duration = Duration::from_millis(50);
/// Pause between looks for pools that are new in the configuration.
const LOOK: Duration = Duration::from_millis(500);
/// Longest wait for an engine's answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The controller's state.
#[derive(Default)]
pub struct Rollout {
    pools: RefCell<BTreeMap<CompactString, Controller>>,
}

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        loop {
            look(&shared);
            sleep(LOOK).await;
        }
    });
}

/// Takes part in the rollout of each pool of engines.
fn look(shared: &Rc<Shared>) {
    let Some(pin) = shared.config.pin() else {
        return;
    };
    for (name, pool) in &pin.document.pools {
        let known = shared.rollout.pools.borrow().contains_key(name);
        if known || pool.kind != PoolKind::Engine {
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
            .pools
            .borrow_mut()
            .insert(name.clone(), controller);
        leases::join(shared, &duty(name));
        let name = name.clone();
        spawn(shared, async move |shared| run(&shared, &name).await);
    }
}

fn duty(pool: &str) -> CompactString {
    format_compact!("rollout-{pool}")
}

async fn run(shared: &Rc<Shared>, pool: &CompactString) {
    let duty = duty(pool);
    let mut listed = BTreeSet::new();
    let mut held = false;
    loop {
        let lease = shared.leases.held(&duty, shared.now());
        let lease = lease.map(|(fence, expires_at)| Lease { fence, expires_at });
        if lease.is_some() || held {
            // Also once without a lease, so that the controller stops.
            step(shared, pool, Event::Lease(lease));
            inform(shared, pool, &mut listed);
            step(shared, pool, Event::Tick);
        }
        held = lease.is_some();
        sleep(TICK).await;
    }
}

/// Tells the controller what is known of the pool.
fn inform(shared: &Rc<Shared>, pool: &CompactString, listed: &mut BTreeSet<CompactString>) {
    let Some(pin) = shared.config.pin() else {
        return;
    };
    let model = pin
        .document
        .pools
        .get(pool)
        .and_then(|pool| pool.model.clone());
    let Some(model) = model else { return };
    if let Some(version) = shared.lots.versions().get(&model) {
        step(shared, pool, Event::Published(*version));
    }
    let present: Vec<_> = {
        let set = shared.endpoints.set();
        set.pool(pool).map(|(_, engine)| told(engine)).collect()
    };
    let mut names = BTreeSet::new();
    for [is_listed, report] in present {
        if let Event::Listed { name, .. } = &is_listed {
            names.insert(name.clone());
        }
        step(shared, pool, is_listed);
        step(shared, pool, report);
    }
    for event in beyond(shared, pool, &names) {
        if let Event::Listed { name, .. } = &event {
            names.insert(name.clone());
        }
        step(shared, pool, event);
    }
    for name in listed.difference(&names) {
        step(shared, pool, Event::Unlisted { name: name.clone() });
    }
    *listed = names;
}

/// What the platform's list and its load reports say of an engine.
fn told(engine: &Endpoint) -> [Event; 2] {
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

/// Engines of the pool that are listed, but belong to the subsets of other entries alone.
fn beyond(shared: &Shared, pool: &str, held: &BTreeSet<CompactString>) -> Vec<Event> {
    let listed = shared.endpoints.list.endpoints();
    let others = listed
        .iter()
        .filter(|(name, instance)| instance.pool == pool && !held.contains(*name));
    let events = others.map(|(name, instance)| Event::Listed {
        name: name.clone(),
        zone: instance.zone.clone(),
        outstanding: 0,
        leaving: instance.state == Presence::Leaving,
    });
    events.collect()
}

fn step(shared: &Rc<Shared>, pool: &CompactString, event: Event) {
    let actions = {
        let mut pools = shared.rollout.pools.borrow_mut();
        let Some(controller) = pools.get_mut(pool) else {
            return;
        };
        controller.step(shared.now(), event)
    };
    for action in actions {
        act(shared, pool, action);
    }
}

fn act(shared: &Rc<Shared>, pool: &CompactString, action: Action) {
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
            shared.decide(DecisionKind::Load, pool, Some(&name), &reason);
            let pool = pool.clone();
            spawn(shared, async move |shared| {
                let event = order(&shared, &pool, &name, version, fence).await;
                step(&shared, &pool, event);
            });
        }
        other => {
            let reason = serde_json::to_string(&other).unwrap_or_default();
            shared.decide(DecisionKind::Load, pool, None, &reason);
        }
    }
}

async fn read(shared: &Rc<Shared>, pool: &CompactString, name: CompactString) {
    let event = match address(shared, &name) {
        Some(address) => match engines::state(&shared.http, &address, TIMEOUT).await {
            Ok(state) => Event::Observed {
                status: status(&state),
                name,
            },
            Err(error) => failed(name, &error),
        },
        None => Event::NoAnswer { name },
    };
    step(shared, pool, event);
}

async fn order(
    shared: &Shared,
    pool: &str,
    name: &CompactString,
    version: pinereel_core::Version,
    fence: u64,
) -> Event {
    let name = name.clone();
    let model = shared
        .config
        .pin()
        .and_then(|pin| pin.document.pools.get(pool)?.model.clone());
    // Asked again right before acting: the process may have been paused since the decision.
    let held = shared.leases.held(&duty(pool), shared.now());
    let (Some(model), Some(address), true) = (
        model,
        address(shared, &name),
        held.map(|(f, _)| f) == Some(fence),
    ) else {
        return Event::NoAnswer { name };
    };
    let order = Order {
        fence,
        model,
        version,
    };
    match engines::order(&shared.http, &address, &order, TIMEOUT).await {
        Ok(state) => Event::Accepted {
            status: status(&state),
            name,
            fence,
        },
        Err(Error::Fenced) => Event::Fenced { name, fence },
        Err(error) => failed(name, &error),
    }
}

/// What a call without an answer says of its engine.
fn failed(name: CompactString, error: &Error) -> Event {
    match error {
        Error::NotOpened(_) => Event::Unreachable { name },
        _ => Event::NoAnswer { name },
    }
}

fn address(shared: &Shared, name: &str) -> Option<CompactString> {
    let held = shared.endpoints.set();
    if let Some((_, engine)) = held.find(name) {
        return Some(engine.address.clone());
    }
    let listed = shared.endpoints.list.endpoints();
    listed.get(name).map(|instance| instance.address.clone())
}

fn status(state: &engine::State) -> Status {
    Status {
        incarnation: state.incarnation,
        version: state.version,
        loading: state.loading,
        failed: state.failed.is_some(),
    }
}
