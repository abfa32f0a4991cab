//! The side of a parent: whom it takes, and whereto it refers the rest.

use super::{MAX_CHILDREN, MAX_STANDBYS, RankRange, SubtreeSize};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// One child of a [`Children`].
    pub struct ChildKey;
}

/// Parents that a newcomer is referred to: one may just have gone.
const MAX_REFERRALS: usize = 3;

/// An instance as it introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where others link to it.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Whether it should rather hold duties than others.
    pub preferred: bool,
}

/// What becomes of a newcomer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is a child now.
    Child(ChildKey),
    /// There is no room; these may have some.
    Referred(Vec<CompactString>),
}

struct Child {
    peer: Peer,
    /// The child and all below it, as it last said; newcomers that were referred to it included.
    size: SubtreeSize,
}

/// The children of one instance.
#[derive(Default)]
pub struct Children {
    children: SlotMap<ChildKey, Child>,
}

impl Children {
    /// Takes a newcomer if there is room, and refers it to children else.
    pub fn admit(&mut self, peer: Peer) -> Admission {
        // Its old link may have broken without a word.
        self.children
            .retain(|_, child| child.peer.address != peer.address);
        if self.children.len() < MAX_CHILDREN {
            let size = SubtreeSize::one(peer.preferred);
            return Admission::Child(self.children.insert(Child { peer, size }));
        }
        Admission::Referred(self.refer(&peer))
    }

    /// The children with the fewest below them, those of the newcomer's zone first.
    fn refer(&mut self, peer: &Peer) -> Vec<CompactString> {
        let mut by_subtree_size: Vec<_> = self.children.iter().collect();
        by_subtree_size.sort_by_key(|(_, child)| {
            let below = child.size.count();
            let full = below as usize > MAX_CHILDREN;
            (full, child.peer.zone != peer.zone, below)
        });
        let chosen: Vec<ChildKey> = by_subtree_size
            .iter()
            .take(MAX_REFERRALS)
            .map(|(key, _)| *key)
            .collect();
        // Many come at once, before the child can say that it has taken them.
        if let Some(child) = chosen.first().and_then(|key| self.children.get_mut(*key)) {
            child.size = child.size.plus(SubtreeSize::one(peer.preferred));
        }
        let addresses = chosen.iter().filter_map(|key| self.children.get(*key));
        addresses.map(|child| child.peer.address.clone()).collect()
    }

    /// A child says how many it and those below it are.
    pub fn set_size(&mut self, key: ChildKey, size: SubtreeSize) {
        if let Some(child) = self.children.get_mut(key) {
            child.size = size;
        }
    }

    /// A child is gone.
    pub fn remove(&mut self, key: ChildKey) {
        self.children.remove(key);
    }

    /// Number of children.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// All below this instance, and itself.
    pub fn subtree_size(&self, preferred: bool) -> SubtreeSize {
        let below = self.children.values().map(|child| child.size);
        below.fold(SubtreeSize::one(preferred), SubtreeSize::plus)
    }

    /// The places of each child and those below it, out of `ranks`, whose first is this instance's.
    pub fn child_ranks(&self, ranks: RankRange, preferred: bool) -> Vec<(ChildKey, RankRange)> {
        let mut next = ranks.after(SubtreeSize::one(preferred));
        let mut places = Vec::new();
        for (key, child) in &self.children {
            places.push((key, next));
            next = next.after(child.size);
        }
        places
    }

    /// Who stands in for this instance if it is the root: those with ample processor time first, and
    /// each in another zone if there are such.
    pub fn standbys(&self, own_zone: &str) -> Vec<CompactString> {
        let mut left: Vec<_> = self.children.values().map(|child| &child.peer).collect();
        left.sort_by_key(|peer| (!peer.preferred, &peer.address));
        let mut zones = vec![own_zone];
        let mut standbys = Vec::new();
        while standbys.len() < MAX_STANDBYS && !left.is_empty() {
            let elsewhere = left.iter().position(|peer| !zones.contains(&&*peer.zone));
            let peer = left.remove(elsewhere.unwrap_or(0));
            zones.push(&peer.zone);
            standbys.push(peer.address.clone());
        }
        standbys
    }
}
