//! The entries: this one's member object, the others', and the links to them.

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

/// Shortest pause between lists.
const PAUSE: Duration = Duration::from_secs(1);
/// Lists a second of all entries together; more entries list less often.
const LISTS_PER_SECOND: u32 = 20;
/// A list of the platform's that is older counts for nothing.
const FRESH: Duration = Duration::from_secs(2);
/// Longest wait for an entry to tell that it is there.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Entries that are asked at once.
const MAX_ASKED: usize = 64;
/// Entries of each availability zone that watch.
const WATCHERS: usize = 2;
/// Entries that remove member objects of instances that are gone.
const REMOVERS: usize = 3;
/// Links that an entry opens within its availability zone, when entries are many.
const LINKS_IN_ZONE: usize = 3;
/// Links that an entry opens out of its availability zone, when entries are many.
const LINKS_OUT: usize = 3;

/// The controller's state.
#[derive(Default)]
pub struct Members {
    view: RefCell<View>,
    own: RefCell<Option<Object>>,
    /// Whether this entry has left for good.
    left: Cell<bool>,
    /// Asks for a list before its time.
    wanted: Notify,
    /// When the platform's list was last read.
    listed: Cell<Time>,
}

impl Members {
    /// The known entries, to look at.
    pub fn view(&self) -> std::cell::Ref<'_, View> {
        self.view.borrow()
    }

    /// Entries that may run work, best first for `key`, at most `count`.
    pub fn ranked(&self, key: u64, count: usize) -> Vec<CompactString> {
        let view = self.view.borrow();
        view.subset(key, count).into_iter().cloned().collect()
    }
}

/// Writes this entry's member object; tries until it is written.
pub async fn register(shared: &Shared, address: CompactString) {
    let object = Object {
        name: shared.name().clone(),
        incarnation: shared.incarnation,
        address,
        zone: shared.zone().clone(),
    };
    shared.members.own.replace(Some(object));
    while let Err(e) = write_own(shared).await {
        log::warn!(entry = shared.name().as_str(); "members: own object not written: {e}");
        sleep(PAUSE).await;
    }
}

