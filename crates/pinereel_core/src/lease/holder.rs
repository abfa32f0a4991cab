//! One candidate for one duty, as a state machine.

use super::{Action, Clear, Event, Lease, Limits, Rests};
use crate::{hash, time::Time};
use compact_str::{CompactString, format_compact};
use std::{mem, time::Duration};

/// After the object API was away, a holder that could not renew meanwhile and still lives has so long
/// to do it before its lease is taken: it finds the API within about a second, and has work in memory
/// that another one would begin anew.
const HEAD_START: Duration = Duration::from_millis(1_200);

/// A write that was sent.
#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    lease: Lease,
    /// From when on the holder may act if it takes effect.
    clear: Clear,
}

/// The one call that is open.
#[derive(Clone, Debug)]
enum Call {
    None,
    Read,
    Write(Sent),
}

/// What was last read of the lease, and when this version was first seen.
#[derive(Clone, Debug)]
struct View {
    version: u64,
    lease: Lease,
    since: Time,
}

/// One candidate for one duty.
#[derive(Clone, Debug)]
pub struct Holder {
    id: CompactString,
    limits: Limits,
    writes: u64,
    view: Option<View>,
    /// Since when reads have found no lease; none if the last one found it, or there was none.
    absent_since: Option<Time>,
    /// How long this candidate lets others go first once the lease is free.
    turn: Duration,
    /// Whether the object API is away: calls failed, and none has been answered since.
    away: bool,
    /// When the object API was last back after it was away.
    returned_at: Option<Time>,
    /// The last write, kept while its outcome is open.
    sent: Option<Sent>,
    call: Call,
    /// When the next call is due.
    due: Time,
    /// Until when this candidate may act.
    until: Time,
    draining: bool,
    /// Fencing token of the last lease held, and from when on its holder might act.
    clear: Option<(u64, Clear)>,
    /// Until when acts must rest after this holder: its own next start's, and others'.
    rests: Option<(Time, Time)>,
    /// Start of the ids that earlier starts of this instance had; empty if there are none.
    own_prefix: CompactString,
    /// Where this candidate can be reached while it holds the lease.
    address: CompactString,
}

impl Holder {
    /// A candidate that has read nothing. `id` must be unique to this start of the process. The
    /// first tick reads.
    pub fn new(now: Time, id: impl Into<CompactString>, limits: Limits) -> Self {
        Self {
            id: id.into(),
            limits,
            writes: 0,
            view: None,
            absent_since: None,
            turn: Duration::ZERO,
            away: false,
            returned_at: None,
            sent: None,
            call: Call::None,
            due: now,
            until: Time::ZERO,
            draining: false,
            clear: None,
            rests: None,
            own_prefix: CompactString::default(),
            address: CompactString::default(),
        }
    }

    /// Names the address in the lease while this candidate holds it.
    #[must_use]
    pub fn reached_at(mut self, address: impl Into<CompactString>) -> Self {
        self.address = address.into();
        self
    }

    /// Takes a lease at once if its holder's id starts with `prefix`: that is an earlier start of
    /// this instance, which has ended.
    #[must_use]
    pub fn succeeding(mut self, prefix: impl Into<CompactString>) -> Self {
        self.own_prefix = prefix.into();
        self
    }

    /// When the next call is due.
    pub const fn due(&self) -> Time {
        self.due
    }

    /// Whether this candidate only looks at what others have: it holds nothing, and no write of its
    /// own is open.
    pub fn follows(&self) -> bool {
        let own = self
            .view
            .as_ref()
            .is_some_and(|view| view.lease.holder == self.id);
        !own && self.sent.is_none()
    }

    /// Whether this candidate knows whether there is a lease.
    pub const fn has_looked(&self) -> bool {
        self.absent_since.is_some() || self.view.is_some()
    }

    /// The object API is away, as other calls of this instance have shown.
    pub const fn note_away(&mut self) {
        self.away = true;
    }

    /// Contact with the object API was regained so long ago.
    pub fn note_return(&mut self, now: Time, ago: Duration) {
        self.returned_at = self.returned_at.max(Some(now.before(ago)));
    }

    /// How long this candidate lets others go first once the lease is free.
    pub const fn set_turn(&mut self, turn: Duration) {
        self.turn = turn;
    }

    /// Whether the lease is free, and this candidate's turn has not come yet.
    pub fn awaits_turn(&self, now: Time) -> bool {
        let free = self.free_since();
        free.is_some_and(|free| free <= now && now < free + self.turn)
    }

    /// Since when the lease is free, or from when on it will be if nobody renews it; none if it is
    /// this candidate's own or an earlier start's of its instance, or nothing is known.
    fn free_since(&self) -> Option<Time> {
        let Some(view) = &self.view else {
            return self.absent_since;
        };
        let holder = &view.lease.holder;
        if *holder == self.id || self.is_predecessor(holder) {
            None
        } else if holder.is_empty() {
            Some(view.since)
        } else {
            let unrenewed = view.since + self.wait(&view.lease);
            let settled = self.returned_at.map(|at| at + HEAD_START);
            Some(settled.map_or(unrenewed, |settled| unrenewed.max(settled)))
        }
    }

    /// Nobody else is known to have taken the lease since this candidate held it. Good for work that
    /// may be done twice; what may not needs [`Holder::acts`].
    pub fn presumes(&self) -> bool {
        let own = |view: &View| view.lease.holder == self.id;
        !self.draining && self.view.as_ref().is_some_and(own)
    }

    /// Makes the next call due now: the object API is back after it was away.
    pub fn hurry(&mut self, now: Time) {
        self.returned_at = Some(now);
        self.due = self.due.min(now);
    }

