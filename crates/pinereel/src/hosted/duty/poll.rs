//! Polls the leases that other instances hold.
//!
//! One list call per poll serves all candidates of this instance. While the broadcast tree delivers
//! the leases, the store is not polled.

use super::{Duties, LEASE_KIND, MIN_SLEEP, TIMING, jitter_from_hash};
use crate::{
    hosted::{crashes::take_reports_object, list_watch::Update, tree::FeedEvent},
    objects::Purpose,
};
use compact_str::CompactString;
use pinereel_core::{
    Time,
    batch::LotDemand,
    hash,
    lease::{Event, Lease, PollSchedule, PolledLease},
};
use pinereel_port::store::Object;
use std::time::Duration;
use tokio::{
    sync::{
        broadcast::{self, error::RecvError},
        watch,
    },
    time::sleep,
};

/// Longest age of a poll that a new candidate takes as its first read.
const MAX_FIRST_READ_AGE: Duration = Duration::from_millis(100);

/// Longest validity of a lease that is taken for one of an instance; those of instances last for 2 s.
const MAX_LEASE_TIME: Duration = Duration::from_secs(30);
/// Longest cooldown that is taken for one of an instance: above the longest gap that the settings allow, an hour.
const MAX_COOLDOWN: Duration = Duration::from_secs(2 * 3_600);
/// Holder of a lease that cannot be read. No instance has it as its id, which contains a slash.
const UNKNOWN_HOLDER: &str = "unknown";

/// Delay before the first poll of an instance that is not preferred. By then a preferred instance
/// is the root of the broadcast tree.
const UNPREFERRED_START_DELAY: Duration = Duration::from_millis(500);

impl Duties {
    /// Polls all leases for the candidates that do not hold theirs. Runs until dropped.
    pub(super) async fn poll_leases(&self, mut feed: broadcast::Receiver<FeedEvent>) {
        let seed = hash::stable(self.id.as_bytes());
        let mut schedule = PollSchedule::new(self.is_preferred(), seed);
        let mut recoveries = self.store.recoveries();
        // The first poll happens even if no candidate waits for it: it finds the root of the
        // broadcast tree. There is a root only once the preferred instances have polled.
        let mut is_receiving = false;
        let mut is_first = true;
        sleep(self.start_delay(seed)).await;
        loop {
            while is_receiving {
                is_receiving = self.handle_feed_event(feed.recv().await, &mut schedule);
            }
            if self.waiting_candidates.get() == 0 && !is_first {
                tokio::select! {
                    () = sleep(MIN_SLEEP * 10) => {}
                    received = feed.recv() => is_receiving = self.handle_feed_event(received, &mut schedule),
                }
                continue;
            }
            is_first = false;
            let list = self.store.list(Purpose::Leases, LEASE_KIND, None).await;
            let next_poll_at = match list {
                Ok((objects, _)) => self.record_poll(objects, &mut schedule),
                Err(error) => {
                    log::debug!(error:% = error; "leases not listed");
                    self.now() + TIMING.retry_interval
                }
            };
            recoveries.mark_unchanged();
            tokio::select! {
                () = sleep(next_poll_at.since(self.now())) => {}
                _ = recoveries.changed() => {}
                () = self.poll_requested.notified() => {}
                () = self.drain_started.notified() => {}
                received = feed.recv() => is_receiving = self.handle_feed_event(received, &mut schedule),
            }
        }
    }

    /// Delay before the first poll of this instance. Without it, each of 165 instances that start
    /// together and are not preferred would poll twice.
    fn start_delay(&self, seed: u64) -> Duration {
        if self.is_preferred() {
            return Duration::ZERO;
        }
        UNPREFERRED_START_DELAY + jitter_from_hash(hash::mix(seed))
    }

    /// Records the leases found by a poll or received from the broadcast tree; returns when the
    /// next poll is due.
    fn record_poll(&self, mut objects: Vec<Object>, schedule: &mut PollSchedule) -> Time {
        if let Some(crash_records) = take_reports_object(&mut objects) {
            self.crashes.load(crash_records);
        }
        let next_poll_at = schedule.record(self.now(), polled_leases(&objects));
        self.polled_objects.replace(objects);
        self.polled_at.set(Some(self.now()));
        self.poll_count.send_modify(|count| *count += 1);
        next_poll_at
    }

    /// Handles one event of the broadcast tree; returns whether the tree goes on delivering the
    /// leases.
    fn handle_feed_event(
        &self,
        received: Result<FeedEvent, RecvError>,
        schedule: &mut PollSchedule,
    ) -> bool {
        match received {
            Ok(FeedEvent::Update(update, _)) => {
                if let Update::All(objects) = &*update {
                    self.record_poll(objects.clone(), schedule);
                }
                true
            }
            Ok(FeedEvent::Rank(rank)) => {
                self.rank.set(Some(rank));
                true
            }
            Ok(FeedEvent::ExpectedBy(_)) => false,
            // The tree sends the next list soon, which includes what was missed.
            Err(RecvError::Lagged(_)) => true,
            Ok(FeedEvent::Lost) | Err(RecvError::Closed) => false,
        }
    }

    /// The address at which the holder of `duty` serves it, as of the last poll. `None` if there is
    /// no holder, or none that is known.
    pub fn holder_address(&self, duty: &str) -> Option<CompactString> {
        if self.held_lease(duty).is_some() {
            return Some(self.own_address.clone());
        }
        let polled_objects = self.polled_objects.borrow();
        let object = polled_objects.iter().find(|object| object.name == duty)?;
        let (_, lease) = decode(duty, object.clone());
        (!lease.address.is_empty()).then_some(lease.address)
    }

