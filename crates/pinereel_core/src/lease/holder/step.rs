//! What a candidate does about each event.

use super::{Call, Holder, Sent, View};
use crate::{
    hash,
    lease::{Action, Cooldown, Event, Lease, RemainingCooldown, cooldown::Writer},
    time::Time,
};
use compact_str::{CompactString, format_compact};
use std::{mem, time::Duration};

impl Holder {
    /// Takes one event and returns what to do.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match &event {
            Event::Unknown | Event::Failed => self.away = true,
            Event::Read(_) | Event::Written(_) if mem::take(&mut self.away) => {
                self.returned_at = Some(now);
            }
            _ => {}
        }
        match event {
            Event::Read(found) => self.on_read(now, found),
            Event::Written(version) => self.on_written(now, version),
            Event::Conflict | Event::Unknown => self.on_undecided(now),
            Event::Failed => self.on_failed(now),
            Event::Tick => {}
            Event::Drain => {
                self.draining = true;
                self.due = now;
            }
        }
        self.next(now).into_iter().collect()
    }

    fn on_read(&mut self, now: Time, found: Option<(u64, Lease)>) {
        self.call = Call::None;
        let sent = self.sent.take();
        let Some((version, lease)) = found else {
            self.view = None;
            self.absent_since.get_or_insert(now);
            self.look_again(now, sent.is_some());
            return;
        };
        self.absent_since = None;
        if let Some(sent) = sent
            .as_ref()
            .filter(|sent| sent.lease.write_id == lease.write_id)
        {
            self.hold(now, version, sent.clone());
            return;
        }
        let known = self.view.as_ref().filter(|view| view.version == version);
        let since = known.map_or(now, |view| view.since);
        let restarted = self.is_predecessor(&lease.holder);
        self.view = Some(View {
            version,
            lease,
            since,
        });
        if !self.owns() {
            self.until = Time::ZERO;
        }
        let uncontested = self.owns() || restarted;
        // A lost write may still land: a contender gives it time to. A renewal must not wait: it
        // makes the lost write void, and the duty would rest for 0.8 s after each outage.
        self.look_again(now, sent.is_some() && !uncontested);
    }

    /// Sets when to look again: when the lease may be taken, if that is sooner and nothing `hinders`.
    fn look_again(&mut self, now: Time, hinders: bool) {
        let look = now + self.jittered(self.limits.retry);
        let ripe = self.ripe().unwrap_or(now).max(now);
        self.due = if hinders { look } else { look.min(ripe) };
    }

    fn on_written(&mut self, now: Time, version: u64) {
        if let Call::Write(sent) = mem::replace(&mut self.call, Call::None) {
            self.hold(now, version, sent);
        }
    }

    /// The write stands: the time counts from when it was sent.
    fn hold(&mut self, now: Time, version: u64, sent: Sent) {
        if sent.lease.holder == self.id {
            let lasts = self.acts.unwrap_or(self.lasts(self.limits.duration));
            self.until = self.until.max(sent.at + lasts);
            self.cooldown = Some((sent.lease.fence, sent.cooldown));
        }
        self.due = sent.at + self.jittered(self.pause());
        self.view = Some(View {
            version,
            lease: sent.lease,
            since: now,
        });
    }

    fn on_undecided(&mut self, now: Time) {
        if let Call::Write(sent) = mem::replace(&mut self.call, Call::None) {
            self.sent = Some(sent);
            self.due = now;
        }
    }

    fn on_failed(&mut self, now: Time) {
        self.call = Call::None;
        self.due = now + self.jittered(self.limits.retry);
    }

    fn next(&mut self, now: Time) -> Option<Action> {
        if now < self.due || !matches!(self.call, Call::None) || self.is_released() {
            return None;
        }
        if self.sent.is_some() {
            return Some(self.read());
        }
        // While the API is away nobody can renew, so that what was seen before says nothing.
        let may_take = match self.ripe() {
            Some(ripe) => now >= ripe && !self.away,
            None => true,
        };
        let Some(View { version, lease, .. }) = self.view.clone() else {
            return Some(self.first(now, may_take));
        };
        if self.draining {
            return Some(self.write(now, Some(version), lease.fence, CompactString::default()));
        }
        if !may_take {
            return Some(self.read());
        }
        let fence = lease.fence + u64::from(!self.owns());
        Some(self.write(now, Some(version), fence, self.id.clone()))
    }

    /// Nothing was found: look first, then create.
    fn first(&mut self, now: Time, may_take: bool) -> Action {
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
        self.writes += 1;
        let write_id = format_compact!("{}.{}", self.id, self.writes);
        let duration_ms = millis(self.limits.duration);
        let lease = Lease {
            holder,
            fence,
            duration_ms,
            write_id,
            address: self.address.clone(),
            acts_ms: self.acts.map(millis),
            remaining_cooldown: self.cooldown_ends.map(|(own, others)| RemainingCooldown {
                own_ms: millis(own.since(now)),
                other_ms: millis(others.since(now)),
            }),
        };
        self.call = Call::Write(Sent {
            at: now,
            lease: lease.clone(),
            cooldown: self.cooldown_after(now),
        });
        Action::Write { expected, lease }
    }

    /// From when on this candidate may act if its next write takes effect.
    fn cooldown_after(&self, now: Time) -> Cooldown {
        let Some(View { lease, since, .. }) = &self.view else {
            // Nobody had it before.
            return Cooldown::EndsAt(Time::ZERO);
        };
        if self.owns() {
            return self.cooldown().unwrap_or(Cooldown::IdleSince(now));
        }
        let writer = if !self.is_predecessor(&lease.holder) {
            Writer::Other
        } else if lease.address == self.address {
            Writer::PreviousRun
        } else {
            Writer::SameName
        };
        let lasts = match lease.acts_ms {
            Some(acts_ms) => Duration::from_millis(acts_ms),
            None => self.lasts(Duration::from_millis(lease.duration_ms)),
        };
        Cooldown::after(lease, writer, *since, lasts, now)
    }

    /// Pause between renewals; the longest that jitter makes of it is shorter than the holder acts.
    fn pause(&self) -> Duration {
        let third = self.limits.duration / 3;
        self.acts.map_or(third, |acts| third.min(acts * 5 / 8))
    }

    /// How long a holder may act after a write of this duration.
    pub(super) const fn lasts(&self, duration: Duration) -> Duration {
        duration.saturating_sub(self.limits.margin)
    }

    /// Between 3/4 and 5/4 of `base`, so that candidates don't call in step.
    fn jittered(&self, base: Duration) -> Duration {
        let spread = hash::score(self.writes, &self.id) % 512;
        base * (768 + u32::try_from(spread).expect("below 512")) / 1024
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
