//! One shard's log at one writer.

use super::{
    Action, Claim, Event, Limits, Record, Segment, Settle, Verdict,
    table::{Holder, Table},
};
use crate::time::Time;
use compact_str::CompactString;
use std::{collections::VecDeque, mem, time::Duration};

/// A claim that has no verdict yet.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) claim: Claim,
    pub(super) deadline: Time,
    /// Answered before its segment was decided; it must not be granted any more.
    answered: bool,
}

/// A segment whose fate is not settled.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub(super) n: u64,
    pub(super) segment: Segment,
    pub(super) asks: Vec<Ask>,
    /// Whether an earlier create of the very same segment may still take effect.
    pub(super) doubtful: bool,
}

/// The one call that is open, or what is to be called after a failure.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    Idle,
    Reading,
    Creating(Batch),
    /// Created; whether the number was fresh is being asked.
    Checking(Batch),
    /// It is being read whether the segment exists.
    Resolving(Batch),
    Trimming,
    /// A call failed; it is tried again at the time.
    Waiting(Time, Box<Phase>),
}

/// The log of one shard at one writer. See the module's description.
#[derive(Clone, Debug)]
pub struct Log {
    pub(super) limits: Limits,
    pub(super) writer: CompactString,
    pub(super) writes: u64,
    pub(super) table: Table,
    pub(super) asks: VecDeque<Ask>,
    pub(super) settles: VecDeque<Settle>,
    pub(super) phase: Phase,
    pub(super) read_at: Time,
    /// When the table was last known to hold all that was written.
    pub(super) fresh_at: Time,
    /// When the oldest settlement came that waits.
    pub(super) settled_at: Time,
    /// A claim waits for the log to be read again.
    pub(super) recheck: bool,
    pub(super) trimmed_at: Time,
}

impl Log {
    /// A log that has read nothing. `writer` must be unique to this start of the process. The
    /// returned action is the first read.
    pub fn new(now: Time, writer: impl Into<CompactString>, limits: Limits) -> (Self, Vec<Action>) {
        let log = Self {
            limits,
            writer: writer.into(),
            writes: 0,
            table: Table::default(),
            asks: VecDeque::new(),
            settles: VecDeque::new(),
            phase: Phase::Reading,
            read_at: now,
            fresh_at: now,
            settled_at: now,
            recheck: false,
            trimmed_at: Time::ZERO,
        };
        (log, vec![Action::Read { from: 0 }])
    }

    /// Number of keys in memory.
    pub fn keys(&self) -> usize {
        self.table.len()
    }

