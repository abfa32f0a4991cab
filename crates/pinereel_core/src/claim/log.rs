//! Claims, settlements and verdicts of one shard's log: the state machine of one writer.

use super::{
    Action, Claim, Event, Limits, Segment, Settlement, StoredResponse, Verdict,
    key_table::{Holder, KeyTable},
};
use crate::time::Time;
use compact_str::CompactString;
use std::{collections::VecDeque, mem, time::Duration};

/// A claim without a stored verdict yet.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) claim: Claim,
    /// Deadline of the request; at this time the claim is refused.
    pub(super) deadline: Time,
    /// Already answered while its segment was in flight, so it must not be granted any more.
    answered: bool,
}

/// The segment that is being written, and the claims in it.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub(super) number: u64,
    pub(super) segment: Segment,
    pub(super) pending_claims: Vec<PendingClaim>,
    /// Whether an earlier create of this same segment may have taken effect or still may.
    pub(super) maybe_stored: bool,
}

/// The call in flight, or the call to retry after a failure.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    Idle,
    Reading,
    Creating(Batch),
    /// The segment was created; the base is being read to check that its number was not trimmed.
    CheckingBase(Batch),
    /// The result of the create is unknown; the log is being read to see whether the segment
    /// exists.
    Resolving(Batch),
    Trimming,
    /// A call failed and is retried at this time.
    Retrying(Time, Box<Phase>),
}

/// State machine of one writer of one shard. See the [module documentation](super).
#[derive(Clone, Debug)]
pub struct Log {
    pub(super) limits: Limits,
    pub(super) writer_id: CompactString,
    /// Number of segments built so far, used in write ids.
    pub(super) write_count: u64,
    pub(super) table: KeyTable,
    pub(super) pending_claims: VecDeque<PendingClaim>,
    pub(super) pending_settlements: VecDeque<Settlement>,
    pub(super) phase: Phase,
    pub(super) last_read_at: Time,
    /// When the table was last known to hold all stored segments.
    pub(super) up_to_date_at: Time,
    /// Arrival time of the oldest queued settlement.
    pub(super) oldest_settlement_at: Time,
    /// Whether a queued claim needs the log to be read again.
    pub(super) recheck_pending: bool,
    pub(super) last_trim_at: Time,
}

impl Log {
    /// Creates a log that has read nothing. `writer_id` must be unique to this start of the
    /// process, because write ids are derived from it. The returned action is the first read.
    pub fn new(
        now: Time,
        writer_id: impl Into<CompactString>,
        limits: Limits,
    ) -> (Self, Vec<Action>) {
        let log = Self {
            limits,
            writer_id: writer_id.into(),
            write_count: 0,
            table: KeyTable::default(),
            pending_claims: VecDeque::new(),
            pending_settlements: VecDeque::new(),
            phase: Phase::Reading,
            last_read_at: now,
            up_to_date_at: now,
            oldest_settlement_at: now,
            recheck_pending: false,
            last_trim_at: Time::ZERO,
        };
        (log, vec![Action::Read { from: 0 }])
    }

    /// Number of keys in memory.
    pub fn key_count(&self) -> usize {
        self.table.len()
    }