/// Writes the own member object, whatever stands there.
async fn write_own(shared: &Shared) -> Result<(), Error> {
    let Some(own) = shared.members.own.borrow().clone() else {
        return Ok(());
    };
    let name = shared.name();
    let objects = &shared.objects;
    let present = objects.read(Purpose::Members, MEMBERS, name).await?;
    let value = serde_json::to_value(&own).map_err(|e| Error::Malformed(e.to_string()))?;
    let written = match present {
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

/// Removes the own member object, at the end of a graceful stop.
pub async fn leave(shared: &Shared) -> Result<(), Error> {
    shared.members.left.set(true);
    remove(shared, shared.name(), shared.incarnation).await
}

/// Removes the member object of one incarnation.
async fn remove(shared: &Shared, name: &str, incarnation: u64) -> Result<(), Error> {
    let objects = &shared.objects;
    let Some(object) = objects.read(Purpose::Members, MEMBERS, name).await? else {
        return Ok(());
    };
    if read(&object.value).is_some_and(|present| present.incarnation != incarnation) {
        return Ok(());
    }
    objects
        .delete(Purpose::Members, MEMBERS, name, object.version)
        .await
}

/// Starts the controller.
pub fn start(shared: &Rc<Shared>) {
    spawn(shared, async |shared: Rc<Shared>| {
        while !shared.members.left.get() {
            if list(&shared).await.is_some() {
                stay(&shared).await;
            }
            clean(&shared).await;
            sleep(PAUSE).await;
            tokio::select! {
                () = shared.members.wanted.notified() => {}
                () = sleep(longer(&shared)) => {}
            }
        }
    });
}

/// What a pause between lists is longer than the shortest, so that all together keep their rate.
fn longer(shared: &Shared) -> Duration {
    let count = shared.members.view().members().len();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let pause = Duration::from_secs(1) / LISTS_PER_SECOND * count;
    pause.saturating_sub(PAUSE)
}

/// Lists the member objects; gives the names of all.
pub async fn list(shared: &Shared) -> Option<BTreeSet<CompactString>> {
    let list = shared.objects.list(Purpose::Members, MEMBERS, "").await;
    let items = list.ok()?.items;
    let names: BTreeSet<_> = items.iter().map(|object| object.name.clone()).collect();
    let objects = items.iter().filter_map(|object| read(&object.value));
    let before = starts(&shared.members.view());
    shared.members.view.borrow_mut().replace_all(objects);
    if starts(&shared.members.view()) != before {
        shared.config.keep(&names);
        link(shared);
    }
    Some(names)
}

/// The known entries and their incarnations.
fn starts(view: &View) -> BTreeMap<CompactString, u64> {
    let entries = view.members().iter();
    entries
        .map(|(name, entry)| (name.clone(), entry.object.incarnation))
        .collect()
}

fn read(value: &serde_json::Value) -> Option<Object> {
    match serde::Deserialize::deserialize(value) {
        Ok(object) => Some(object),
        Err(e) => {
            log::error!("members: object unreadable: {e}");
            None
        }
    }
}

/// Writes the own member object again if it was removed. Patches may have been accepted without
/// this entry meanwhile, so the configuration is read after that.
async fn stay(shared: &Rc<Shared>) {
    let there = shared.members.view().members().contains_key(shared.name());
    if there || shared.members.left.get() {
        return;
    }
    log::warn!(entry = shared.name().as_str(); "members: own object is missing, written again");
    if write_own(shared).await.is_ok() {
        config::read(shared);
    }
}

/// Keeps the links that the view says, in both directions.
fn link(shared: &Shared) {
    let view = shared.members.view();
    let own = shared.name();
    let mut names = view.links(own, LINKS_IN_ZONE, LINKS_OUT);
    if view.members().len() > MAX_FULL_MESH_SIZE {
        // Only the smaller name dials, so each must also know which links the others want.
        let others = view.members().keys().filter(|name| *name != own);
        let wanting = others.filter(|name| {
            view.links(name, LINKS_IN_ZONE, LINKS_OUT)
                .contains(own.as_str())
        });
        names.extend(wanting.cloned());
    }
    let peers: Vec<_> = names.iter().filter_map(|name| peer(&view, name)).collect();
    shared.mesh.set_peers(peers);
}

fn peer(view: &View, name: &str) -> Option<Peer> {
    let entry = view.members().get(name)?;
    Some(Peer {
        name: entry.object.name.clone(),
        address: entry.object.address.clone(),
    })
}

/// Takes the entries of the platform's list of instances.
pub fn platform(shared: &Shared, entries: &BTreeMap<CompactString, Instance>) {
    let listed = entries.iter().map(|(name, instance)| {
        let state = match instance.state {
            InstanceState::Live => PlatformStatus::Live,
            InstanceState::Leaving => PlatformStatus::Leaving,
        };
        (name.clone(), state)
    });
    let listed = listed.collect();
    let now = shared.now();
    shared.members.listed.set(now);
    shared
        .members
        .view
        .borrow_mut()
        .apply_platform_list(now, &listed);
}

/// Notes a peer that spoke.
pub fn met(shared: &Shared, from: &Hello, draining: bool) {
    let mut view = shared.members.view.borrow_mut();
    let known = view.members().get(&from.name);
    if known.is_none_or(|entry| entry.object.incarnation < from.incarnation) {
        shared.members.wanted.notify_one();
    }
    if draining {
        view.mark_leaving(&from.name, from.incarnation);
    }
}

/// Removes the member objects of instances that are gone, if this entry is one that does. The
/// platform's list lags, so one that still answers stays.
async fn clean(shared: &Shared) {
    // After an outage the list's word must be a fresh one.
    if shared.now().since(shared.members.listed.get()) > FRESH {
        return;
    }
    let key = hash::stable(b"members");
    let removers = shared.members.ranked(key, REMOVERS);
    if !removers.contains(shared.name()) {
        return;
    }
    let gone = shared.members.view().removable(shared.now());
    for (name, incarnation) in gone {
        if name == *shared.name() || answers(shared, &name, incarnation).await {
            continue;
        }
        let entry = shared.name().as_str();
        match remove(shared, &name, incarnation).await {
            Ok(()) => log::info!(entry; "members: {name} is gone, removed"),
            Err(e) => log::warn!(entry; "members: {name} is gone, not removed: {e}"),
        }
    }
}

/// Whether this incarnation of an entry still answers.
async fn answers(shared: &Shared, name: &str, incarnation: u64) -> bool {
    let reply = call(shared, name, Call::Report, REPORT_TIMEOUT).await;
    matches!(reply, Some(Reply::Report { incarnation: found, .. }) if found == incarnation)
}

/// Whether this entry is one of the few of its availability zone that watch.
pub fn watches(shared: &Shared) -> bool {
    let view = shared.members.view();
    let key = hash::stable(b"config");
    let own = hash::rendezvous(key, shared.name());
    let before = view.members().values().filter(|entry| {
        let better = hash::rendezvous(key, &entry.object.name) > own;
        better && entry.object.zone == *shared.zone() && entry.gone_since.is_none()
    });
    before.count() < WATCHERS
}

/// Asks those of `names` that were not heard of lately; gives incarnation and number of each that
/// answers.
pub async fn reports(
    shared: &Shared,
    names: Vec<CompactString>,
) -> BTreeMap<CompactString, (u64, u64)> {
    let asked = names.into_iter().map(async |name| {
        let reply = call(shared, &name, Call::Report, REPORT_TIMEOUT).await;
        match reply {
            Some(Reply::Report {
                incarnation,
                number,
            }) => Some((name, (incarnation, number))),
            _ => None,
        }
    });
    let answers = stream::iter(asked).buffer_unordered(MAX_ASKED);
    answers.filter_map(future::ready).collect().await
}

/// How to bring a message to many.
pub fn branches(shared: &Shared, to: &BTreeSet<CompactString>, attempt: u64) -> Vec<RelayGroup> {
    shared.members.view().relay_groups(to, attempt)
}

/// Calls an entry, over its link or a connection for this call alone.
pub async fn call(shared: &Shared, name: &str, call: Call, wait: Duration) -> Option<Reply> {
    if shared.mesh.is_linked(name) {
        return shared.mesh.call(name, call, wait).await.ok();
    }
    let peer = peer(&shared.members.view(), name)?;
    shared.mesh.call_once(&peer, call, wait).await.ok()
}
