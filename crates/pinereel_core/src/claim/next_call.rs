//! Selects the next call of a [`Log`] to the object API: a create, a trim or a read.

use super::{
    Action, Segment, Settlement, StoredResponse, Verdict,
    log::{Batch, Log, PendingClaim, Phase, reply, verdict_against},
};
use crate::time::Time;
use compact_str::format_compact;
use std::{collections::BTreeSet, mem};

/// Maximum number of trims per retention time, so that one trim deletes the segments of a sixteenth
/// of it.
const TRIMS_PER_RETENTION: u32 = 16;

impl Log {
    /// Starts the next call if none is in flight. A new segment goes before a trim, and a trim
    /// before a periodic read.
    pub(super) fn start_next_call(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Idle) {
            return;
        }
        if mem::take(&mut self.recheck_pending)
            && now.since(self.up_to_date_at) >= self.limits.max_read_age
        {
            self.read(actions);
            return;
        }
        let settlements = if self.pending_claims.is_empty() && self.should_linger(now) {
            Vec::new()
        } else {
            self.take_settlements()
        };
        let pending_claims = self.take_claims(now, &settlements, actions);
        if !settlements.is_empty() || !pending_claims.is_empty() {
            self.write_count += 1;
            let write_id = format_compact!("{}.{}", self.writer_id, self.write_count);
            let claims = pending_claims
                .iter()
                .map(|pending| pending.claim.clone())
                .collect();
            let segment = Segment {
                write_id,
                settlements,
                claims,
            };
            self.create(
                Batch {
                    number: self.table.next,
                    segment,
                    pending_claims,
                    maybe_stored: false,
                },
                actions,
            );
            return;
        }
        let to = self.table.trim_target(now, self.limits.retention);
        let trim_due = now.since(self.last_trim_at) >= self.limits.retention / TRIMS_PER_RETENTION;
        if to > self.table.base && trim_due {
            self.last_trim_at = now;
            self.phase = Phase::Trimming;
            actions.push(Action::Trim {
                from: self.table.base,
                to,
            });
        } else if now.since(self.last_read_at) >= self.limits.refresh_interval {
            self.read(actions);
        }
    }

    /// Whether the queued settlements can wait longer for claims to share a segment with.
    fn should_linger(&self, now: Time) -> bool {
        self.pending_settlements.len() < self.limits.max_batch
            && now.since(self.oldest_settlement_at) < self.limits.linger
            && self
                .pending_settlements
                .iter()
                .all(|settlement| settlement.outcome.is_some())
    }

    fn take_settlements(&mut self) -> Vec<Settlement> {
        let mut bytes = 0;
        let mut settlements = Vec::new();
        while let Some(settlement) = self.pending_settlements.front() {
            bytes += settlement
                .outcome
                .as_ref()
                .map_or(0, StoredResponse::body_len);
            if settlements.len() >= self.limits.max_batch
                || (bytes > self.limits.max_segment_bytes && !settlements.is_empty())
            {
                break;
            }
            settlements.extend(self.pending_settlements.pop_front());
        }
        settlements
    }

    /// Takes claims for the next segment from the queue. Claims whose key was taken since they were
    /// queued are answered instead.
    fn take_claims(
        &mut self,
        now: Time,
        settlements: &[Settlement],
        actions: &mut Vec<Action>,
    ) -> Vec<PendingClaim> {
        let released_requests: BTreeSet<_> = settlements
            .iter()
            .filter(|settlement| settlement.outcome.is_none())
            .map(|settlement| settlement.request.clone())
            .collect();
        let mut claims = Vec::new();
        while claims.len() < self.limits.max_batch {
            let Some(mut pending) = self.pending_claims.pop_front() else {
                break;
            };
            pending.claim.left_ms =
                u64::try_from(pending.deadline.since(now).as_millis()).unwrap_or(u64::MAX);
            let becomes_free = |key: &str| {
                self.table
                    .holder(key)
                    .is_some_and(|h| h.response.is_none() && released_requests.contains(&h.request))
            };
            let verdict = if self
                .table
                .is_released(&pending.claim.key, &pending.claim.request)
            {
                Some(Verdict::NotClaimed)
            } else {
                self.stored_verdict(now, &pending.claim)
                    .filter(|_| !becomes_free(&pending.claim.key))
                    .or_else(|| verdict_against(&claims, &pending.claim))
            };
            match verdict {
                Some(verdict) => actions.push(reply(&pending, verdict)),
                None => claims.push(pending),
            }
        }
        claims
    }
}
