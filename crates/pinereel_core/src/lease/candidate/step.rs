//! The transitions of a candidate: how it handles each event, and which call it makes next.

use super::{Call, Candidate, ReadLease, SentWrite};
use crate::{
    hash,
    lease::{Action, Cooldown, Event, Lease, RemainingCooldown, cooldown::Writer},
    time::Time,
};
use compact_str::{CompactString, format_compact};
use std::{mem, time::Duration};

impl Candidate {
    /// Handles one event and returns the calls to make. Each call must be answered by one event.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match &event {
            Event::Unknown | Event::Failed => self.store_unreachable = true,
            Event::Read(_) | Event::Written(_) if mem::take(&mut self.store_unreachable) => {
                self.store_recovered_at = Some(now);
            }
            _ => {}
        }
        match event {
            Event::Read(found) => self.on_read(now, found),
            Event::Written(version) => self.on_written(now, version),
            Event::Conflict | Event::Unknown => self.on_unresolved(now),
            Event::Failed => self.on_failed(now),
            Event::Tick => {}
            Event::Drain => {
                self.draining = true;
                self.next_call_at = now;
            }
        }
        self.next_action(now).into_iter().collect()
    }

    fn on_read(&mut self, now: Time, found: Option<(u64, Lease)>) {
        self.call = Call::None;
        let sent = self.unresolved_write.take();
        let Some((version, lease)) = found else {
            self.last_read = None;
            self.absent_since.get_or_insert(now);
            self.schedule_read(now, sent.is_some());
            return;
        };
        self.absent_since = None;
        if let Some(sent) = sent
            .as_ref()
            .filter(|sent| sent.lease.write_id == lease.write_id)
        {
            self.confirm_write(now, version, sent.clone());
            return;
        }
        let known = self
            .last_read
            .as_ref()
            .filter(|read| read.version == version);
        let since = known.map_or(now, |read| read.since);
        let is_restart = self.is_previous_run(&lease.holder);
        self.last_read = Some(ReadLease {
            version,
            lease,
            since,
        });
        if !self.is_last_known_holder() {
            self.valid_until = Time::ZERO;
        }
        let uncontested = self.is_last_known_holder() || is_restart;
        // A write whose answer was lost may still take effect, so a contender gives it time. A
        // renewal must not wait: it makes the lost write void, and with a wait the duty would have no
        // holder for 0.8 s after each outage.
        self.schedule_read(now, sent.is_some() && !uncontested);
    }

    /// Schedules the next call: after the retry interval, or already when the lease may be taken. While
    /// an earlier write may still take effect (`write_may_land`), it is always the retry interval.
    fn schedule_read(&mut self, now: Time, write_may_land: bool) {
        let retry_at = now + self.with_jitter(self.timing.retry_interval);
        let takeover_at = self.takeover_at().unwrap_or(now).max(now);
        self.next_call_at = if write_may_land {
            retry_at
        } else {
            retry_at.min(takeover_at)
        };
    }

    fn on_written(&mut self, now: Time, version: u64) {
        if let Call::Write(sent) = mem::replace(&mut self.call, Call::None) {
            self.confirm_write(now, version, sent);
        }
    }

    /// Records that the write took effect. The time for which the holder may act counts from when the
    /// write was sent.
    fn confirm_write(&mut self, now: Time, version: u64, sent: SentWrite) {
        if sent.lease.holder == self.id {
            let acting_time = self
                .max_acting_time
                .unwrap_or(self.acting_time(self.timing.duration));
            self.valid_until = self.valid_until.max(sent.sent_at + acting_time);
            self.cooldown = Some((sent.lease.fence, sent.cooldown));
        }
        self.next_call_at = sent.sent_at + self.with_jitter(self.renewal_interval());
        self.last_read = Some(ReadLease {
            version,
            lease: sent.lease,
            since: now,
        });
    }

    fn on_unresolved(&mut self, now: Time) {
        if let Call::Write(sent) = mem::replace(&mut self.call, Call::None) {
            self.unresolved_write = Some(sent);
            self.next_call_at = now;
        }
    }

    fn on_failed(&mut self, now: Time) {
        self.call = Call::None;
        self.next_call_at = now + self.with_jitter(self.timing.retry_interval);
    }

    fn next_action(&mut self, now: Time) -> Option<Action> {
        if now < self.next_call_at || !matches!(self.call, Call::None) || self.is_released() {
            return None;
        }
        if self.unresolved_write.is_some() {
            return Some(self.read());
        }
        // While the store is unreachable nobody can renew, so an unchanged lease proves nothing.
        let may_take = match self.takeover_at() {
            Some(takeover_at) => now >= takeover_at && !self.store_unreachable,
            None => true,
        };
        let Some(ReadLease { version, lease, .. }) = self.last_read.clone() else {
            return Some(self.read_before_create(now, may_take));
        };
        if self.draining {
            return Some(self.write(now, Some(version), lease.fence, CompactString::default()));
        }
        if !may_take {
            return Some(self.read());
        }
        let fence = lease.fence + u64::from(!self.is_last_known_holder());
        Some(self.write(now, Some(version), fence, self.id.clone()))
    }

    /// There is no known lease: reads first, and creates the lease once a read has found none.
    fn read_before_create(&mut self, now: Time, may_take: bool) -> Action {
        if self.absent_since.is_some() && may_take {
            self.write(now, None, 1, self.id.clone())
        } else {
            self.read()
        }
    }

    fn read(&mut self) -> Action {
        self.call = Call::Read;
        Action::Read
    }

    fn write(
        &mut self,
        now: Time,
        expected: Option<u64>,
        fence: u64,
        holder: CompactString,
    ) -> Action {
        self.write_count += 1;
        let write_id = format_compact!("{}.{}", self.id, self.write_count);
        let duration_ms = millis(self.timing.duration);
        let lease = Lease {
            holder,
            fence,
            duration_ms,
            write_id,
            address: self.address.clone(),
            acts_ms: self.max_acting_time.map(millis),
            remaining_cooldown: self.cooldown_ends.map(|(own, others)| RemainingCooldown {
                own_ms: millis(own.since(now)),
                other_ms: millis(others.since(now)),
            }),
        };
        self.call = Call::Write(SentWrite {
            sent_at: now,
            lease: lease.clone(),
            cooldown: self.cooldown_after(now),
        });
        Action::Write { expected, lease }
    }

    /// The cooldown that applies to this candidate if its next write takes effect.
    fn cooldown_after(&self, now: Time) -> Cooldown {
        let Some(ReadLease { lease, since, .. }) = &self.last_read else {
            // There was no holder before.
            return Cooldown::EndsAt(Time::ZERO);
        };
        if self.is_last_known_holder() {
            return self.cooldown().unwrap_or(Cooldown::IdleSince(now));
        }
        let writer = if !self.is_previous_run(&lease.holder) {
            Writer::Other
        } else if lease.address == self.address {
            Writer::PreviousRun
        } else {
            Writer::SameName
        };
        let acting_time = match lease.acts_ms {
            Some(acts_ms) => Duration::from_millis(acts_ms),
            None => self.acting_time(Duration::from_millis(lease.duration_ms)),
        };
        Cooldown::after(lease, writer, *since, acting_time, now)
    }

    /// Mean interval between renewals. With the largest jitter it is still shorter than the time for
    /// which a holder may act after a write.
    fn renewal_interval(&self) -> Duration {
        let third = self.timing.duration / 3;
        self.max_acting_time
            .map_or(third, |limit| third.min(limit * 5 / 8))
    }

    /// How long a holder may act after a write that is valid for `duration`.
    pub(super) const fn acting_time(&self, duration: Duration) -> Duration {
        duration.saturating_sub(self.timing.clock_margin)
    }

    /// Scales `base` by a pseudo-random factor between 3/4 and 5/4, so that candidates do not call in
    /// step.
    fn with_jitter(&self, base: Duration) -> Duration {
        let spread = hash::rendezvous(self.write_count, &self.id) % 512;
        base * (768 + u32::try_from(spread).expect("below 512")) / 1024
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
