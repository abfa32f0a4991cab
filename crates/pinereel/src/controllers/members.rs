//! Membership of the entries: maintains this entry's member object, the view of the others, and the
//! links between them.

use super::config;
use crate::{
    objects::{Error, Purpose},
    peer::Peer,
    state::{Shared, spawn},
};
use compact_str::CompactString;
use futures_util::{StreamExt as _, future, stream};
use pinereel_api::{
    object::{Instance, InstanceState, MEMBERS},
    wire::{Call, Hello, Reply},
};
use pinereel_core::{
    Time, hash,
    member::{MAX_FULL_MESH_SIZE, Object, PlatformStatus, RelayGroup, View},
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};

/// Shortest interval between two lists of the member objects.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Lists per second of all entries together; with more entries, each lists less often.
const MAX_TOTAL_LISTS_PER_SECOND: u32 = 20;
/// A platform list older than this is not used to remove member objects.
const MAX_PLATFORM_LIST_AGE: Duration = Duration::from_secs(2);
/// Timeout of a [`Call::Report`], by which an entry shows that it is alive.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most concurrent calls for reports.
const MAX_CONCURRENT_REPORTS: usize = 64;
/// Number of entries of each availability zone that watch the configuration's object.
const CONFIG_WATCHERS_PER_ZONE: usize = 2;
/// Number of entries that remove the member objects of entries whose instances no longer exist.
const MAX_REMOVERS: usize = 3;
/// Links that an entry opens within its availability zone, if there are too many for a full mesh.
const LINKS_IN_ZONE: usize = 3;
/// Links that an entry opens to other availability zones, if there are too many for a full mesh.
const LINKS_OUT_OF_ZONE: usize = 3;

/// State of the members controller.
#[derive(Default)]
pub struct Members {
    view: RefCell<View>,
    own_object: RefCell<Option<Object>>,
    /// Whether this entry has removed its member object and must not write it again.
    has_left: Cell<bool>,
    /// Notified to request a list before the next one is due.
    list_requested: Notify,
    /// When the platform's list was last received.
    platform_listed_at: Cell<Time>,
}

impl Members {
    /// Borrows the membership view; the borrow must end before the next update.
    pub fn view(&self) -> std::cell::Ref<'_, View> {
        self.view.borrow()
    }

    /// Entries that may run work, in rank order for `key`, at most `count`.
    pub fn ranked(&self, key: u64, count: usize) -> Vec<CompactString> {
        let view = self.view.borrow();
        view.subset(key, count).into_iter().cloned().collect()
    }
}

/// Writes this entry's member object, with retries until it is written.
pub async fn register(shared: &Shared, address: CompactString) {
    let object = Object {
        name: shared.name().clone(),
        incarnation: shared.incarnation,
        address,
        zone: shared.zone().clone(),
    };
    shared.members.own_object.replace(Some(object));
    while let Err(e) = write_own_object(shared).await {
        log::warn!(entry = shared.name().as_str(); "members: writing the own object failed: {e}");
        sleep(MIN_LIST_INTERVAL).await;
    }
}

/// Writes the own member object, and replaces any other under the same name.
async fn write_own_object(shared: &Shared) -> Result<(), Error> {
    let Some(own) = shared.members.own_object.borrow().clone() else {
        return Ok(());
    };
    let name = shared.name();
    let objects = &shared.objects;
    let stored_object = objects.read(Purpose::Members, MEMBERS, name).await?;
    let value = serde_json::to_value(&own).map_err(|e| Error::Malformed(e.to_string()))?;
    let written = match stored_object {
        Some(object) if object.value == value => return Ok(()),
        Some(object) => {
            objects
                .update(Purpose::Members, MEMBERS, name, object.version, &own)
                .await
        }
        None => objects.create(Purpose::Members, MEMBERS, name, &own).await,
    };
    written.map(drop)
}

/// Removes the own member object, at the end of a graceful shutdown.
pub async fn deregister(shared: &Shared) -> Result<(), Error> {
    shared.members.has_left.set(true);
    remove(shared, shared.name(), shared.incarnation).await
}

