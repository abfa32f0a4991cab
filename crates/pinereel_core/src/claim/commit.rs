//! What a [`Log`] calls next: the next segment, a trim, or a read.

use super::{
    Action, Record, Segment, Settle, Verdict,
    log::{Ask, Batch, Log, Phase, judge_by, reply},
};
use crate::time::Time;
use compact_str::format_compact;
use std::{collections::BTreeSet, mem};

/// Most trims a window: a trim takes the segments of a sixteenth of the window at once.
const TRIMS: u32 = 16;

impl Log {
    /// Starts the next call if none is open.
    pub(super) fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Idle) {
            return;
        }
        if mem::take(&mut self.recheck) && now.since(self.fresh_at) >= self.limits.recheck {
            self.read(out);
            return;
        }
        let settles = if self.asks.is_empty() && self.lingers(now) {
            Vec::new()
        } else {
            self.take_settles()
        };
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

    /// Whether the settlements that wait may wait on.
    fn lingers(&self, now: Time) -> bool {
        self.settles.len() < self.limits.batch
            && now.since(self.settled_at) < self.limits.linger
            && self.settles.iter().all(|settle| settle.outcome.is_some())
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
                    .or_else(|| judge_by(&taken, &ask.claim))
            };
            match verdict {
                Some(verdict) => out.push(reply(&ask, verdict)),
                None => taken.push(ask),
            }
        }
        taken
    }
}
