//! The keys of one shard, as the segments from the base on say.

use super::{Claim, Record, Segment, Settle};
use crate::{hash::Digest, time::Time};
use compact_str::CompactString;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Most released requests remembered for a key. One forgotten too early can only make the key read
/// as unknown, as its request never runs after the release.
const MAX_RELEASED: usize = 16;

/// The request that holds a key.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) request: CompactString,
    pub(super) digest: Digest,
    /// When the request can no longer be running.
    pub(super) until: Time,
    pub(super) record: Option<Record>,
    /// Number of the segment with the record, or else with the claim.
    segment: u64,
}

/// One key. `released` remembers requests that certainly did not run, with the segment that says
/// so; a claim of theirs which reaches the log later does not take the key.
#[derive(Clone, Debug, Default)]
struct Entry {
    holder: Option<Holder>,
    released: VecDeque<(u64, CompactString)>,
}

impl Entry {
    fn is_released(&self, request: &str) -> bool {
        self.released
            .iter()
            .any(|(_, released)| released == request)
    }

    /// Forgets what segments below `base` said. Each part goes by its own segment, so that all
    /// readers agree on what is left, whenever they began to read.
    fn forget(&mut self, base: u64) {
        self.holder.take_if(|holder| holder.segment < base);
        self.released.retain(|(segment, _)| *segment >= base);
    }

    fn is_empty(&self) -> bool {
        self.holder.is_none() && self.released.is_empty()
    }
}

/// All keys of the segments `base..next`.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub(super) base: u64,
    pub(super) next: u64,
    keys: BTreeMap<CompactString, Entry>,
    /// Which segments say something of which key.
    by_segment: BTreeSet<(u64, CompactString)>,
    /// When this writer first read each segment.
    seen: BTreeMap<u64, Time>,
}

impl Table {
    /// Number of keys held in memory.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Who holds `key`.
    pub(super) fn holder(&self, key: &str) -> Option<&Holder> {
        self.keys.get(key)?.holder.as_ref()
    }

    /// Whether `request` was released from `key`.
    pub(super) fn is_released(&self, key: &str, request: &str) -> bool {
        self.keys
            .get(key)
            .is_some_and(|entry| entry.is_released(request))
    }

    /// Applies segment `next`.
    pub(super) fn apply(&mut self, now: Time, segment: &Segment) {
        for settle in &segment.settles {
            self.settle(now, settle);
        }
        for claim in &segment.claims {
            self.claim(now, claim);
        }
        self.seen.insert(self.next, now);
        self.next += 1;
    }

    /// Forgets what lies below `base`; a base beyond `next` means that this writer fell behind.
    pub(super) fn raise(&mut self, base: u64) {
        self.base = self.base.max(base);
        self.next = self.next.max(self.base);
        self.seen = self.seen.split_off(&self.base);
        let kept = self
            .by_segment
            .split_off(&(self.base, CompactString::default()));
        for (_, key) in std::mem::replace(&mut self.by_segment, kept) {
            let Some(entry) = self.keys.get_mut(&key) else {
                continue;
            };
            entry.forget(self.base);
            if entry.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    /// The base that leaves only segments first read less than `window` ago.
    pub(super) fn trim_to(&self, now: Time, window: Duration) -> u64 {
        let young = self
            .seen
            .iter()
            .find(|(_, seen)| now.since(**seen) < window);
        young.map_or(self.next, |(n, _)| *n)
    }

    /// A later claim always replaces: its writer had read all earlier segments and found the key
    /// free, maybe under a base that this reader has not seen yet.
    fn claim(&mut self, now: Time, claim: &Claim) {
        let segment = self.next;
        let entry = self.touch(&claim.key);
        if entry.is_released(&claim.request) {
            return;
        }
        entry.holder = Some(Holder {
            request: claim.request.clone(),
            digest: claim.digest,
            until: now + Duration::from_millis(claim.left_ms),
            record: None,
            segment,
        });
    }

    fn settle(&mut self, now: Time, settle: &Settle) {
        let segment = self.next;
        let entry = self.touch(&settle.key);
        let Some(record) = &settle.outcome else {
            let released = (segment, settle.request.clone());
            entry.released.push_back(released);
            if entry.released.len() > MAX_RELEASED {
                entry.released.pop_front();
            }
            let freed = |h: &Holder| h.request == settle.request && h.record.is_none();
            if entry.holder.as_ref().is_some_and(freed) {
                entry.holder = None;
            }
            return;
        };
        let holder = entry.holder.get_or_insert_with(|| Holder {
            request: settle.request.clone(),
            digest: settle.digest,
            until: now,
            record: None,
            segment,
        });
        if holder.request == settle.request {
            holder.record = Some(record.clone());
            holder.segment = segment;
        }
    }

    fn touch(&mut self, key: &CompactString) -> &mut Entry {
        self.by_segment.insert((self.next, key.clone()));
        self.keys.entry(key.clone()).or_default()
    }
}