    fn is_predecessor(&self, holder: &str) -> bool {
        !self.own_prefix.is_empty() && holder != self.id && holder.starts_with(&*self.own_prefix)
    }

    /// The fencing token if this candidate may act at `now`. Ask right before every action.
    pub fn acts(&self, now: Time) -> Option<u64> {
        let view = self.view.as_ref()?;
        let own = view.lease.holder == self.id;
        (own && !self.draining && now < self.until).then_some(view.lease.fence)
    }

    /// From when on this holder's acts do not come too soon after those of the one before; none if that
    /// is not known.
    pub fn clear(&self) -> Option<Clear> {
        let fence = self.view.as_ref()?.lease.fence;
        let (known, clear) = self.clear?;
        (known == fence).then_some(clear)
    }

    /// Says until when acts must rest after this holder: those of its own next start on this machine,
    /// and those of others. Told in each lease that it writes.
    pub const fn set_rests(&mut self, own: Time, others: Time) {
        self.rests = Some((own, others));
    }

    /// The moment from which this candidate must not act unless it renews before.
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Whether a drained candidate is rid of the lease.
    pub fn is_released(&self) -> bool {
        let own = self
            .view
            .as_ref()
            .is_some_and(|view| view.lease.holder == self.id);
        self.draining && !own && self.sent.is_none() && matches!(self.call, Call::None)
    }

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
        let look = now + self.jittered(self.limits.retry);
        let Some((version, lease)) = found else {
            self.view = None;
            let since = *self.absent_since.get_or_insert(now);
            self.due = if sent.is_some() {
                look
            } else {
                look.min((since + self.turn).max(now))
            };
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
        let own = lease.holder == self.id;
        if !own {
            self.until = Time::ZERO;
        }
        let uncontested = own || self.is_predecessor(&lease.holder);
        self.view = Some(View {
            version,
            lease,
            since,
        });
        // A lost write may still land: a contender gives it time to. A renewal must not wait: it
        // makes the lost write void, and the duty would rest for 0.8 s after each outage.
        self.due = if sent.is_some() && !uncontested {
            look
        } else {
            look.min(self.ripe().map_or(now, |ripe| ripe.max(now)))
        };
    }

    /// From when on this candidate may take the lease if nobody renews it; none if it need not wait.
    pub fn ripe(&self) -> Option<Time> {
        self.free_since().map(|free| free + self.turn)
    }

    fn on_written(&mut self, now: Time, version: u64) {
        if let Call::Write(sent) = mem::replace(&mut self.call, Call::None) {
            self.hold(now, version, sent);
        }
    }

    /// The write stands: the time counts from when it was sent.
    fn hold(&mut self, now: Time, version: u64, sent: Sent) {
        if sent.lease.holder == self.id {
            let lasts = self.limits.duration.saturating_sub(self.limits.margin);
            self.until = self.until.max(sent.at + lasts);
            self.clear = Some((sent.lease.fence, sent.clear));
        }
        self.due = sent.at + self.jittered(self.limits.duration / 3);
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
        let free = self.free_since();
        let own_turn = free.is_none_or(|free| now >= free + self.turn);
        // While the API is away nobody can renew, so that what was seen before says nothing.
        let may_take = own_turn && (free.is_none() || !self.away);
        let Some(View { version, lease, .. }) = self.view.clone() else {
            return Some(self.first(now, may_take));
        };
        let own = lease.holder == self.id;
        if self.draining {
            return Some(self.write(now, Some(version), lease.fence, CompactString::default()));
        }
        if !may_take {
            return Some(self.read());
        }
        let fence = lease.fence + u64::from(!own);
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
            rests: self.rests.map(|(own, others)| Rests {
                own_ms: millis(own.since(now)),
                other_ms: millis(others.since(now)),
            }),
        };
        self.call = Call::Write(Sent {
            at: now,
            lease: lease.clone(),
            clear: self.clear_after(now),
        });
        Action::Write { expected, lease }
    }

    /// From when on this candidate may act if its next write takes effect.
    ///
    /// Load pattern: holders are stopped one after the other. Each new one waited out the whole time
    /// that must lie between two holders' acts, though the one before had never acted: engines got no
    /// order for 8 s. And of one that vanished they waited from the moment at which they had its lease, up
    /// to 1.2 s after it could have acted for the last time.
    fn clear_after(&self, now: Time) -> Clear {
        let Some(View { lease, since, .. }) = &self.view else {
            // Nobody had it before.
            return Clear::From(Time::ZERO);
        };
        if lease.holder == self.id {
            return self.clear().unwrap_or(Clear::Idle(now));
        }
        let restarted = self.is_predecessor(&lease.holder);
        match lease.rests {
            Some(rests) if restarted && lease.address == self.address => {
                Clear::From(*since + Duration::from_millis(rests.own_ms))
            }
            Some(rests) if lease.holder.is_empty() => {
                Clear::From(*since + Duration::from_millis(rests.other_ms))
            }
            // It has ended, or given the lease up, but maybe only just now.
            None if restarted || lease.holder.is_empty() => Clear::Idle(now),
            // It counted from before it wrote this.
            _ => {
                let lasts = Duration::from_millis(lease.duration_ms);
                let lasts = lasts.saturating_sub(self.limits.margin);
                Clear::Idle((*since + lasts).min(now))
            }
        }
    }

    /// How long an unchanged lease of another must be watched before it may be taken.
    pub fn wait(&self, lease: &Lease) -> Duration {
        Duration::from_millis(lease.duration_ms) + self.limits.margin
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
