//! The state machine of one candidate for one duty: its state, setters and queries.
//!
//! [`Candidate::step`] takes the events and returns the calls to make.

mod step;

use super::{Cooldown, Lease, Timing};
use crate::time::Time;
use compact_str::CompactString;
use std::time::Duration;

/// Time after an outage of the object store within which no expired lease is taken, so that a live
/// holder that could not renew can do so. A holder notices the recovery within 0.15 s, and it has work
/// in memory that a successor would have to start over.
const OUTAGE_RENEWAL_GRACE: Duration = Duration::from_millis(1_200);

/// A write that was sent to the store.
#[derive(Clone, Debug)]
struct SentWrite {
    sent_at: Time,
    lease: Lease,
    /// The cooldown that applies if the write takes effect.
    cooldown: Cooldown,
}

/// The open call, of which there is at most one.
#[derive(Clone, Debug)]
enum Call {
    None,
    Read,
    Write(SentWrite),
}

/// The lease as last read or written.
#[derive(Clone, Debug)]
struct ReadLease {
    version: u64,
    lease: Lease,
    /// When this version was first seen.
    since: Time,
}

/// One candidate for one duty. See the [module](super) for the rules of a lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    id: CompactString,
    timing: Timing,
    write_count: u64,
    last_read: Option<ReadLease>,
    /// Since when reads have found no lease. `None` if the last read found one, or before the first read.
    absent_since: Option<Time>,
    /// How long this candidate waits once the lease is free, so that others come first.
    takeover_delay: Duration,
    /// Whether calls to the store have failed and none has been answered since.
    store_unreachable: bool,
    /// When the store last became reachable again.
    store_recovered_at: Option<Time>,
    /// The last write, kept while its outcome is unknown.
    unresolved_write: Option<SentWrite>,
    call: Call,
    /// When the next call is due.
    next_call_at: Time,
    /// Until when this candidate may act as the holder.
    valid_until: Time,
    draining: bool,
    /// Fencing token of the last lease held, and the cooldown that applies to its holder.
    cooldown: Option<(u64, Cooldown)>,
    /// When the cooldown after this holder ends: for the next process of this instance, and for others.
    cooldown_ends: Option<(Time, Time)>,
    /// Prefix of the ids of earlier processes of this instance; empty if there are none.
    previous_id_prefix: CompactString,
    /// Address at which this candidate serves the duty while it holds the lease.
    address: CompactString,
    /// Longest time after a write during which this candidate acts; `None` if as long as the lease is
    /// valid.
    max_acting_time: Option<Duration>,
}

impl Candidate {
    /// A candidate that has read nothing; its first tick reads. `id` must be unique to this run of the
    /// process.
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

    /// Limits the time during which this candidate acts after a write to `span`, and renews more often
    /// than that. For duties with a [`Cooldown`].
    ///
    /// If the holder is cut off from the store, its successor takes the lease when it expires, and the
    /// cooldown counts from the last time at which the holder can have acted. Shortening the acting time
    /// by a second shortens the gap without an acting holder by a second.
    #[must_use]
    pub fn with_max_acting_time(mut self, span: Duration) -> Self {
        self.max_acting_time = Some(span.min(self.acting_time(self.timing.duration)));
        self
    }

    /// Publishes `address` in the lease while this candidate holds it.
    #[must_use]
    pub fn with_address(mut self, address: impl Into<CompactString>) -> Self {
        self.address = address.into();
        self
    }

    /// Takes a lease without waiting if the holder's id starts with `prefix`: that holder was an earlier
    /// process of this instance, which has ended.
    #[must_use]
    pub fn with_previous_id_prefix(mut self, prefix: impl Into<CompactString>) -> Self {
        self.previous_id_prefix = prefix.into();
        self
    }

    /// When the next call is due, if no event comes before.
    pub const fn next_call_at(&self) -> Time {
        self.next_call_at
    }