/// Removes an entry's member object, unless it is of another incarnation.
async fn remove(shared: &Shared, name: &str, incarnation: u64) -> Result<(), Error> {
    let objects = &shared.objects;
    let Some(object) = objects.read(Purpose::Members, MEMBERS, name).await? else {
        return Ok(());
    };
    if parse_member(&object.value).is_some_and(|present| present.incarnation != incarnation) {
        return Ok(());
    }
    objects
        .delete(Purpose::Members, MEMBERS, name, object.version)
        .await
}

/// Starts the task that lists the members and maintains their objects.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        while !shared.members.has_left.get() {
            if list(&shared).await.is_some() {
                restore_own_object(&shared).await;
            }
            remove_gone_members(&shared).await;
            sleep(MIN_LIST_INTERVAL).await;
            tokio::select! {
                () = shared.members.list_requested.notified() => {}
                () = sleep(extra_list_delay(&shared)) => {}
            }
        }
    });
}

/// Delay beyond [`MIN_LIST_INTERVAL`], so that all entries together keep within
/// [`MAX_TOTAL_LISTS_PER_SECOND`].
fn extra_list_delay(shared: &Shared) -> Duration {
    let count = shared.members.view().members().len();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1) / MAX_TOTAL_LISTS_PER_SECOND * count;
    interval.saturating_sub(MIN_LIST_INTERVAL)
}

/// Lists the member objects and updates the view and the links; returns the names of all members,
/// or `None` if the list failed.
pub async fn list(shared: &Shared) -> Option<BTreeSet<CompactString>> {
    let list = shared.objects.list(Purpose::Members, MEMBERS, "").await;
    let items = list.ok()?.items;
    let names: BTreeSet<_> = items.iter().map(|object| object.name.clone()).collect();
    let objects = items
        .iter()
        .filter_map(|object| parse_member(&object.value));
    let previous = incarnations(&shared.members.view());
    shared.members.view.borrow_mut().replace_all(objects);
    if incarnations(&shared.members.view()) != previous {
        shared.config.retain_peers(&names);
        update_links(shared);
    }
    Some(names)
}

/// Incarnations of the known entries by name.
fn incarnations(view: &View) -> BTreeMap<CompactString, u64> {
    let entries = view.members().iter();
    entries
        .map(|(name, entry)| (name.clone(), entry.object.incarnation))
        .collect()
}

fn parse_member(value: &serde_json::Value) -> Option<Object> {
    match serde::Deserialize::deserialize(value) {
        Ok(object) => Some(object),
        Err(e) => {
            log::error!("members: object cannot be parsed: {e}");
            None
        }
    }
}

/// Writes the own member object again if it was removed. Patches may have been accepted without
/// this entry in the meantime, so the configuration is read afterwards.
async fn restore_own_object(shared: &Rc<Shared>) {
    let is_listed = shared.members.view().members().contains_key(shared.name());
    if is_listed || shared.members.has_left.get() {
        return;
    }
    log::warn!(entry = shared.name().as_str(); "members: own object is missing; writing it again");
    if write_own_object(shared).await.is_ok() {
        config::start_read(shared);
    }
}

/// Sets the links of this entry according to the view, those that others open included.
fn update_links(shared: &Shared) {
    let view = shared.members.view();
    let own = shared.name();
    let mut names = view.links(own, LINKS_IN_ZONE, LINKS_OUT_OF_ZONE);
    if view.members().len() > MAX_FULL_MESH_SIZE {
        // Of two entries only the one with the smaller name dials, so each must also know which
        // links the others want.
        let others = view.members().keys().filter(|name| *name != own);
        let wanting = others.filter(|name| {
            view.links(name, LINKS_IN_ZONE, LINKS_OUT_OF_ZONE)
                .contains(own.as_str())
        });
        names.extend(wanting.cloned());
    }
    let peers: Vec<_> = names
        .iter()
        .filter_map(|name| find_peer(&view, name))
        .collect();
    shared.mesh.set_peers(peers);
}

fn find_peer(view: &View, name: &str) -> Option<Peer> {
    let entry = view.members().get(name)?;
    Some(Peer {
        name: entry.object.name.clone(),
        address: entry.object.address.clone(),
    })
}

