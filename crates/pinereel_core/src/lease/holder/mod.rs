//! One candidate for one duty, as a state machine: its state, what it is told and what it is asked.

mod step;

use super::{Cooldown, Lease, Limits};
use crate::time::Time;
use compact_str::CompactString;
use std::time::Duration;

/// After the object API was away, a holder that could not renew meanwhile and still lives has so long
/// to do it before its lease is taken: it finds the API within 0.15 s, and has work in memory that another
/// one would begin anew.
const HEAD_START: Duration = Duration::from_millis(1_200);

/// A write that was sent.
#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    lease: Lease,
    /// From when on the holder may act if it takes effect.
    cooldown: Cooldown,
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
    takeover_delay: Duration,
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
    cooldown: Option<(u64, Cooldown)>,
    /// Until when acts must rest after this holder: its own next start's, and others'.
    cooldown_ends: Option<(Time, Time)>,
    /// Start of the ids that earlier starts of this instance had; empty if there are none.
    own_prefix: CompactString,
    /// Where this candidate can be reached while it holds the lease.
    address: CompactString,
    /// How long after a write this candidate acts at most; none if as long as the lease lasts.
    acts: Option<Duration>,
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
            takeover_delay: Duration::ZERO,
            away: false,
            returned_at: None,
            sent: None,
            call: Call::None,
            due: now,
            until: Time::ZERO,
            draining: false,
            cooldown: None,
            cooldown_ends: None,
            own_prefix: CompactString::default(),
            address: CompactString::default(),
            acts: None,
        }
    }

    /// Acts for `span` after a write at most, and renews more often than that. For a duty whose next
    /// holder must wait from the last moment at which this one may have acted.
    ///
    /// Load pattern: the holder is cut off from the object API. The next one takes the lease once it has
    /// not been renewed for its duration, and then waits out the gap from the end of the holder's time: a
    /// second less of that time is a second less in which nobody acts.
    #[must_use]
    pub fn acting_for(mut self, span: Duration) -> Self {
        self.acts = Some(span.min(self.lasts(self.limits.duration)));
        self
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
        !self.owns() && self.sent.is_none()
    }

    /// Whether the lease was this candidate's when it was last seen.
    fn owns(&self) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.lease.holder == self.id)
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
    pub const fn set_takeover_delay(&mut self, takeover_delay: Duration) {
        self.takeover_delay = takeover_delay;
    }

    /// Whether the lease is free, and this candidate's turn has not come yet.
    pub fn awaits_takeover_delay(&self, now: Time) -> bool {
        let free = self.free_since();
        free.is_some_and(|free| free <= now && now < free + self.takeover_delay)
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
        !self.draining && self.owns()
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
        let fence = self.view.as_ref()?.lease.fence;
        (self.presumes() && now < self.until).then_some(fence)
    }

    /// From when on this holder's acts do not come too soon after those of the one before; none if that
    /// is not known.
    pub fn cooldown(&self) -> Option<Cooldown> {
        let fence = self.view.as_ref()?.lease.fence;
        let (known, cooldown) = self.cooldown?;
        (known == fence).then_some(cooldown)
    }

    /// Says until when acts must rest after this holder: those of its own next start on this machine,
    /// and those of others. Told in each lease that it writes.
    pub const fn set_cooldown_ends(&mut self, own: Time, others: Time) {
        self.cooldown_ends = Some((own, others));
    }

    /// The moment from which this candidate must not act unless it renews before.
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Whether a drained candidate is rid of the lease.
    pub fn is_released(&self) -> bool {
        self.draining && self.follows() && matches!(self.call, Call::None)
    }

    /// From when on this candidate may take the lease if nobody renews it; none if it need not wait.
    pub fn ripe(&self) -> Option<Time> {
        self.free_since().map(|free| free + self.takeover_delay)
    }

    /// How long an unchanged lease of another must be watched before it may be taken.
    pub fn wait(&self, lease: &Lease) -> Duration {
        Duration::from_millis(lease.duration_ms) + self.limits.margin
    }
}
