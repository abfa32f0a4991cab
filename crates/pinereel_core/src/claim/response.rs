//! Handles the results of a [`Log`]'s calls to the object API, and retries.

use super::{
    Action, Segment,
    log::{Batch, Log, Phase},
};
use crate::time::Time;
use std::mem;

impl Log {
    pub(super) fn on_created(&mut self, actions: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Creating(batch) => {
                self.phase = Phase::CheckingBase(batch);
                actions.push(Action::ReadBase);
            }
            other => self.phase = other,
        }
    }

    /// Handles a create that conflicted or whose result is unknown. Either way this segment may be
    /// the one that is stored under its number, so the log is read to find out.
    pub(super) fn on_create_unresolved(&mut self, actions: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Creating(mut batch) => {
                batch.maybe_stored = true;
                self.phase = Phase::Resolving(batch);
                actions.push(Action::Read {
                    from: self.table.next,
                });
            }
            other => self.phase = other,
        }
    }

    /// Handles a create without effect, which means that the object API is unavailable. If no earlier
    /// create of the batch may have taken effect, the batch is in no segment and its claims are refused
    /// immediately. Otherwise only the same segment may be sent again under this number.
    pub(super) fn on_not_created(&mut self, now: Time, actions: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Creating(batch) if batch.maybe_stored => self.retry(now, Phase::Creating(batch)),
            Phase::Creating(batch) => {
                self.requeue(batch);
                self.retry(now, Phase::Reading);
            }
            other => self.phase = other,
        }
        self.refuse_pending(now, actions);
    }

    pub(super) fn on_read(
        &mut self,
        now: Time,
        segments: Vec<(u64, Segment)>,
        base: u64,
        actions: &mut Vec<Action>,
    ) {
        let batch = match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Reading => None,
            Phase::Resolving(batch) => Some(batch),
            other => {
                self.phase = other;
                return;
            }
        };
        self.last_read_at = now;
        self.up_to_date_at = now;
        let read_from = self.table.next;
        self.table.advance_base(base);
        let mut is_stored = false;
        for (number, segment) in segments {
            if number == self.table.next {
                self.table.apply(now, &segment);
                is_stored |= batch
                    .as_ref()
                    .is_some_and(|b| b.segment.write_id == segment.write_id);
            }
        }
        let next = self.table.next;
        match batch {
            Some(batch) if is_stored => self.on_segment_stored(now, batch, actions),
            // The segment is absent, but the earlier create may still take effect, so only the
            // same segment may be sent again under this number.
            Some(batch) if next == batch.number => self.retry(now, Phase::Creating(batch)),
            Some(batch) => self.requeue(batch),
            None => {}
        }
        // The base was raised past what this writer has read, so nothing from the base on is read
        // yet.
        if next > read_from && next == base {
            self.read(actions);
        }
    }

    pub(super) fn on_base(&mut self, now: Time, base: u64, actions: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::CheckingBase(batch) if base <= batch.number => {
                self.table.advance_base(base);
                self.table.apply(now, &batch.segment);
                self.on_segment_stored(now, batch, actions);
            }
            Phase::CheckingBase(batch) => {
                // The number had already been used and trimmed, so no reader sees this segment.
                self.requeue(batch);
                self.table.advance_base(base);
                self.read(actions);
            }
            Phase::Trimming => self.table.advance_base(base),
            other => self.phase = other,
        }
    }

    /// Handles a failed read or trim, which means that the object API is unavailable. Queued claims
    /// are in no segment and are refused immediately.
    pub(super) fn on_failed(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.refuse_pending(now, actions);
        self.phase = match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => Phase::Idle,
            Phase::Retrying(at, phase) => Phase::Retrying(at, phase),
            phase => Phase::Retrying(now + self.limits.retry_delay, Box::new(phase)),
        };
    }

    /// Enters `phase` again after the retry delay.
    pub(super) fn retry(&mut self, now: Time, phase: Phase) {
        self.phase = Phase::Retrying(now + self.limits.retry_delay, Box::new(phase));
    }

    pub(super) fn on_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Retrying(at, phase) if now >= at => self.retry_call(*phase, actions),
            other => self.phase = other,
        }
    }

    pub(super) fn retry_call(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        match phase {
            Phase::Creating(batch) => self.create(batch, actions),
            Phase::CheckingBase(_) => {
                actions.push(Action::ReadBase);
                self.phase = phase;
            }
            Phase::Resolving(_) => {
                actions.push(Action::Read {
                    from: self.table.next,
                });
                self.phase = phase;
            }
            _ => self.read(actions),
        }
    }

    pub(super) fn create(&mut self, batch: Batch, actions: &mut Vec<Action>) {
        actions.push(Action::Create {
            number: batch.number,
            segment: batch.segment.clone(),
        });
        self.phase = Phase::Creating(batch);
    }

    pub(super) fn read(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Reading;
        actions.push(Action::Read {
            from: self.table.next,
        });
    }
}