    /// The demand of the lots of `duty`, as its holder has stored it in the lease; all zero if not
    /// known.
    pub fn lot_demand(&self, duty: &str) -> LotDemand {
        if self.held_lease(duty).is_some() {
            return self
                .lot_demands
                .borrow()
                .get(duty)
                .copied()
                .unwrap_or_default();
        }
        let polled_objects = self.polled_objects.borrow();
        let object = polled_objects.iter().find(|object| object.name == duty);
        let number = |field: &str| {
            let number = object.and_then(|object| object.spec.get(field)?.as_u64());
            number.unwrap_or_default()
        };
        LotDemand {
            tokens: number("demand"),
            unplaced_items: number("short"),
            items: number("items"),
        }
    }

    /// Notifies of each poll of the leases; the value is the number of polls.
    pub fn subscribe_polls(&self) -> watch::Receiver<u64> {
        self.poll_count.subscribe()
    }

    /// The lease of `duty` for a candidate that has read nothing: from the last poll if that is
    /// recent, otherwise from a poll that is made now.
    pub(super) async fn first_poll_event(&self, duty: &str) -> Event {
        let polled_at = self.polled_at.get();
        if polled_at.is_some_and(|at| self.now().since(at) < MAX_FIRST_READ_AGE) {
            return self.last_poll_event(duty);
        }
        self.poll_requested.notify_one();
        self.next_poll_event(duty, None).await
    }

    /// The lease of `duty` as of the last poll.
    fn last_poll_event(&self, duty: &str) -> Event {
        let polled_objects = self.polled_objects.borrow();
        let object = polled_objects
            .iter()
            .find(|object| object.name == duty)
            .cloned();
        match object {
            Some(object) => Event::Read(Some(decode(duty, object))),
            None => Event::Read(None),
        }
    }

    /// The lease of `duty` as of the next poll; as of the last poll if `takeover_at`, the time from
    /// which the lease may be taken over, comes first. The last poll suffices for a takeover, since
    /// the write is conditional, and using it saves half a poll interval.
    pub(super) async fn next_poll_event(&self, duty: &str, takeover_at: Option<Time>) -> Event {
        let mut poll_count = self.poll_count.subscribe();
        let remaining = takeover_at.map(|takeover_at| takeover_at.since(self.now()));
        let takeover_due = async {
            match remaining {
                Some(remaining) => sleep(remaining.max(MIN_SLEEP)).await,
                None => std::future::pending().await,
            }
        };
        self.waiting_candidates
            .set(self.waiting_candidates.get() + 1);
        let is_polled = tokio::select! {
            changed = poll_count.changed() => changed.is_ok(),
            () = takeover_due => true,
            () = self.drain_started.notified() => false,
        };
        self.waiting_candidates
            .set(self.waiting_candidates.get() - 1);
        if !is_polled {
            return Event::Failed;
        }
        self.last_poll_event(duty)
    }
}

/// The leases that have a holder, for the schedule of the polls.
fn polled_leases(objects: &[Object]) -> Vec<(CompactString, PolledLease)> {
    let polled_lease = |object: &Object| {
        let (version, lease) = decode(&object.name, object.clone());
        let wait = Duration::from_millis(lease.duration_ms) + TIMING.clock_margin;
        (!lease.holder.is_empty()).then(|| (object.name.clone(), PolledLease { version, wait }))
    };
    objects.iter().filter_map(polled_lease).collect()
}

/// The object version and the lease.
///
/// A spec that no instance can have written counts as the lease of an unknown holder, which is taken over like
/// that of a holder that has failed; otherwise the duty would have no holder until the object is removed.
pub(super) fn decode(duty: &str, object: Object) -> (u64, Lease) {
    let revision = object.revision;
    let lease = serde_json::from_value::<Lease>(object.spec).map_err(|error| error.to_string());
    let lease = match lease {
        Ok(lease) if is_plausible(&lease, revision) => lease,
        invalid => {
            let error = invalid
                .err()
                .unwrap_or_else(|| "a figure is out of range".into());
            log::error!(duty, revision, error; "lease unreadable");
            unknown_holder(revision)
        }
    };
    (revision, lease)
}

/// Whether an instance can have written this lease. Each change of holder is a write, so that no fencing token
/// is above the revision.
fn is_plausible(lease: &Lease, revision: u64) -> bool {
    let cooldown = lease.remaining_cooldown;
    let cooldown_ms = cooldown.map_or(0, |cooldown| cooldown.own_ms.max(cooldown.other_ms));
    let lease_ms = lease.duration_ms.max(lease.acts_ms.unwrap_or(0));
    lease.fence <= revision
        && Duration::from_millis(lease_ms) <= MAX_LEASE_TIME
        && Duration::from_millis(cooldown_ms) <= MAX_COOLDOWN
}

/// The lease of a holder that cannot be read. Its fencing token is at least that of each earlier holder.
fn unknown_holder(revision: u64) -> Lease {
    Lease {
        holder: UNKNOWN_HOLDER.into(),
        fence: revision,
        duration_ms: TIMING.duration.as_millis() as u64,
        write_id: CompactString::default(),
        address: CompactString::default(),
        acts_ms: None,
        remaining_cooldown: None,
    }
}