/// Applies the entries of the platform's list of instances to the view.
pub fn apply_platform_list(shared: &Shared, entries: &BTreeMap<CompactString, Instance>) {
    let listed = entries.iter().map(|(name, instance)| {
        let state = match instance.state {
            InstanceState::Live => PlatformStatus::Live,
            InstanceState::Leaving => PlatformStatus::Leaving,
        };
        (name.clone(), state)
    });
    let listed = listed.collect();
    let now = shared.now();
    shared.members.platform_listed_at.set(now);
    shared
        .members
        .view
        .borrow_mut()
        .apply_platform_list(now, &listed);
}

/// Handles the identity that a peer sent: requests a list if it is unknown or restarted, and marks
/// it as leaving if it drains.
pub fn observe_peer(shared: &Shared, from: &Hello, draining: bool) {
    let mut view = shared.members.view.borrow_mut();
    let known = view.members().get(&from.name);
    if known.is_none_or(|entry| entry.object.incarnation < from.incarnation) {
        shared.members.list_requested.notify_one();
    }
    if draining {
        view.mark_leaving(&from.name, from.incarnation);
    }
}

/// Removes the member objects of entries whose instances no longer exist, if this entry is one of the
/// removers. The platform's list lags, so the object of an entry that still answers stays.
async fn remove_gone_members(shared: &Shared) {
    // After an outage, wait for a current platform list.
    if shared.now().since(shared.members.platform_listed_at.get()) > MAX_PLATFORM_LIST_AGE {
        return;
    }
    let key = hash::stable(b"members");
    let removers = shared.members.ranked(key, MAX_REMOVERS);
    if !removers.contains(shared.name()) {
        return;
    }
    let removable = shared.members.view().removable(shared.now());
    for (name, incarnation) in removable {
        if name == *shared.name() || is_alive(shared, &name, incarnation).await {
            continue;
        }
        let entry = shared.name().as_str();
        match remove(shared, &name, incarnation).await {
            Ok(()) => log::info!(entry; "members: {name} is gone; its object was removed"),
            Err(e) => log::warn!(entry; "members: {name} is gone; removing its object failed: {e}"),
        }
    }
}

/// Whether this incarnation of an entry answers a call.
async fn is_alive(shared: &Shared, name: &str, incarnation: u64) -> bool {
    let reply = call(shared, name, Call::Report, REPORT_TIMEOUT).await;
    matches!(reply, Some(Reply::Report { incarnation: found, .. }) if found == incarnation)
}

/// Whether this entry is one of the few of its availability zone that watch the configuration.
pub fn is_config_watcher(shared: &Shared) -> bool {
    let view = shared.members.view();
    let key = hash::stable(b"config");
    let own = hash::rendezvous(key, shared.name());
    let higher_ranked = view.members().values().filter(|entry| {
        let ranks_higher = hash::rendezvous(key, &entry.object.name) > own;
        ranks_higher && entry.object.zone == *shared.zone() && entry.gone_since.is_none()
    });
    higher_ranked.count() < CONFIG_WATCHERS_PER_ZONE
}

/// Calls the entries `names`; returns incarnation and configuration number of each that answers.
pub async fn fetch_reports(
    shared: &Shared,
    names: Vec<CompactString>,
) -> BTreeMap<CompactString, (u64, u64)> {
    let calls = names.into_iter().map(async |name| {
        let reply = call(shared, &name, Call::Report, REPORT_TIMEOUT).await;
        match reply {
            Some(Reply::Report {
                incarnation,
                number,
            }) => Some((name, (incarnation, number))),
            _ => None,
        }
    });
    let answers = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_REPORTS);
    answers.filter_map(future::ready).collect().await
}

/// Relay groups that forward a message to all of `to`; a different `attempt` chooses other relays.
pub fn relay_groups(
    shared: &Shared,
    to: &BTreeSet<CompactString>,
    attempt: u64,
) -> Vec<RelayGroup> {
    shared.members.view().relay_groups(to, attempt)
}

/// Calls an entry, over its link or else over a connection for this call alone; `None` if there is
/// no answer within `wait`.
pub async fn call(shared: &Shared, name: &str, call: Call, wait: Duration) -> Option<Reply> {
    if shared.mesh.is_linked(name) {
        return shared.mesh.call(name, call, wait).await.ok();
    }
    let peer = find_peer(&shared.members.view(), name)?;
    shared.mesh.call_once(&peer, call, wait).await.ok()
}
