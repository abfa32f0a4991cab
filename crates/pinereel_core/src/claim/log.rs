//! One shard's log at one writer.

use super::{Action, Claim, Event, Limits, Record, Segment, Settle, Verdict, table::Table};
use crate::time::Time;
use compact_str::{CompactString, format_compact};
use std::{
    collections::{BTreeSet, VecDeque},
    mem,
    time::Duration,
};

/// Most trims a window: a trim takes the segments of a sixteenth of the window at once.
const TRIMS: u32 = 16;

/// A claim that has no verdict yet.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    claim: Claim,
    deadline: Time,
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
    writer: CompactString,
    writes: u64,
    pub(super) table: Table,
    asks: VecDeque<Ask>,
    settles: VecDeque<Settle>,
    pub(super) phase: Phase,
    pub(super) read_at: Time,
    trimmed_at: Time,
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
        let verdict = match self
            .judge(now, &ask.claim)
            .or_else(|| self.judge_open(&ask.claim))
        {
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
    fn judge(&self, now: Time, claim: &Claim) -> Option<Verdict> {
        let holder = self.table.holder(&claim.key)?;
        let verdict = match &holder.record {
            _ if holder.digest != claim.digest => Verdict::KeyConflict,
            Some(record) => Verdict::Repeat(record.clone()),
            None if now < holder.until => Verdict::InProgress,
            None => Verdict::ClaimUnknown,
        };
        Some(verdict)
    }

    /// The verdict by claims that are not in the log yet.
    fn judge_open(&self, claim: &Claim) -> Option<Verdict> {
        let open = self
            .batch()
            .into_iter()
            .flat_map(|batch| &batch.asks)
            .chain(&self.asks);
        let other = open
            .map(|ask| &ask.claim)
            .find(|other| other.key == claim.key)?;
        Some(if other.digest == claim.digest {
            Verdict::InProgress
        } else {
            Verdict::KeyConflict
        })
    }

    fn on_settle(&mut self, settle: Settle, out: &mut Vec<Action>) {
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
    pub(super) fn decide(&mut self, batch: Batch, out: &mut Vec<Action>) {
        for settle in batch.segment.settles {
            out.push(Action::Settled {
                request: settle.request,
                stored: true,
            });
        }
        for ask in batch.asks {
            let claim = &ask.claim;
            if !ask.answered && !self.table.is_released(&claim.key, &claim.request) {
                out.push(reply(&ask, Verdict::Granted));
            } else {
                self.release(ask.claim);
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

    pub(super) fn refuse_waiting(&mut self, out: &mut Vec<Action>) {
        let refused = self.asks.drain(..);
        out.extend(refused.map(|ask| reply(&ask, Verdict::NotClaimed)));
    }

    /// Starts the next call if none is open.
    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Idle) {
            return;
        }
        let settles = self.take_settles();
        let asks = self.take_asks(now, &settles, out);
        if !settles.is_empty() || !asks.is_empty() {
            self.writes += 1;
            let write_id = format_compact!("{}.{}", self.writer, self.writes);
            let claims = asks.iter().map(|ask| ask.claim.clone()).collect();
            let segment = Segment {
                write_id,
                settles,
                claims,
            };
            self.create(
                Batch {
                    n: self.table.next,
                    segment,
                    asks,
                    doubtful: false,
                },
                out,
            );
            return;
        }
        let to = self.table.trim_to(now, self.limits.window);
        let rested = now.since(self.trimmed_at) >= self.limits.window / TRIMS;
        if to > self.table.base && rested {
            self.trimmed_at = now;
            self.phase = Phase::Trimming;
            out.push(Action::Trim {
                from: self.table.base,
                to,
            });
        } else if now.since(self.read_at) >= self.limits.refresh {
            self.read(out);
        }
    }

    fn take_settles(&mut self) -> Vec<Settle> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some(settle) = self.settles.front() {
            bytes += settle.outcome.as_ref().map_or(0, Record::body_len);
            if taken.len() >= self.limits.batch || (bytes > self.limits.bytes && !taken.is_empty())
            {
                break;
            }
            taken.extend(self.settles.pop_front());
        }
        taken
    }

    /// Claims for the next segment. Those whose key was taken meanwhile are answered.
    fn take_asks(&mut self, now: Time, settles: &[Settle], out: &mut Vec<Action>) -> Vec<Ask> {
        let freed: BTreeSet<_> = settles
            .iter()
            .filter(|settle| settle.outcome.is_none())
            .map(|settle| settle.request.clone())
            .collect();
        let mut taken = Vec::new();
        while taken.len() < self.limits.batch {
            let Some(mut ask) = self.asks.pop_front() else {
                break;
            };
            ask.claim.left_ms =
                u64::try_from(ask.deadline.since(now).as_millis()).unwrap_or(u64::MAX);
            let free = |key: &str| {
                self.table
                    .holder(key)
                    .is_some_and(|h| h.record.is_none() && freed.contains(&h.request))
            };
            let verdict = if self.table.is_released(&ask.claim.key, &ask.claim.request) {
                Some(Verdict::NotClaimed)
            } else {
                self.judge(now, &ask.claim)
                    .filter(|_| !free(&ask.claim.key))
            };
            match verdict {
                Some(verdict) => out.push(reply(&ask, verdict)),
                None => taken.push(ask),
            }
        }
        taken
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

fn reply(ask: &Ask, verdict: Verdict) -> Action {
    Action::Reply {
        request: ask.claim.request.clone(),
        verdict,
    }
}
