//! In-memory index of one shard's keys, built by applying its segments in order.

use super::{Claim, Segment, Settlement, StoredResponse};
use crate::{hash::Digest, time::Time};
use compact_str::CompactString;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Maximum number of released requests remembered per key. Forgetting one too early can only turn
/// the key's verdict into `ClaimUnknown`, because a released request never runs.
const MAX_RELEASED_PER_KEY: usize = 16;

/// The request that holds a key.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) request: CompactString,
    pub(super) digest: Digest,
    /// After this time the request can no longer be running.
    pub(super) deadline: Time,
    pub(super) response: Option<StoredResponse>,
    /// Number of the segment that holds the response, or the claim if there is no response yet.
    segment: u64,
}

/// State of one key. `released` lists requests that did not run, each with the number of the
/// segment that released it. If a claim of such a request is stored later, it does not take the
/// key.
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

    /// Drops state that comes from segments below `base`. Each part is dropped by its own segment
    /// number, so all readers agree on the remaining state regardless of when they started reading.
    fn drop_below(&mut self, base: u64) {
        self.holder.take_if(|holder| holder.segment < base);
        self.released.retain(|(segment, _)| *segment >= base);
    }

    fn is_empty(&self) -> bool {
        self.holder.is_none() && self.released.is_empty()
    }
}

/// All keys of the segments `base..next`.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyTable {
    pub(super) base: u64,
    pub(super) next: u64,
    keys: BTreeMap<CompactString, Entry>,
    /// Pairs of a segment number and a key that the segment mentions, for dropping trimmed state.
    by_segment: BTreeSet<(u64, CompactString)>,
    /// When this writer first read each segment.
    first_read_at: BTreeMap<u64, Time>,
}

impl KeyTable {
    /// Number of keys in memory.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// The request that holds `key`, if any.
    pub(super) fn holder(&self, key: &str) -> Option<&Holder> {
        self.keys.get(key)?.holder.as_ref()
    }

    /// Whether a settlement says that `request` did not run under `key`.
    pub(super) fn is_released(&self, key: &str, request: &str) -> bool {
        self.keys
            .get(key)
            .is_some_and(|entry| entry.is_released(request))
    }

    /// Applies `segment` as number `next`.
    pub(super) fn apply(&mut self, now: Time, segment: &Segment) {
        for settlement in &segment.settlements {
            self.apply_settlement(now, settlement);
        }
        for claim in &segment.claims {
            self.apply_claim(now, claim);
        }
        self.first_read_at.insert(self.next, now);
        self.next += 1;
    }

    /// Raises the base and drops state from segments below it. A base above `next` means that other
    /// writers trimmed segments that this writer has not read; reading goes on at the base.
    pub(super) fn advance_base(&mut self, base: u64) {
        self.base = self.base.max(base);
        self.next = self.next.max(self.base);
        self.first_read_at = self.first_read_at.split_off(&self.base);
        let kept = self
            .by_segment
            .split_off(&(self.base, CompactString::default()));
        for (_, key) in std::mem::replace(&mut self.by_segment, kept) {
            let Some(entry) = self.keys.get_mut(&key) else {
                continue;
            };
            entry.drop_below(self.base);
            if entry.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    /// The base to trim to, which keeps only segments first read less than `retention` ago.
    pub(super) fn trim_target(&self, now: Time, retention: Duration) -> u64 {
        let oldest_kept = self
            .first_read_at
            .iter()
            .find(|(_, first_read_at)| now.since(**first_read_at) < retention);
        oldest_kept.map_or(self.next, |(number, _)| *number)
    }

    /// A later claim always replaces an earlier one: its writer had read all earlier segments and
    /// found the key free, possibly under a higher base that this reader does not know yet.
    fn apply_claim(&mut self, now: Time, claim: &Claim) {
        let segment = self.next;
        let entry = self.entry_mut(&claim.key);
        if entry.is_released(&claim.request) {
            return;
        }
        entry.holder = Some(Holder {
            request: claim.request.clone(),
            digest: claim.digest,
            deadline: now + Duration::from_millis(claim.left_ms),
            response: None,
            segment,
        });
    }

    fn apply_settlement(&mut self, now: Time, settlement: &Settlement) {
        let segment = self.next;
        let entry = self.entry_mut(&settlement.key);
        let Some(response) = &settlement.outcome else {
            let released = (segment, settlement.request.clone());
            entry.released.push_back(released);
            if entry.released.len() > MAX_RELEASED_PER_KEY {
                entry.released.pop_front();
            }
            let is_own_claim = |h: &Holder| h.request == settlement.request && h.response.is_none();
            if entry.holder.as_ref().is_some_and(is_own_claim) {
                entry.holder = None;
            }
            return;
        };
        let holder = entry.holder.get_or_insert_with(|| Holder {
            request: settlement.request.clone(),
            digest: settlement.digest,
            deadline: now,
            response: None,
            segment,
        });
        if holder.request == settlement.request {
            holder.response = Some(response.clone());
            holder.segment = segment;
        }
    }

    fn entry_mut(&mut self, key: &CompactString) -> &mut Entry {
        self.by_segment.insert((self.next, key.clone()));
        self.keys.entry(key.clone()).or_default()
    }
}
