//! Membership: the known entries, the owner of a key, and the links and relays between entries.
//!
//! An entry is an instance that runs the entry daemon. The [`View`] is built from the member objects, the
//! platform's list, which lags, and hints of peers. It serves only to place work and links. The set of
//! entries that must confirm a configuration patch is read from the member objects themselves, never
//! from here.

use crate::{Time, hash};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Most entries that are linked in a full mesh.
pub const MAX_FULL_MESH_SIZE: usize = 16;
/// Most instances to which one relay forwards a message.
pub const MAX_RELAY_LEAVES: usize = 20;
/// How long the platform must have reported an entry as gone, without a break, before another entry
/// may remove its member object.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(10);

/// Content of a member object, which each entry writes when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Name of the entry, unique among the instances that run at a time.
    pub name: CompactString,
    /// Incarnation of the entry; higher with each start.
    pub incarnation: u64,
    /// Address of its listener for peers, as `IP:PORT`.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
}

/// Whether an entry takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Live,
    /// It takes no new work. This state is final for the incarnation.
    Leaving,
}

/// One entry of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its member object.
    pub object: Object,
    /// Whether it takes new work.
    pub state: State,
    /// Since when the platform has reported it as gone, without a break.
    pub gone_since: Option<Time>,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStatus {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It no longer runs. An instance missing from the list counts as gone, too.
    Gone,
}

/// A relay and the instances to which it forwards a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayGroup {
    /// Receives the message and forwards it.
    pub relay: CompactString,
    /// The receivers, in order of their names.
    pub leaves: BTreeSet<CompactString>,
}

/// The entries known to one entry.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<CompactString, Member>,
}

impl View {
    /// An empty view.
    pub const fn new() -> Self {
        Self {
            members: BTreeMap::new(),
        }
    }

    /// All known entries, by name.
    pub const fn members(&self) -> &BTreeMap<CompactString, Member> {
        &self.members
    }

    /// Applies a complete list of member objects; entries missing from it are dropped.
    pub fn replace_all(&mut self, objects: impl IntoIterator<Item = Object>) {
        let mut names = BTreeSet::new();
        for object in objects {
            names.insert(object.name.clone());
            self.insert(object);
        }
        self.members.retain(|name, _| names.contains(name));
    }

    /// Applies one member object. An incarnation that is not newer than the known one is ignored.
    pub fn insert(&mut self, object: Object) {
        let known = self.members.get(&object.name).map(|e| e.object.incarnation);
        if known.is_some_and(|known| known >= object.incarnation) {
            return;
        }
        let name = object.name.clone();
        self.members.insert(
            name,
            Member {
                object,
                state: State::Live,
                gone_since: None,
            },
        );
    }

    /// Marks an incarnation of an entry as leaving, as reported by itself, by a peer or by a refused
    /// connection.
    pub fn mark_leaving(&mut self, name: &str, incarnation: u64) {
        if let Some(member) = self.members.get_mut(name)
            && member.object.incarnation == incarnation
        {
            member.state = State::Leaving;
        }
    }

    /// Applies the platform's list. The list lags: it may show an entry that is leaving as live, and it may
    /// lack an entry that has just started. So an entry missing from it is not marked as leaving.
    pub fn apply_platform_list(
        &mut self,
        now: Time,
        listed: &BTreeMap<CompactString, PlatformStatus>,
    ) {
        for (name, member) in &mut self.members {
            match listed.get(name) {
                Some(PlatformStatus::Live) => member.gone_since = None,
                Some(PlatformStatus::Leaving) => {
                    member.gone_since = None;
                    member.state = State::Leaving;
                }
                Some(PlatformStatus::Gone) => {
                    member.state = State::Leaving;
                    member.gone_since.get_or_insert(now);
                }
                None => {
                    member.gone_since.get_or_insert(now);
                }
            }
        }
    }

    /// Name and incarnation of the entries whose member objects other entries may remove. The removal must
    /// be conditional on that incarnation.
    pub fn removable(&self, now: Time) -> Vec<(CompactString, u64)> {
        let removable = self.members.iter().filter(|(_, member)| {
            member
                .gone_since
                .is_some_and(|since| now.since(since) >= REMOVAL_GRACE)
        });
        removable
            .map(|(name, member)| (name.clone(), member.object.incarnation))
            .collect()
    }

