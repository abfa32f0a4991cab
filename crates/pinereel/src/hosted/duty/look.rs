//! Looks at the leases that others hold.

use super::{Duties, KIND, LIMITS, SHORTEST_SLEEP, spread};
use crate::{
    hosted::{bulletin::Fed, crashes::take_reports_object, follow::Update},
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
const FRESH: Duration = Duration::from_millis(100);

/// Those that should rather hold duties have a holder of the bulletin by then.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

impl Duties {
    /// Lists all leases now and then, for the candidates that follow others.
    pub(super) async fn look_out(&self, mut fed: broadcast::Receiver<Fed>) {
        let seed = hash::stable(self.id.as_bytes());
        let mut looks = PollSchedule::new(self.is_preferred(), seed);
        let mut returns = self.store.returns();
        // The first look is for the holder of the bulletin, who is there only after those that should
        // rather hold it have looked.
        let mut told = false;
        let mut first = true;
        sleep(self.first_pause(seed)).await;
        loop {
            while told {
                told = self.take_told(fed.recv().await, &mut looks);
            }
            if self.waiting.get() == 0 && !first {
                tokio::select! {
                    () = sleep(SHORTEST_SLEEP * 10) => {}
                    heard = fed.recv() => told = self.take_told(heard, &mut looks),
                }
                continue;
            }
            first = false;
            let list = self.store.list(Purpose::Leases, KIND, None).await;
            let due = match list {
                Ok((objects, _)) => self.looked(objects, &mut looks),
                Err(error) => {
                    log::debug!(error:% = error; "leases not listed");
                    self.now() + LIMITS.retry_interval
                }
            };
            returns.mark_unchanged();
            tokio::select! {
                () = sleep(due.since(self.now())) => {}
                _ = returns.changed() => {}
                () = self.wanted.notified() => {}
                () = self.drain.notified() => {}
                heard = fed.recv() => told = self.take_told(heard, &mut looks),
            }
        }
    }

    /// How long an instance that should rather not hold duties waits before it looks for the first time: of
    /// 165 that start together each would look twice.
    fn first_pause(&self, seed: u64) -> Duration {
        if self.is_preferred() {
            return Duration::ZERO;
        }
        FIRST_PAUSE + spread(hash::mix(seed))
    }

    /// A look shows these leases; returns when the next one is due.
    fn looked(&self, mut objects: Vec<Object>, looks: &mut PollSchedule) -> Time {
        if let Some(kept) = take_reports_object(&mut objects) {
            self.crashes.load(kept);
        }
        let due = looks.record(self.now(), glances(&objects));
        self.page.replace(objects);
        self.looked_at.set(Some(self.now()));
        self.look.send_modify(|looks| *looks += 1);
        due
    }

    /// The bulletin tells of the leases, or is lost; says whether it goes on telling.
    fn take_told(&self, heard: Result<Fed, RecvError>, looks: &mut PollSchedule) -> bool {
        match heard {
            Ok(Fed::Told(update, _)) => {
                if let Update::All(objects) = &*update {
                    self.looked(objects.clone(), looks);
                }
                true
            }
            Ok(Fed::Place(place)) => {
                self.place.set(Some(place));
                true
            }
            Ok(Fed::Expected(_)) => false,
            // What was missed is told again soon.
            Err(RecvError::Lagged(_)) => true,
            Ok(Fed::Lost) | Err(RecvError::Closed) => false,
        }
    }

    /// Where the holder of a duty can be reached, as far as this instance has seen.
    pub fn address(&self, duty: &str) -> Option<CompactString> {
        if self.acts(duty).is_some() {
            return Some(self.own_address.clone());
        }
        let page = self.page.borrow();
        let object = page.iter().find(|object| object.name == duty)?;
        let (_, lease) = decode(duty, object.clone())?;
        (!lease.address.is_empty()).then_some(lease.address)
    }

    /// What a lot of a duty needs, as its holder says; nothing if that is not known.
    pub fn demand(&self, duty: &str) -> LotDemand {
        if self.acts(duty).is_some() {
            return self.demands.borrow().get(duty).copied().unwrap_or_default();
        }
        let page = self.page.borrow();
        let object = page.iter().find(|object| object.name == duty);
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
    pub fn looks(&self) -> watch::Receiver<u64> {
        self.look.subscribe()
    }

    /// What a look that is made now shows of a duty.
    pub(super) async fn first_look(&self, duty: &str) -> Event {
        let looked_at = self.looked_at.get();
        if looked_at.is_some_and(|at| self.now().since(at) < FRESH) {
            return self.on_page(duty);
        }
        self.wanted.notify_one();
        self.next_look(duty, None).await
    }

    /// What the last look showed of a duty.
    fn on_page(&self, duty: &str) -> Event {
        let page = self.page.borrow();
        let object = page.iter().find(|object| object.name == duty).cloned();
        match object {
            Some(object) => decode(duty, object).map_or(Event::Failed, |l| Event::Read(Some(l))),
            None => Event::Read(None),
        }
    }

    /// What the next look shows of a duty; what the last one showed once its lease is `ripe`. That is
    /// enough to take it, since the write is conditional, and saves half the time between two looks.
    pub(super) async fn next_look(&self, duty: &str, ripe: Option<Time>) -> Event {
        let mut look = self.look.subscribe();
        let left = ripe.map(|ripe| ripe.since(self.now()));
        let ripens = async {
            match left {
                Some(left) => sleep(left.max(SHORTEST_SLEEP)).await,
                None => std::future::pending().await,
            }
        };
        self.waiting.set(self.waiting.get() + 1);
        let seen = tokio::select! {
            changed = look.changed() => changed.is_ok(),
            () = ripens => true,
            () = self.drain.notified() => false,
        };
        self.waiting.set(self.waiting.get() - 1);
        if !seen {
            return Event::Failed;
        }
        self.on_page(duty)
    }
}

fn glances(objects: &[Object]) -> Vec<(CompactString, PolledLease)> {
    let glance = |object: &Object| {
        let (version, lease) = decode(&object.name, object.clone())?;
        let wait = Duration::from_millis(lease.duration_ms) + LIMITS.clock_margin;
        (!lease.holder.is_empty()).then(|| (object.name.clone(), PolledLease { version, wait }))
    };
    objects.iter().filter_map(glance).collect()
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
