//! The parent's side of the links: which instances it accepts as children, and where it refers the
//! rest.

use super::{MAX_CHILDREN, MAX_STANDBYS, RankRange, SubtreeSize};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Key of one child in [`Children`].
    pub struct ChildKey;
}

/// Most addresses in a referral. More than one, since the first child may just have ended.
const MAX_REFERRALS: usize = 3;

/// An instance as it introduces itself on a new link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which it accepts links.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Whether it is preferred as a holder of duties, because it has ample CPU time.
    pub preferred: bool,
}

/// Whether a newcomer is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted as a child.
    Child(ChildKey),
    /// There is no room; the instances at these addresses may have some.
    Referred(Vec<CompactString>),
}

struct Child {
    peer: Peer,
    /// Size of the child's subtree as last reported, plus the newcomers referred to it since.
    size: SubtreeSize,
}

/// The direct children of one instance, at most [`MAX_CHILDREN`].
#[derive(Default)]
pub struct Children {
    children: SlotMap<ChildKey, Child>,
}

impl Children {
    /// Accepts a newcomer if there is room, and refers it to children otherwise.
    pub fn admit(&mut self, peer: Peer) -> Admission {
        // An earlier link of this peer may have broken without notice.
        self.children
            .retain(|_, child| child.peer.address != peer.address);
        if self.children.len() < MAX_CHILDREN {
            let size = SubtreeSize::one(peer.preferred);
            return Admission::Child(self.children.insert(Child { peer, size }));
        }
        Admission::Referred(self.refer(&peer))
    }

    /// The children to which a newcomer is referred: those that have room first, then those in its zone,
    /// then those with the smallest subtrees.
    fn refer(&mut self, peer: &Peer) -> Vec<CompactString> {
        let mut by_subtree_size: Vec<_> = self.children.iter().collect();
        by_subtree_size.sort_by_key(|(_, child)| {
            let instances = child.size.count();
            let full = instances as usize > MAX_CHILDREN;
            (full, child.peer.zone != peer.zone, instances)
        });
        let chosen: Vec<ChildKey> = by_subtree_size
            .iter()
            .take(MAX_REFERRALS)
            .map(|(key, _)| *key)
            .collect();
        // Many newcomers may come before the child reports that it has accepted them.
        if let Some(child) = chosen.first().and_then(|key| self.children.get_mut(*key)) {
            child.size = child.size.plus(SubtreeSize::one(peer.preferred));
        }
        let addresses = chosen.iter().filter_map(|key| self.children.get(*key));
        addresses.map(|child| child.peer.address.clone()).collect()
    }

    /// Records the subtree size that a child reports.
    pub fn set_size(&mut self, key: ChildKey, size: SubtreeSize) {
        if let Some(child) = self.children.get_mut(key) {
            child.size = size;
        }
    }

    /// Removes a child whose link has ended.
    pub fn remove(&mut self, key: ChildKey) {
        self.children.remove(key);
    }

    /// Address of a child.
    pub fn address(&self, key: ChildKey) -> Option<&CompactString> {
        self.children.get(key).map(|child| &child.peer.address)
    }

    /// Addresses of all direct children.
    pub fn addresses(&self) -> impl Iterator<Item = CompactString> {
        self.children
            .values()
            .map(|child| child.peer.address.clone())
    }

    /// Number of direct children, at most [`MAX_CHILDREN`].
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether this instance is a leaf of the tree.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Size of the subtree of this instance, which is itself `preferred` or not.
    pub fn subtree_size(&self, preferred: bool) -> SubtreeSize {
        let below = self.children.values().map(|child| child.size);
        below.fold(SubtreeSize::one(preferred), SubtreeSize::plus)
    }

    /// Splits `ranks`, whose first rank is this instance's own, into the ranks of each child's subtree.
    pub fn child_ranks(&self, ranks: RankRange, preferred: bool) -> Vec<(ChildKey, RankRange)> {
        let mut next = ranks.after(SubtreeSize::one(preferred));
        let mut child_ranks = Vec::new();
        for (key, child) in &self.children {
            child_ranks.push((key, next));
            next = next.after(child.size);
        }
        child_ranks
    }

    /// The standbys of this instance if it is the root: preferred children first, each in another zone as
    /// far as possible.
    pub fn standbys(&self, own_zone: &str) -> Vec<CompactString> {
        let mut remaining: Vec<_> = self.children.values().map(|child| &child.peer).collect();
        remaining.sort_by_key(|peer| (!peer.preferred, &peer.address));
        let mut zones = vec![own_zone];
        let mut standbys = Vec::new();
        while standbys.len() < MAX_STANDBYS && !remaining.is_empty() {
            let other_zone = remaining
                .iter()
                .position(|peer| !zones.contains(&&*peer.zone));
            let peer = remaining.remove(other_zone.unwrap_or(0));
            zones.push(&peer.zone);
            standbys.push(peer.address.clone());
        }
        standbys
    }
}
