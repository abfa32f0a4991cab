//! How a [`Log`] goes on after each answer of the object API.

use super::{
    Action, Segment,
    log::{Batch, Log, Phase},
};
use crate::time::Time;
use std::mem;

impl Log {
    pub(super) fn on_created(&mut self, out: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Creating(batch) => {
                self.phase = Phase::Checking(batch);
                out.push(Action::ReadBase);
            }
            other => self.phase = other,
        }
    }

    pub(super) fn on_undecided(&mut self, out: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Creating(mut batch) => {
                batch.doubtful = true;
                self.phase = Phase::Resolving(batch);
                out.push(Action::Read {
                    from: self.table.next,
                });
            }
            other => self.phase = other,
        }
    }

    /// An outage. A batch that was never sent before is certainly in no segment, so its claims are
    /// refused at once; else only the same segment may be sent again.
    pub(super) fn on_not_created(&mut self, now: Time, out: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Creating(batch) if batch.doubtful => self.wait(now, Phase::Creating(batch)),
            Phase::Creating(batch) => {
                self.put_back(batch);
                self.wait(now, Phase::Reading);
            }
            other => self.phase = other,
        }
        self.refuse_waiting(now, out);
    }

    pub(super) fn on_read(
        &mut self,
        now: Time,
        segments: Vec<(u64, Segment)>,
        base: u64,
        out: &mut Vec<Action>,
    ) {
        let batch = match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Reading => None,
            Phase::Resolving(batch) => Some(batch),
            other => {
                self.phase = other;
                return;
            }
        };
        self.read_at = now;
        self.fresh_at = now;
        let asked = self.table.next;
        self.table.raise(base);
        let mut landed = false;
        for (n, segment) in segments {
            if n == self.table.next {
                self.table.apply(now, &segment);
                landed |= batch
                    .as_ref()
                    .is_some_and(|b| b.segment.write_id == segment.write_id);
            }
        }
        let next = self.table.next;
        match batch {
            Some(batch) if landed => self.decide(now, batch, out),
            // Still absent, but the lost create may take effect late: only the very same segment
            // may be sent for this number.
            Some(batch) if next == batch.n => self.wait(now, Phase::Creating(batch)),
            Some(batch) => self.put_back(batch),
            None => {}
        }
        // The base overtook this reader, so nothing from the base on was read yet.
        if next > asked && next == base {
            self.read(out);
        }
    }

    pub(super) fn on_base(&mut self, now: Time, base: u64, out: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Checking(batch) if base <= batch.n => {
                self.table.raise(base);
                self.table.apply(now, &batch.segment);
                self.decide(now, batch, out);
            }
            Phase::Checking(batch) => {
                // Left behind: the number had been used and trimmed. Nothing of it counts.
                self.put_back(batch);
                self.table.raise(base);
                self.read(out);
            }
            Phase::Trimming => self.table.raise(base),
            other => self.phase = other,
        }
    }

    /// An outage: what waits is refused at once, as it is in no segment.
    pub(super) fn on_failed(&mut self, now: Time, out: &mut Vec<Action>) {
        self.refuse_waiting(now, out);
        self.phase = match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => Phase::Idle,
            Phase::Waiting(at, phase) => Phase::Waiting(at, phase),
            phase => Phase::Waiting(now + self.limits.retry, Box::new(phase)),
        };
    }

    pub(super) fn wait(&mut self, now: Time, phase: Phase) {
        self.phase = Phase::Waiting(now + self.limits.retry, Box::new(phase));
    }

    pub(super) fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Waiting(at, phase) if now >= at => self.call_again(*phase, out),
            other => self.phase = other,
        }
    }

    pub(super) fn call_again(&mut self, phase: Phase, out: &mut Vec<Action>) {
        match phase {
            Phase::Creating(batch) => self.create(batch, out),
            Phase::Checking(_) => {
                out.push(Action::ReadBase);
                self.phase = phase;
            }
            Phase::Resolving(_) => {
                out.push(Action::Read {
                    from: self.table.next,
                });
                self.phase = phase;
            }
            _ => self.read(out),
        }
    }

    pub(super) fn create(&mut self, batch: Batch, out: &mut Vec<Action>) {
        out.push(Action::Create {
            n: batch.n,
            segment: batch.segment.clone(),
        });
        self.phase = Phase::Creating(batch);
    }

    pub(super) fn read(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Reading;
        out.push(Action::Read {
            from: self.table.next,
        });
    }
}