    /// Whether no call is in flight and nothing is queued. Only then can the log be dropped without
    /// losing claims or settlements.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
            && self.pending_claims.is_empty()
            && self.pending_settlements.is_empty()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire_claims(now, &mut actions);
        match event {
            Event::Claim {
                request,
                key,
                digest,
                time_left,
            } => {
                let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
                let claim = Claim {
                    key,
                    digest,
                    request,
                    left_ms,
                };
                let pending = PendingClaim {
                    claim,
                    deadline: now + time_left,
                    answered: false,
                };
                self.on_claim(now, pending, time_left, &mut actions);
            }
            Event::Settle {
                request,
                key,
                digest,
                outcome,
            } => {
                self.on_settle(
                    now,
                    Settlement {
                        key,
                        request,
                        digest,
                        outcome,
                    },
                    &mut actions,
                );
            }
            Event::Created => self.on_created(&mut actions),
            Event::NotCreated => self.on_not_created(now, &mut actions),
            Event::Conflict | Event::CreateUnknown => self.on_create_unresolved(&mut actions),
            Event::Read { segments, base } => self.on_read(now, segments, base, &mut actions),
            Event::Base(base) => self.on_base(now, base, &mut actions),
            Event::CallFailed => self.on_failed(now, &mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        self.start_next_call(now, &mut actions);
        actions
    }

    fn on_claim(
        &mut self,
        now: Time,
        pending: PendingClaim,
        time_left: Duration,
        actions: &mut Vec<Action>,
    ) {
        let stale = self.needs_recheck(now, &pending.claim.key) && self.can_accept(time_left);
        let stored = self.stored_verdict(now, &pending.claim);
        let verdict = match stored.or_else(|| self.pending_verdict(&pending.claim)) {
            Some(_) if stale => {
                self.recheck_pending = true;
                None
            }
            Some(verdict) => Some(verdict),
            None if !self.can_accept(time_left) => Some(Verdict::NotClaimed),
            None => None,
        };
        match verdict {
            Some(verdict) => actions.push(reply(&pending, verdict)),
            None => self.pending_claims.push_back(pending),
        }
    }

    /// Whether a new claim can be queued. It is refused during an outage of the object API, if the
    /// queue or the key table is full, or if its deadline lies beyond the retention time.
    fn can_accept(&self, time_left: Duration) -> bool {
        !matches!(self.phase, Phase::Retrying(..))
            && self.pending_claims.len() < self.limits.max_waiting
            && self.table.len() + self.pending_claims.len() + self.batch_len()
                < self.limits.max_keys
            && time_left < self.limits.retention
    }

    /// Verdict according to the stored segments alone; `None` if the key is free.
    pub(super) fn stored_verdict(&self, now: Time, claim: &Claim) -> Option<Verdict> {
        let holder = self.table.holder(&claim.key)?;
        let verdict = match &holder.response {
            _ if holder.digest != claim.digest => Verdict::KeyConflict,
            Some(response) => Verdict::Repeat(response.clone()),
            None if now < holder.deadline => Verdict::InProgress,
            None => Verdict::ClaimUnknown,
        };
        Some(verdict)
    }

    /// Whether the last read is too old for a verdict on this key: the key was held without an
    /// outcome, which another writer may have stored since.
    fn needs_recheck(&self, now: Time, key: &str) -> bool {
        let is_open = |holder: &Holder| holder.response.is_none();
        now.since(self.up_to_date_at) >= self.limits.max_read_age
            && self.table.holder(key).is_some_and(is_open)
    }

    /// Verdict according to claims that are in flight or queued.
    fn pending_verdict(&self, claim: &Claim) -> Option<Verdict> {
        let pending = self
            .batch()
            .into_iter()
            .flat_map(|batch| &batch.pending_claims)
            .chain(&self.pending_claims);
        verdict_against(pending, claim)
    }

    fn on_settle(&mut self, now: Time, settlement: Settlement, actions: &mut Vec<Action>) {
        if settlement.outcome.is_none() {
            self.cancel_claim(&settlement.request, actions);
        }
        if self.pending_settlements.len() >= self.limits.max_waiting {
            actions.push(Action::Settled {
                request: settlement.request,
                stored: false,
            });
            return;
        }
        if self.pending_settlements.is_empty() {
            self.oldest_settlement_at = now;
        }
        let outcome = settlement.outcome.map(StoredResponse::bounded);
        self.pending_settlements.push_back(Settlement {
            outcome,
            ..settlement
        });
    }

    /// Answers the claim of a request that its sender has given up. It must not be granted any
    /// more.
    fn cancel_claim(&mut self, request: &CompactString, actions: &mut Vec<Action>) {
        if let Some(at) = self
            .pending_claims
            .iter()
            .position(|pending| pending.claim.request == *request)
        {
            actions.extend(
                self.pending_claims
                    .remove(at)
                    .map(|pending| reply(&pending, Verdict::NotClaimed)),
            );
        }
        let Some(batch) = self.batch_mut() else {
            return;
        };
        let is_open =
            |pending: &&mut PendingClaim| pending.claim.request == *request && !pending.answered;
        if let Some(pending) = batch.pending_claims.iter_mut().find(is_open) {
            pending.answered = true;
            actions.push(reply(pending, Verdict::NotClaimed));
        }
    }

    /// Answers the claims and settlements of `batch`, whose segment is stored and was just applied.
    pub(super) fn on_segment_stored(&mut self, now: Time, batch: Batch, actions: &mut Vec<Action>) {
        // All earlier segments were read, or the create would have found its number taken.
        self.up_to_date_at = now;
        for settlement in batch.segment.settlements {
            actions.push(Action::Settled {
                request: settlement.request,
                stored: true,
            });
        }
        for pending in batch.pending_claims {
            if pending.answered {
                self.release_key(pending.claim);
            } else if self
                .table
                .is_released(&pending.claim.key, &pending.claim.request)
            {
                actions.push(reply(&pending, Verdict::NotClaimed));
            } else {
                actions.push(reply(&pending, Verdict::Granted));
            }
        }
    }

    /// Queues the release of a key whose claim was answered before it was stored.
    fn release_key(&mut self, claim: Claim) {
        let Claim {
            key,
            digest,
            request,
            ..
        } = claim;
        if self
            .pending_settlements
            .iter()
            .all(|settlement| settlement.request != request)
        {
            self.pending_settlements.push_back(Settlement {
                key,
                request,
                digest,
                outcome: None,
            });
        }
    }

    /// Puts the unanswered claims and the settlements of a batch that is not in the log back at the
    /// head of the queues.
    pub(super) fn requeue(&mut self, batch: Batch) {
        for pending in batch
            .pending_claims
            .into_iter()
            .rev()
            .filter(|pending| !pending.answered)
        {
            self.pending_claims.push_front(pending);
        }
        for settlement in batch.segment.settlements.into_iter().rev() {
            self.pending_settlements.push_front(settlement);
        }
    }

    /// Refuses claims past their deadline. Only a grant lets a request run and none will follow, so
    /// `NotClaimed` is correct whether or not the segment gets stored.
    fn expire_claims(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (late, open) = mem::take(&mut self.pending_claims)
            .into_iter()
            .partition(|pending| pending.deadline <= now);
        self.pending_claims = open;
        let late: VecDeque<PendingClaim> = late;
        actions.extend(
            late.iter()
                .map(|pending| reply(pending, Verdict::NotClaimed)),
        );
        let Some(batch) = self.batch_mut() else {
            return;
        };
        for pending in batch
            .pending_claims
            .iter_mut()
            .filter(|pending| !pending.answered && pending.deadline <= now)
        {
            pending.answered = true;
            actions.push(reply(pending, Verdict::NotClaimed));
        }
    }

    /// Answers all queued claims according to the last read; claims of free keys are refused.
    pub(super) fn refuse_pending(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.recheck_pending = false;
        for pending in mem::take(&mut self.pending_claims) {
            let stored = self.stored_verdict(now, &pending.claim);
            actions.push(reply(&pending, stored.unwrap_or(Verdict::NotClaimed)));
        }
    }

    fn batch(&self) -> Option<&Batch> {
        match &self.phase {
            Phase::Creating(batch) | Phase::CheckingBase(batch) | Phase::Resolving(batch) => {
                Some(batch)
            }
            Phase::Retrying(_, phase) => match &**phase {
                Phase::Creating(b) | Phase::CheckingBase(b) | Phase::Resolving(b) => Some(b),
                _ => None,
            },
            _ => None,
        }
    }

    fn batch_mut(&mut self) -> Option<&mut Batch> {
        match &mut self.phase {
            Phase::Creating(batch) | Phase::CheckingBase(batch) | Phase::Resolving(batch) => {
                Some(batch)
            }
            Phase::Retrying(_, phase) => match &mut **phase {
                Phase::Creating(b) | Phase::CheckingBase(b) | Phase::Resolving(b) => Some(b),
                _ => None,
            },
            _ => None,
        }
    }

    fn batch_len(&self) -> usize {
        self.batch().map_or(0, |batch| batch.pending_claims.len())
    }
}

/// Verdict on `claim` if one of `pending_claims` is for the same key.
pub(super) fn verdict_against<'a>(
    pending_claims: impl IntoIterator<Item = &'a PendingClaim>,
    claim: &Claim,
) -> Option<Verdict> {
    let mut claims = pending_claims.into_iter().map(|pending| &pending.claim);
    let other = claims.find(|other| other.key == claim.key)?;
    Some(if other.digest == claim.digest {
        Verdict::InProgress
    } else {
        Verdict::KeyConflict
    })
}

pub(super) fn reply(pending: &PendingClaim, verdict: Verdict) -> Action {
    Action::Reply {
        request: pending.claim.request.clone(),
        verdict,
    }
}
