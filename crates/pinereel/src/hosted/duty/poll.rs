//! Looks at the leases that others hold.

use super::{Duties, LEASE_KIND, MIN_SLEEP, TIMING, jitter_from_hash};
use crate::{
    hosted::{bulletin::Fed, crashes::take_out, list_watch::Update},
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

/// A look that is no older may count as the first one of a duty.
const MAX_FIRST_READ_AGE: Duration = Duration::from_millis(100);

/// Those that should rather hold duties have a holder of the bulletin by then.
const UNPREFERRED_START_DELAY: Duration = Duration::from_millis(500);

impl Duties {
    /// Lists all leases now and then, for the candidates that follow others.
    pub(super) async fn poll_leases(&self, mut feed: broadcast::Receiver<Fed>) {
        let seed = hash::stable(self.id.as_bytes());
        let mut schedule = PollSchedule::new(self.is_preferred(), seed);
        let mut recoveries = self.store.recoveries();
        // The first look is for the holder of the bulletin, who is there only after those that should
        // rather hold it have looked.
        let mut is_fed = false;
        let mut is_first = true;
        sleep(self.start_delay(seed)).await;
        loop {
            while is_fed {
                is_fed = self.handle_feed_event(feed.recv().await, &mut schedule);
            }
            if self.waiting_candidates.get() == 0 && !is_first {
                tokio::select! {
                    () = sleep(MIN_SLEEP * 10) => {}
                    received = feed.recv() => is_fed = self.handle_feed_event(received, &mut schedule),
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
                received = feed.recv() => is_fed = self.handle_feed_event(received, &mut schedule),
            }
        }
    }

    /// How long an instance that should rather not hold duties waits before it looks for the first time: of
    /// 165 that start together each would look twice.
    fn start_delay(&self, seed: u64) -> Duration {
        if self.is_preferred() {
            return Duration::ZERO;
        }
        UNPREFERRED_START_DELAY + jitter_from_hash(hash::mix(seed))
    }

    /// A look shows these leases; returns when the next one is due.
    fn record_poll(&self, mut objects: Vec<Object>, schedule: &mut PollSchedule) -> Time {
        if let Some(crash_records) = take_out(&mut objects) {
            self.crashes.read(crash_records);
        }
        let next_poll_at = schedule.record(self.now(), polled_leases(&objects));
        self.polled_objects.replace(objects);
        self.polled_at.set(Some(self.now()));
        self.poll_count.send_modify(|count| *count += 1);
        next_poll_at
    }

    /// The bulletin tells of the leases, or is lost; says whether it goes on telling.
    fn handle_feed_event(
        &self,
        received: Result<Fed, RecvError>,
        schedule: &mut PollSchedule,
    ) -> bool {
        match received {
            Ok(Fed::Told(update, _)) => {
                if let Update::All(objects) = &*update {
                    self.record_poll(objects.clone(), schedule);
                }
                true
            }
            Ok(Fed::Place(rank)) => {
                self.rank.set(Some(rank));
                true
            }
            Ok(Fed::Expected(_)) => false,
            // What was missed is told again soon.
            Err(RecvError::Lagged(_)) => true,
            Ok(Fed::Lost) | Err(RecvError::Closed) => false,
        }
    }

    /// Where the holder of a duty can be reached, as far as this instance has seen.
    pub fn holder_address(&self, duty: &str) -> Option<CompactString> {
        if self.held_lease(duty).is_some() {
            return Some(self.own_address.clone());
        }
        let polled_objects = self.polled_objects.borrow();
        let object = polled_objects.iter().find(|object| object.name == duty)?;
        let (_, lease) = decode(duty, object.clone())?;
        (!lease.address.is_empty()).then_some(lease.address)
    }

    /// What a lot of a duty needs, as its holder says; nothing if that is not known.
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

    /// Tells each look at the leases.
    pub fn subscribe_polls(&self) -> watch::Receiver<u64> {
        self.poll_count.subscribe()
    }

    /// What a look that is made now shows of a duty.
    pub(super) async fn first_poll_event(&self, duty: &str) -> Event {
        let polled_at = self.polled_at.get();
        if polled_at.is_some_and(|at| self.now().since(at) < MAX_FIRST_READ_AGE) {
            return self.last_poll_event(duty);
        }
        self.poll_requested.notify_one();
        self.next_poll_event(duty, None).await
    }

    /// What the last look showed of a duty.
    fn last_poll_event(&self, duty: &str) -> Event {
        let polled_objects = self.polled_objects.borrow();
        let object = polled_objects
            .iter()
            .find(|object| object.name == duty)
            .cloned();
        match object {
            Some(object) => decode(duty, object).map_or(Event::Failed, |l| Event::Read(Some(l))),
            None => Event::Read(None),
        }
    }

    /// What the next look shows of a duty; what the last one showed once its lease is `ripe`. That is
    /// enough to take it, since the write is conditional, and saves half the time between two looks.
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

fn polled_leases(objects: &[Object]) -> Vec<(CompactString, PolledLease)> {
    let polled_lease = |object: &Object| {
        let (version, lease) = decode(&object.name, object.clone())?;
        let wait = Duration::from_millis(lease.duration_ms) + TIMING.clock_margin;
        (!lease.holder.is_empty()).then(|| (object.name.clone(), PolledLease { version, wait }))
    };
    objects.iter().filter_map(polled_lease).collect()
}

pub(super) fn decode(duty: &str, object: Object) -> Option<(u64, Lease)> {
    match serde_json::from_value::<Lease>(object.spec) {
        Ok(lease) => Some((object.revision, lease)),
        Err(error) => {
            log::error!(duty, error:% = error; "lease unreadable");
            None
        }
    }
}
