//! One candidate for one duty, as a state machine: its state, what it is told and what it is asked.

mod step;

use super::{Cooldown, Lease, Timing};
use crate::time::Time;
use compact_str::CompactString;
use std::time::Duration;

/// After the object API was away, a holder that could not renew meanwhile and still lives has so long
/// to do it before its lease is taken: it finds the API within 0.15 s, and has work in memory that another
/// one would begin anew.
const OUTAGE_RENEWAL_GRACE: Duration = Duration::from_millis(1_200);

/// A write that was sent.
#[derive(Clone, Debug)]
struct SentWrite {
    sent_at: Time,
    lease: Lease,
    /// From when on the holder may act if it takes effect.
    cooldown: Cooldown,
}

/// The one call that is open.
#[derive(Clone, Debug)]
enum Call {
    None,
    Read,
    Write(SentWrite),
}

/// What was last read of the lease, and when this version was first seen.
#[derive(Clone, Debug)]
struct ReadLease {
    version: u64,
    lease: Lease,
    since: Time,
}

/// One candidate for one duty.
#[derive(Clone, Debug)]
pub struct Candidate {
    id: CompactString,
    timing: Timing,
    write_count: u64,
    last_read: Option<ReadLease>,
    /// Since when reads have found no lease; none if the last one found it, or there was none.
    absent_since: Option<Time>,
    /// How long this candidate lets others go first once the lease is free.
    takeover_delay: Duration,
    /// Whether the object API is away: calls failed, and none has been answered since.
    store_unreachable: bool,
    /// When the object API was last back after it was away.
    store_recovered_at: Option<Time>,
    /// The last write, kept while its outcome is open.
    unresolved_write: Option<SentWrite>,
    call: Call,
    /// When the next call is due.
    next_call_at: Time,
    /// Until when this candidate may act.
    valid_until: Time,
    draining: bool,
    /// Fencing token of the last lease held, and from when on its holder might act.
    cooldown: Option<(u64, Cooldown)>,
    /// Until when acts must rest after this holder: its own next start's, and others'.
    cooldown_ends: Option<(Time, Time)>,
    /// Start of the ids that earlier starts of this instance had; empty if there are none.
    previous_id_prefix: CompactString,
    /// Where this candidate can be reached while it holds the lease.
    address: CompactString,
    /// How long after a write this candidate acts at most; none if as long as the lease lasts.
    max_acting_time: Option<Duration>,
}

impl Candidate {
    /// A candidate that has read nothing. `id` must be unique to this start of the process. The
    /// first tick reads.
    pub fn new(now: Time, id: impl Into<CompactString>, timing: Timing) -> Self {
        Self {
            id: id.into(),
            timing,
            write_count: 0,
            last_read: None,
            absent_since: None,
            takeover_delay: Duration::ZERO,
            store_unreachable: false,
            store_recovered_at: None,
            unresolved_write: None,
            call: Call::None,
            next_call_at: now,
            valid_until: Time::ZERO,
            draining: false,
            cooldown: None,
            cooldown_ends: None,
            previous_id_prefix: CompactString::default(),
            address: CompactString::default(),
            max_acting_time: None,
        }
    }

    /// Acts for `span` after a write at most, and renews more often than that. For a duty whose next
    /// holder must wait from the last moment at which this one may have acted.
    ///
    /// Load pattern: the holder is cut off from the object API. The next one takes the lease once it has
    /// not been renewed for its duration, and then waits out the gap from the end of the holder's time: a
    /// second less of that time is a second less in which nobody acts.
    #[must_use]
    pub fn with_max_acting_time(mut self, span: Duration) -> Self {
        self.max_acting_time = Some(span.min(self.acting_time(self.timing.duration)));
        self
    }

    /// Names the address in the lease while this candidate holds it.
    #[must_use]
    pub fn with_address(mut self, address: impl Into<CompactString>) -> Self {
        self.address = address.into();
        self
    }

