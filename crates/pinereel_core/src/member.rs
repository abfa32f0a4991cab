//! Which entries there are, who owns a key, and who talks to whom.
//!
//! The view is built from the member objects, the platform's lagging list and peers' hints. It is
//! used for placing work and links only. Who must confirm a patch is never read from here but
//! from the member objects themselves.

use crate::{Time, hash};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Up to so many entries every one is linked with every other.
pub const MAX_FULL_MESH_SIZE: usize = 16;
/// Most instances that one relay passes a message to.
pub const MAX_RELAY_LEAVES: usize = 20;
/// So long the platform must have said "gone" before another entry may remove a member object.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(10);

/// Content of a member object, written by the entry itself when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The entry's name, unique among the instances that run at a time.
    pub name: CompactString,
    /// Changes with each start; later starts have higher ones.
    pub incarnation: u64,
    /// Where its peer listener is, as `IP:PORT`.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
}

/// What is known of an entry's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Live,
    /// It takes no new work. Final for the incarnation.
    Leaving,
}

/// One known entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its member object.
    pub object: Object,
    /// Whether it takes new work.
    pub state: State,
    /// Since when the platform's list has said, without a break, that it is gone.
    pub gone_since: Option<Time>,
}

/// What the platform's list says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformStatus {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It runs no more. Instances that the list lacks count as gone.
    Gone,
}

/// A relay, and the instances that it passes a message to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayGroup {
    /// Gets the message and passes it on.
    pub relay: CompactString,
    /// The others of the branch, in order of their names.
    pub leaves: BTreeSet<CompactString>,
}

/// The entries that one entry knows of.
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

    /// Takes a whole list of member objects: entries that it lacks are forgotten.
    pub fn replace_all(&mut self, objects: impl IntoIterator<Item = Object>) {
        let mut names = BTreeSet::new();
        for object in objects {
            names.insert(object.name.clone());
            self.insert(object);
        }
        self.members.retain(|name, _| names.contains(name));
    }

    /// Takes one member object; an older incarnation than the known one is ignored.
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

    /// The entry, a peer or a refused connection says that this incarnation is leaving.
    pub fn mark_leaving(&mut self, name: &str, incarnation: u64) {
        if let Some(member) = self.members.get_mut(name)
            && member.object.incarnation == incarnation
        {
            member.state = State::Leaving;
        }
    }

    /// Takes the platform's list. It lags: it may say "live" of an entry that is leaving, and it
    /// may lack an entry that has just started, which therefore is not marked as leaving.
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

    /// Entries whose member objects may be removed by others: name and incarnation. The removal
    /// must be conditional on that incarnation.
    pub fn removable(&self, now: Time) -> Vec<(CompactString, u64)> {
        let gone = self.members.iter().filter(|(_, member)| {
            member
                .gone_since
                .is_some_and(|since| now.since(since) >= REMOVAL_GRACE)
        });
        gone.map(|(name, member)| (name.clone(), member.object.incarnation))
            .collect()
    }

    /// The live entry that owns a key.
    pub fn owner(&self, key: u64) -> Option<&CompactString> {
        self.live_names()
            .max_by_key(|name| (hash::rendezvous(key, name), *name))
    }

    /// Up to `n` live entries for a key, the owner first. Growth by one entry moves at most one.
    pub fn subset(&self, key: u64, n: usize) -> Vec<&CompactString> {
        let mut names: Vec<_> = self.live_names().collect();
        names.sort_by_cached_key(|name| Reverse((hash::rendezvous(key, name), *name)));
        names.truncate(n);
        names
    }

    /// The entries that `own` opens links to. All others up to [`MAX_FULL_MESH_SIZE`]; else at most
    /// `n_zone` in its availability zone and `n_remote` outside, at distances 1, 2, 4, … on rings
    /// in hash order, so that the links connect all entries in few hops. Leaving entries keep
    /// their links: they still hold state. Both numbers must be at least 1.
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
        let (near, far): (Vec<_>, Vec<_>) = ring
            .into_iter()
            .partition(|name| self.members[*name].object.zone == *zone);
        let mut links = ring_fingers(&near, n_zone);
        links.extend(ring_fingers(&far, n_remote));
        links
    }

    /// How to bring a message to many: each alone up to [`MAX_FULL_MESH_SIZE`], else by relays of their own
    /// availability zone. Another `attempt` takes other relays, so a dead one does not stop it.
    pub fn relay_groups(&self, to: &BTreeSet<CompactString>, attempt: u64) -> Vec<RelayGroup> {
        let alone = |name: &CompactString| RelayGroup {
            relay: name.clone(),
            leaves: BTreeSet::new(),
        };
        if to.len() <= MAX_FULL_MESH_SIZE {
            return to.iter().map(alone).collect();
        }
        let mut zones = BTreeMap::<_, Vec<_>>::new();
        let mut groups = Vec::new();
        for name in to {
            match self.members.get(name) {
                Some(member) => zones.entry(&member.object.zone).or_default().push(name),
                None => groups.push(alone(name)),
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

    /// The other entries in hash order, starting after `own`.
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

/// The entries at distances 1, 2, 4, … of a ring.
fn ring_fingers(ring: &[&CompactString], n: usize) -> BTreeSet<CompactString> {
    let distances = (0..n).map_while(|i| 1usize.checked_shl(u32::try_from(i).ok()?));
    distances
        .map_while(|distance| ring.get(distance - 1))
        .map(|name| (*name).clone())
        .collect()
}
