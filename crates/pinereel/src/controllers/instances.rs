//! The platform's list of instances, and this entry's subset of the listed endpoints.
//!
//! An entry knows all listed instances, since the holder of a rollout's lease needs them, but keeps
//! state, connections and load reports only for its subset of each pool.

use super::{
    follow::{Update, follow},
    members,
};
use crate::{objects::Purpose, state::Shared};
use compact_str::CompactString;
use pinereel_api::object::{INSTANCES, Instance, Object};
use pinereel_core::{
    endpoint::subset::{self, Cover, Entry},
    member::State,
};
use serde_json::Value;
use std::{
    cell::{Cell, Ref, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::sync::Notify;

/// Pool name of the entries themselves in the platform's list.
const ENTRY_POOL: &str = "entry";

/// The platform's list as last received.
#[derive(Debug, Default)]
pub struct InstanceList {
    endpoints: RefCell<BTreeMap<CompactString, Instance>>,
    entries: RefCell<BTreeMap<CompactString, Instance>>,
    /// Number of updates with changes; 0 before the list was read.
    revision: Cell<u64>,
    /// Notified whenever the list changes.
    pub(super) changed: Notify,
}

impl InstanceList {
    /// All listed endpoints by name, in this entry's subset or not.
    pub fn endpoints(&self) -> Ref<'_, BTreeMap<CompactString, Instance>> {
        self.endpoints.borrow()
    }

    /// Revision of the list, which rises with each change; 0 before the list was read.
    pub const fn revision(&self) -> u64 {
        self.revision.get()
    }

    fn set(&self, name: CompactString, value: Option<Value>) {
        self.endpoints.borrow_mut().remove(&name);
        self.entries.borrow_mut().remove(&name);
        let Some(value) = value else { return };
        match serde_json::from_value::<Instance>(value) {
            Ok(instance) if instance.pool == ENTRY_POOL => {
                self.entries.borrow_mut().insert(name, instance);
            }
            Ok(instance) => {
                self.endpoints.borrow_mut().insert(name, instance);
            }
            Err(e) => log::error!("instances: {name} cannot be parsed: {e}"),
        }
    }

    fn replace(&self, objects: Vec<Object>) {
        self.endpoints.borrow_mut().clear();
        self.entries.borrow_mut().clear();
        for object in objects {
            self.set(object.name, Some(object.value));
        }
    }
}

/// Follows the platform's list; never returns.
pub(super) async fn follow_list(shared: &Rc<Shared>) {
    follow(shared, Purpose::Instances, INSTANCES, apply_update).await;
}

fn apply_update(shared: &Rc<Shared>, update: Update) {
    let list = &shared.endpoints.list;
    let changed = !matches!(&update, Update::Changes(changes) if changes.is_empty());
    match update {
        Update::All(objects) => list.replace(objects),
        Update::Changes(changes) => {
            for change in changes {
                list.set(change.name, change.value);
            }
        }
    }
    // Called even if nothing has changed, since the answer confirms that the list is current.
    members::apply_platform_list(shared, &list.entries.borrow());
    if changed {
        list.revision.set(list.revision.get() + 1);
        list.changed.notify_one();
    }
}

/// Live entries by name, with their availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LiveEntries(BTreeMap<CompactString, CompactString>);

impl LiveEntries {
    /// The live entries of this entry's membership view, itself included.
    pub(super) fn of(shared: &Shared) -> Self {
        let view = shared.members.view();
        let live = view
            .members()
            .iter()
            .filter(|(_, e)| e.state == State::Live);
        let mut zones: BTreeMap<_, _> = live
            .map(|(name, e)| (name.clone(), e.object.zone.clone()))
            .collect();
        zones.insert(shared.name().clone(), shared.zone().clone());
        Self(zones)
    }
}

/// Names of the endpoints in this entry's subset.
pub(super) fn subset_names(shared: &Shared, entries: &LiveEntries) -> Vec<CompactString> {
    let listed = shared.endpoints.list.endpoints();
    let size = shared.settings.policy.subset;
    let all: Vec<_> = entries
        .0
        .iter()
        .map(|(name, zone)| Entry { name, zone })
        .collect();
    let mut counts = BTreeMap::new();
    for instance in listed.values() {
        *counts.entry(&instance.pool).or_insert(0) += 1;
    }
    let covers: BTreeMap<&CompactString, Cover> = counts
        .into_iter()
        .map(|(pool, count)| (pool, subset::cover(all.len(), count, size)))
        .collect();
    let own = Entry {
        name: shared.name(),
        zone: shared.zone(),
    };
    let subset = listed.iter().filter(|(name, instance)| {
        subset::contains(own, &all, name, &instance.zone, covers[&instance.pool])
    });
    subset.map(|(name, _)| name.clone()).collect()
}