    /// Whether this candidate only watches the lease: it does not hold it, and none of its own writes has
    /// an unknown outcome.
    pub fn is_follower(&self) -> bool {
        !self.is_last_known_holder() && self.unresolved_write.is_none()
    }

    /// Whether this candidate held the lease when it was last read or written.
    fn is_last_known_holder(&self) -> bool {
        let last_read = self.last_read.as_ref();
        last_read.is_some_and(|read| read.lease.holder == self.id)
    }

    /// Whether a read has been answered, so that it is known whether a lease exists.
    pub const fn has_read(&self) -> bool {
        self.absent_since.is_some() || self.last_read.is_some()
    }

    /// Records that other calls of this instance have shown the store to be unreachable.
    pub const fn note_store_unreachable(&mut self) {
        self.store_unreachable = true;
    }

    /// Records that the store became reachable again `ago` before `now`, as other calls of this
    /// instance have shown.
    pub fn note_store_recovered(&mut self, now: Time, ago: Duration) {
        self.store_recovered_at = self.store_recovered_at.max(Some(now.earlier_by(ago)));
    }

    /// Sets how long this candidate waits once the lease is free; see [`Rank`](super::Rank).
    pub const fn set_takeover_delay(&mut self, takeover_delay: Duration) {
        self.takeover_delay = takeover_delay;
    }

    /// Whether the lease is free and the takeover delay of this candidate has not passed yet.
    pub fn awaits_takeover_delay(&self, now: Time) -> bool {
        let free = self.free_since();
        free.is_some_and(|free| free <= now && now < free + self.takeover_delay)
    }

    /// Since when the lease is free, or when it becomes free unless it is renewed. `None` if this
    /// candidate or an earlier process of its instance holds it, or if nothing has been read.
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

    /// Whether no other candidate is known to have taken the lease since this one held it. Enough for
    /// work that may be done twice; other work needs [`Candidate::fencing_token`].
    pub fn is_presumed_holder(&self) -> bool {
        !self.draining && self.is_last_known_holder()
    }

    /// Records that the store is reachable again, and makes the next call due now.
    pub fn expedite(&mut self, now: Time) {
        self.store_recovered_at = Some(now);
        self.next_call_at = self.next_call_at.min(now);
    }

    fn is_previous_run(&self, holder: &str) -> bool {
        !self.previous_id_prefix.is_empty()
            && holder != self.id
            && holder.starts_with(&*self.previous_id_prefix)
    }

    /// The fencing token if this candidate may act at `now`. Must be called right before each action.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        let fence = self.last_read.as_ref()?.lease.fence;
        (self.is_presumed_holder() && now < self.valid_until).then_some(fence)
    }

    /// The cooldown that applies to this holder; `None` if it is not known.
    pub fn cooldown(&self) -> Option<Cooldown> {
        let fence = self.last_read.as_ref()?.lease.fence;
        let (known, cooldown) = self.cooldown?;
        (known == fence).then_some(cooldown)
    }

    /// Sets when the cooldown after this holder ends, for the next process of this instance on the same
    /// machine (`own`) and for all others. Written with each lease.
    pub const fn set_cooldown_ends(&mut self, own: Time, others: Time) {
        self.cooldown_ends = Some((own, others));
    }

    /// The time from which this candidate must not act unless it renews before.
    pub const fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Whether a drained candidate has given up the lease and has no open call.
    pub fn is_released(&self) -> bool {
        self.draining && self.is_follower() && matches!(self.call, Call::None)
    }

    /// When this candidate may take the lease if nobody renews it; `None` if it need not wait.
    pub fn takeover_at(&self) -> Option<Time> {
        self.free_since().map(|free| free + self.takeover_delay)
    }

    /// How long the lease of another candidate must stay unchanged before it may be taken.
    pub fn takeover_wait(&self, lease: &Lease) -> Duration {
        Duration::from_millis(lease.duration_ms) + self.timing.clock_margin
    }
}