    /// The live entry that owns `key`, by rendezvous hashing.
    pub fn owner(&self, key: u64) -> Option<&CompactString> {
        self.live_names()
            .max_by_key(|name| (hash::rendezvous(key, name), *name))
    }

    /// Up to `n` live entries for `key`, the owner first. A new entry replaces at most one of them.
    pub fn subset(&self, key: u64, n: usize) -> Vec<&CompactString> {
        let mut names: Vec<_> = self.live_names().collect();
        names.sort_by_cached_key(|name| Reverse((hash::rendezvous(key, name), *name)));
        names.truncate(n);
        names
    }

    /// The entries to which `own` opens links. With up to [`MAX_FULL_MESH_SIZE`] entries, these are all
    /// others. With more, they are at most `n_zone` in its availability zone and `n_remote` outside, at
    /// distances 1, 2, 4, … on rings in hash order (Chord fingers), so that the links connect all entries in
    /// few hops. Both numbers must be at least 1. Leaving entries keep their links, as they still hold
    /// state.
    pub fn links(&self, own: &str, n_zone: usize, n_remote: usize) -> BTreeSet<CompactString> {
        if self.members.len() <= MAX_FULL_MESH_SIZE {
            return self
                .members
                .keys()
                .filter(|name| *name != own)
                .cloned()
                .collect();
        }
        let Some(zone) = self.members.get(own).map(|e| &e.object.zone) else {
            return BTreeSet::new();
        };
        let ring = self.ring(own);
        let (same_zone, other_zones): (Vec<_>, Vec<_>) = ring
            .into_iter()
            .partition(|name| self.members[*name].object.zone == *zone);
        let mut links = ring_fingers(&same_zone, n_zone);
        links.extend(ring_fingers(&other_zones, n_remote));
        links
    }

    /// How to send a message to many entries: directly up to [`MAX_FULL_MESH_SIZE`] receivers, otherwise
    /// through relays in the receivers' availability zones. Each `attempt` picks other relays, so that a
    /// dead relay does not block the message.
    pub fn relay_groups(&self, to: &BTreeSet<CompactString>, attempt: u64) -> Vec<RelayGroup> {
        let without_leaves = |name: &CompactString| RelayGroup {
            relay: name.clone(),
            leaves: BTreeSet::new(),
        };
        if to.len() <= MAX_FULL_MESH_SIZE {
            return to.iter().map(without_leaves).collect();
        }
        let mut zones = BTreeMap::<_, Vec<_>>::new();
        let mut groups = Vec::new();
        for name in to {
            match self.members.get(name) {
                Some(member) => zones.entry(&member.object.zone).or_default().push(name),
                None => groups.push(without_leaves(name)),
            }
        }
        for mut names in zones.into_values() {
            names.sort_by_cached_key(|name| hash::rendezvous(attempt, name));
            groups.extend(names.chunks(MAX_RELAY_LEAVES + 1).map(|chunk| RelayGroup {
                relay: chunk[0].clone(),
                leaves: chunk[1..].iter().map(|name| (*name).clone()).collect(),
            }));
        }
        groups
    }

    fn live_names(&self) -> impl Iterator<Item = &CompactString> {
        let live = self
            .members
            .iter()
            .filter(|(_, member)| member.state == State::Live);
        live.map(|(name, _)| name)
    }

    /// All other entries in hash order, starting after `own`.
    fn ring(&self, own: &str) -> Vec<&CompactString> {
        let position = |name: &str| hash::stable(name.as_bytes());
        let mut names: Vec<_> = self.members.keys().filter(|name| *name != own).collect();
        names.sort_by_cached_key(|name| (position(name), *name));
        let start =
            names.partition_point(|name| (position(name), name.as_str()) < (position(own), own));
        names.rotate_left(start);
        names
    }
}

/// Up to `n` entries at distances 1, 2, 4, … of `ring`, as in a Chord finger table.
fn ring_fingers(ring: &[&CompactString], n: usize) -> BTreeSet<CompactString> {
    let distances = (0..n).map_while(|i| 1usize.checked_shl(u32::try_from(i).ok()?));
    distances
        .map_while(|distance| ring.get(distance - 1))
        .map(|name| (*name).clone())
        .collect()
}