    /// Takes a lease at once if its holder's id starts with `prefix`: that is an earlier start of
    /// this instance, which has ended.
    #[must_use]
    pub fn with_previous_id_prefix(mut self, prefix: impl Into<CompactString>) -> Self {
        self.previous_id_prefix = prefix.into();
        self
    }

    /// When the next call is due.
    pub const fn next_call_at(&self) -> Time {
        self.next_call_at
    }

    /// Whether this candidate only looks at what others have: it holds nothing, and no write of its
    /// own is open.
    pub fn is_follower(&self) -> bool {
        !self.is_last_known_holder() && self.unresolved_write.is_none()
    }

    /// Whether the lease was this candidate's when it was last seen.
    fn is_last_known_holder(&self) -> bool {
        let last_read = self.last_read.as_ref();
        last_read.is_some_and(|read| read.lease.holder == self.id)
    }

    /// Whether this candidate knows whether there is a lease.
    pub const fn has_read(&self) -> bool {
        self.absent_since.is_some() || self.last_read.is_some()
    }

    /// The object API is away, as other calls of this instance have shown.
    pub const fn note_store_unreachable(&mut self) {
        self.store_unreachable = true;
    }

    /// Contact with the object API was regained so long ago.
    pub fn note_store_recovered(&mut self, now: Time, ago: Duration) {
        self.store_recovered_at = self.store_recovered_at.max(Some(now.before(ago)));
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
        let Some(read) = &self.last_read else {
            return self.absent_since;
        };
        let holder = &read.lease.holder;
        if *holder == self.id || self.is_previous_run(holder) {
            None
        } else if holder.is_empty() {
            Some(read.since)
        } else {
            let expiry = read.since + self.takeover_wait(&read.lease);
            let grace_end = self.store_recovered_at.map(|at| at + OUTAGE_RENEWAL_GRACE);
            Some(grace_end.map_or(expiry, |grace_end| expiry.max(grace_end)))
        }
    }

    /// Nobody else is known to have taken the lease since this candidate held it. Good for work that
    /// may be done twice; what may not needs [`Candidate::acts`].
    pub fn is_presumed_holder(&self) -> bool {
        !self.draining && self.is_last_known_holder()
    }

    /// Makes the next call due now: the object API is back after it was away.
    pub fn expedite(&mut self, now: Time) {
        self.store_recovered_at = Some(now);
        self.next_call_at = self.next_call_at.min(now);
    }

    fn is_previous_run(&self, holder: &str) -> bool {
        !self.previous_id_prefix.is_empty()
            && holder != self.id
            && holder.starts_with(&*self.previous_id_prefix)
    }

    /// The fencing token if this candidate may act at `now`. Ask right before every action.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        let fence = self.last_read.as_ref()?.lease.fence;
        (self.is_presumed_holder() && now < self.valid_until).then_some(fence)
    }

    /// From when on this holder's acts do not come too soon after those of the one before; none if that
    /// is not known.
    pub fn cooldown(&self) -> Option<Cooldown> {
        let fence = self.last_read.as_ref()?.lease.fence;
        let (known, cooldown) = self.cooldown?;
        (known == fence).then_some(cooldown)
    }

    /// Says until when acts must rest after this holder: those of its own next start on this machine,
    /// and those of others. Told in each lease that it writes.
    pub const fn set_cooldown_ends(&mut self, own: Time, others: Time) {
        self.cooldown_ends = Some((own, others));
    }

    /// The moment from which this candidate must not act unless it renews before.
    pub const fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Whether a drained candidate is rid of the lease.
    pub fn is_released(&self) -> bool {
        self.draining && self.is_follower() && matches!(self.call, Call::None)
    }

    /// From when on this candidate may take the lease if nobody renews it; none if it need not wait.
    pub fn takeover_at(&self) -> Option<Time> {
        self.free_since().map(|free| free + self.takeover_delay)
    }

    /// How long an unchanged lease of another must be watched before it may be taken.
    pub fn takeover_wait(&self, lease: &Lease) -> Duration {
        Duration::from_millis(lease.duration_ms) + self.timing.clock_margin
    }
}