    /// Whether no call is open and nothing waits. A writer that stops may be dropped then.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.asks.is_empty() && self.settles.is_empty()
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match event {
            Event::Claim {
                request,
                key,
                digest,
                left,
            } => {
                let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                let claim = Claim {
                    key,
                    digest,
                    request,
                    left_ms,
                };
                let ask = Ask {
                    claim,
                    deadline: now + left,
                    answered: false,
                };
                self.on_claim(now, ask, left, &mut out);
            }
            Event::Settle {
                request,
                key,
                digest,
                outcome,
            } => {
                self.on_settle(
                    now,
                    Settle {
                        key,
                        request,
                        digest,
                        outcome,
                    },
                    &mut out,
                );
            }
            Event::Created => self.on_created(&mut out),
            Event::NotCreated => self.on_not_created(now, &mut out),
            Event::Conflict | Event::Unknown => self.on_undecided(&mut out),
            Event::Read { segments, base } => self.on_read(now, segments, base, &mut out),
            Event::Base(base) => self.on_base(now, base, &mut out),
            Event::Failed => self.on_failed(now, &mut out),
            Event::Tick => self.on_tick(now, &mut out),
        }
        self.pump(now, &mut out);
        out
    }

    fn on_claim(&mut self, now: Time, ask: Ask, left: Duration, out: &mut Vec<Action>) {
        let outdated = self.is_outdated(now, &ask.claim.key) && self.has_room(left);
        let known = self.judge(now, &ask.claim);
        let verdict = match known.or_else(|| self.judge_open(&ask.claim)) {
            Some(_) if outdated => {
                self.recheck = true;
                None
            }
            Some(verdict) => Some(verdict),
            None if !self.has_room(left) => Some(Verdict::NotClaimed),
            None => None,
        };
        match verdict {
            Some(verdict) => out.push(reply(&ask, verdict)),
            None => self.asks.push_back(ask),
        }
    }

    /// An outage refuses at once. So does a full batch, a full table, or a deadline that the
    /// window could not outlast.
    fn has_room(&self, left: Duration) -> bool {
        !matches!(self.phase, Phase::Waiting(..))
            && self.asks.len() < self.limits.waiting
            && self.table.len() + self.asks.len() + self.batch_len() < self.limits.keys
            && left < self.limits.window
    }

    /// The verdict by the log alone; `None` if the key is free.
    pub(super) fn judge(&self, now: Time, claim: &Claim) -> Option<Verdict> {
        let holder = self.table.holder(&claim.key)?;
        let verdict = match &holder.record {
            _ if holder.digest != claim.digest => Verdict::KeyConflict,
            Some(record) => Verdict::Repeat(record.clone()),
            None if now < holder.until => Verdict::InProgress,
            None => Verdict::ClaimUnknown,
        };
        Some(verdict)
    }

    /// Whether the key is held without an outcome, as far as was last read, too long ago to say so.
    fn is_outdated(&self, now: Time, key: &str) -> bool {
        let open = |holder: &Holder| holder.record.is_none();
        now.since(self.fresh_at) >= self.limits.recheck && self.table.holder(key).is_some_and(open)
    }

    /// The verdict by claims that are not in the log yet.
    fn judge_open(&self, claim: &Claim) -> Option<Verdict> {
        let open = self
            .batch()
            .into_iter()
            .flat_map(|batch| &batch.asks)
            .chain(&self.asks);
        judge_by(open, claim)
    }

    fn on_settle(&mut self, now: Time, settle: Settle, out: &mut Vec<Action>) {
        if settle.outcome.is_none() {
            self.abandon(&settle.request, out);
        }
        if self.settles.len() >= self.limits.waiting {
            out.push(Action::Settled {
                request: settle.request,
                stored: false,
            });
            return;
        }
        if self.settles.is_empty() {
            self.settled_at = now;
        }
        let outcome = settle.outcome.map(Record::bounded);
        self.settles.push_back(Settle { outcome, ..settle });
    }

    /// The entry that got the request gave it up: its claim must not be granted any more.
    fn abandon(&mut self, request: &CompactString, out: &mut Vec<Action>) {
        if let Some(at) = self
            .asks
            .iter()
            .position(|ask| ask.claim.request == *request)
        {
            out.extend(
                self.asks
                    .remove(at)
                    .map(|ask| reply(&ask, Verdict::NotClaimed)),
            );
        }
        let Some(batch) = self.batch_mut() else {
            return;
        };
        let open = |ask: &&mut Ask| ask.claim.request == *request && !ask.answered;
        if let Some(ask) = batch.asks.iter_mut().find(open) {
            ask.answered = true;
            out.push(reply(ask, Verdict::NotClaimed));
        }
    }

    /// The segment of `batch` is in the log and was just applied.
    pub(super) fn decide(&mut self, now: Time, batch: Batch, out: &mut Vec<Action>) {
        // All earlier segments were read, or the number would have been taken.
        self.fresh_at = now;
        for settle in batch.segment.settles {
            out.push(Action::Settled {
                request: settle.request,
                stored: true,
            });
        }
        for ask in batch.asks {
            if ask.answered {
                self.release(ask.claim);
            } else if self.table.is_released(&ask.claim.key, &ask.claim.request) {
                out.push(reply(&ask, Verdict::NotClaimed));
            } else {
                out.push(reply(&ask, Verdict::Granted));
            }
        }
    }

    /// Frees the key of a claim that was answered before it was stored.
    fn release(&mut self, claim: Claim) {
        let Claim {
            key,
            digest,
            request,
            ..
        } = claim;
        if self.settles.iter().all(|settle| settle.request != request) {
            self.settles.push_back(Settle {
                key,
                request,
                digest,
                outcome: None,
            });
        }
    }

    /// Returns what is still open of a batch that is certainly not in the log.
    pub(super) fn put_back(&mut self, batch: Batch) {
        for ask in batch.asks.into_iter().rev().filter(|ask| !ask.answered) {
            self.asks.push_front(ask);
        }
        for settle in batch.segment.settles.into_iter().rev() {
            self.settles.push_front(settle);
        }
    }

    /// Answers claims past their deadline. Only a grant lets a request run, and there will be none,
    /// so "not run" is true whatever becomes of the segment.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let (late, open) = mem::take(&mut self.asks)
            .into_iter()
            .partition(|a| a.deadline <= now);
        self.asks = open;
        let late: VecDeque<Ask> = late;
        out.extend(late.iter().map(|ask| reply(ask, Verdict::NotClaimed)));
        let Some(batch) = self.batch_mut() else {
            return;
        };
        for ask in batch
            .asks
            .iter_mut()
            .filter(|a| !a.answered && a.deadline <= now)
        {
            ask.answered = true;
            out.push(reply(ask, Verdict::NotClaimed));
        }
    }

    /// Answers what waits by what was last read.
    pub(super) fn refuse_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        self.recheck = false;
        for ask in mem::take(&mut self.asks) {
            let known = self.judge(now, &ask.claim);
            out.push(reply(&ask, known.unwrap_or(Verdict::NotClaimed)));
        }
    }

    fn batch(&self) -> Option<&Batch> {
        match &self.phase {
            Phase::Creating(batch) | Phase::Checking(batch) | Phase::Resolving(batch) => {
                Some(batch)
            }
            Phase::Waiting(_, phase) => match &**phase {
                Phase::Creating(b) | Phase::Checking(b) | Phase::Resolving(b) => Some(b),
                _ => None,
            },
            _ => None,
        }
    }

    fn batch_mut(&mut self) -> Option<&mut Batch> {
        match &mut self.phase {
            Phase::Creating(batch) | Phase::Checking(batch) | Phase::Resolving(batch) => {
                Some(batch)
            }
            Phase::Waiting(_, phase) => match &mut **phase {
                Phase::Creating(b) | Phase::Checking(b) | Phase::Resolving(b) => Some(b),
                _ => None,
            },
            _ => None,
        }
    }

    fn batch_len(&self) -> usize {
        self.batch().map_or(0, |batch| batch.asks.len())
    }
}

/// The verdict if one of `asks` is for the same key.
pub(super) fn judge_by<'a>(
    asks: impl IntoIterator<Item = &'a Ask>,
    claim: &Claim,
) -> Option<Verdict> {
    let mut claims = asks.into_iter().map(|ask| &ask.claim);
    let other = claims.find(|other| other.key == claim.key)?;
    Some(if other.digest == claim.digest {
        Verdict::InProgress
    } else {
        Verdict::KeyConflict
    })
}

pub(super) fn reply(ask: &Ask, verdict: Verdict) -> Action {
    Action::Reply {
        request: ask.claim.request.clone(),
        verdict,
    }
}
