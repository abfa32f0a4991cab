//! Duties that one instance has at a time, by leases in the object store.

mod poll;
mod status;
mod store_call;

pub use status::{HeldLease, Status};

use super::{
    bulletin::{Feed, Topic},
    crashes::Crashes,
    metrics::Metrics,
    store::Store,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time,
    batch::LotDemand,
    hash,
    lease::{Action, Candidate, Cooldown, Event, Rank, Timing, unranked_takeover_delay},
};
use pinereel_port::store::Object;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

/// Kind of the leases, one object a duty.
pub const LEASE_KIND: &str = "pinereel-duties";

/// Times of all leases. A holder that dies is replaced after 2.2 s to 3 s: a step is due in 7.5 s,
/// and an item must not wait for 5 s. A holder renews about every 0.7 s, which is one call.
const TIMING: Timing = Timing {
    duration: Duration::from_millis(2_000),
    clock_margin: Duration::from_millis(200),
    retry_interval: Duration::from_millis(700),
};

/// Each duty that an instance holds already lets it wait so much longer before it takes another, so
/// that they spread: about four turns of [`Rank`], so that the loss of one instance seldom ends two
/// duties.
const DELAY_PER_HELD_DUTY: Duration = Duration::from_millis(400);
/// An instance waits so long for each part that it lacks to [`AMPLE_CORES`].
const MAX_SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(1_000);
/// The first looks of instances that start together spread over this time.
const MAX_START_DELAY: Duration = Duration::from_millis(400);
/// Cores with which an instance does not wait: lots of a few hundred items run well on it.
const PREFERRED_MIN_CORES: f64 = 0.25;

/// Shortest sleep between two looks at what is due.
const MIN_SLEEP: Duration = Duration::from_millis(10);

/// What duties are made of.
pub struct Dependencies {
    /// The object store.
    pub store: Store,
    /// Name of this instance.
    pub instance: CompactString,
    /// Differs between its starts.
    pub incarnation: u64,
    /// Its cores.
    pub cores: f64,
    /// Where other instances reach it; empty if nowhere.
    pub address: CompactString,
    /// Figures.
    pub metrics: Metrics,
    /// What the bulletin tells.
    pub feed: Rc<Feed>,
    /// Requests under which endpoints crash.
    pub crashes: Rc<Crashes>,
    /// The clock; it must go on while the machine is suspended.
    pub clock: fn() -> Time,
}

/// The duties that this instance takes part in.
pub struct Duties {
    store: Store,
    instance: CompactString,
    id: CompactString,
    /// Where other instances reach this one; empty if nowhere.
    own_address: CompactString,
    clock: Rc<dyn Fn() -> Time>,
    statuses: RefCell<BTreeMap<CompactString, watch::Sender<Status>>>,
    /// Duties that are not released yet after a drain.
    unreleased_count: Cell<usize>,
    /// Cores of this instance.
    cores: f64,
    metrics: Metrics,
    /// Requests under which endpoints crash: what the store keeps of them is listed with the leases.
    crashes: Rc<Crashes>,
    draining: Cell<bool>,
    drain_started: Notify,
    /// The last look at all leases, counted from 1; 0 before the first.
    poll_count: watch::Sender<u64>,
    polled_objects: RefCell<Vec<Object>>,
    /// When that was looked at.
    polled_at: Cell<Option<Time>>,
    /// What a lot needs, by duty of this instance; told in their leases.
    lot_demands: RefCell<BTreeMap<CompactString, LotDemand>>,
    /// How long after a renewal this instance acts at most, by duty.
    max_acting_times: RefCell<BTreeMap<CompactString, Duration>>,
    /// Until when acts must rest after this holder, by duty: its own next start's, and others'.
    cooldown_ends: RefCell<BTreeMap<CompactString, (Time, Time)>>,
    /// Somebody wants a look now.
    poll_requested: Notify,
    /// The place of this instance among all candidates, as it was last told.
    rank: Cell<Option<Rank>>,
    /// Duties that are free, and that this instance is about to take.
    pending_takeovers: RefCell<BTreeSet<CompactString>>,
    /// Candidates that wait for the next look.
    waiting_candidates: Cell<usize>,
}

impl Duties {
    /// No duties yet.
    pub fn new(dependencies: Dependencies) -> Rc<Self> {
        let Dependencies {
            store,
            instance,
            incarnation,
            cores,
            address,
            metrics,
            feed,
            crashes,
            clock,
        } = dependencies;
        let duties = Rc::new(Self {
            id: format_compact!("{instance}/{incarnation:x}"),
            store,
            instance,
            own_address: address,
            clock: Rc::new(clock),
            statuses: RefCell::default(),
            unreleased_count: Cell::new(0),
            cores,
            metrics,
            crashes,
            poll_count: watch::channel(0).0,
            polled_objects: RefCell::default(),
            polled_at: Cell::default(),
            lot_demands: RefCell::default(),
            max_acting_times: RefCell::default(),
            cooldown_ends: RefCell::default(),
            poll_requested: Notify::new(),
            rank: Cell::default(),
            pending_takeovers: RefCell::default(),
            waiting_candidates: Cell::new(0),
            draining: Cell::new(false),
            drain_started: Notify::new(),
        });
        let poller = Rc::clone(&duties);
        let lease_feed = feed.hear(Topic::Leases);
        actix_rt::spawn(async move { poller.poll_leases(lease_feed).await });
        duties
    }

    /// The time on the leases' clock.
    pub fn now(&self) -> Time {
        (self.clock)()
    }

    /// Name of this instance.
    pub fn instance(&self) -> &CompactString {
        &self.instance
    }

    /// Id of this start of the instance.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Takes part in a duty from now on, and tells when its lease comes and goes. The receiver may
    /// lag: ask [`Duties::acts`] right before each act.
    pub fn register_candidate(self: &Rc<Self>, duty: &CompactString) -> watch::Receiver<Status> {
        let mut statuses = self.statuses.borrow_mut();
        if let Some(status_sender) = statuses.get(duty) {
            return status_sender.subscribe();
        }
        let (status_sender, receiver) = watch::channel(Status::default());
        statuses.insert(duty.clone(), status_sender);
        self.unreleased_count.set(self.unreleased_count.get() + 1);
        let (duties, duty) = (Rc::clone(self), duty.clone());
        actix_rt::spawn(async move { duties.run_candidate(&duty).await });
        receiver
    }

    /// The lease of a duty if this instance may act on it now.
    pub fn held_lease(&self, duty: &str) -> Option<HeldLease> {
        let statuses = self.statuses.borrow();
        let lease = statuses.get(duty)?.borrow().lease?;
        (self.now() < lease.valid_until).then_some(lease)
    }

    /// Whether this instance should rather hold duties than others.
    pub fn is_preferred(&self) -> bool {
        self.cores >= PREFERRED_MIN_CORES
    }

    /// Tells in the lease of a duty, from its next renewal on, what its lots need.
    pub fn set_lot_demand(&self, duty: CompactString, demand: LotDemand) {
        self.lot_demands.borrow_mut().insert(duty, demand);
    }

    /// Lets this instance act for `span` after a renewal at most; to be called before it takes part in the
    /// duty.
    pub fn set_max_acting_time(&self, duty: &CompactString, span: Duration) {
        self.max_acting_times
            .borrow_mut()
            .insert(duty.clone(), span);
    }

    /// Tells in the lease of a duty until when acts must rest after this holder: those of its own next
    /// start on this machine, and those of others once it has released the lease.
    pub fn set_cooldown_ends(&self, duty: &CompactString, own: Time, others: Time) {
        self.cooldown_ends
            .borrow_mut()
            .insert(duty.clone(), (own, others));
    }

    /// Duties that this instance holds.
    pub fn held_count(&self) -> usize {
        let statuses = self.statuses.borrow();
        let held = statuses
            .values()
            .filter(|status| status.borrow().lease.is_some());
        held.count()
    }

    /// Does `work` whenever this instance has the duty, until another one is known to have it or it is given
    /// up; then asks `goes_on` whether to wait for the next time.
    pub async fn run_while_held(
        self: &Rc<Self>,
        duty: &CompactString,
        work: impl AsyncFn(),
        should_continue: impl Fn() -> bool,
    ) {
        let mut status = self.register_candidate(duty);
        while status.wait_for(|s| s.lease.is_some()).await.is_ok() {
            let mut status_watch = status.clone();
            let superseded = async {
                // An error means that the process is ending.
                let _ = status_watch.wait_for(Status::is_superseded).await;
            };
            tokio::select! {
                () = work() => {}
                () = superseded => {}
            }
            if !should_continue() {
                return;
            }
        }
    }

    /// Gives up all leases.
    pub fn drain(&self) {
        self.draining.set(true);
        self.drain_started.notify_waiters();
    }

    /// Whether a drained instance is rid of all leases.
    pub fn all_released(&self) -> bool {
        self.unreleased_count.get() == 0
    }

    async fn run_candidate(&self, duty: &CompactString) {
        let previous_id_prefix = format_compact!("{}/", self.instance);
        let mut candidate = Candidate::new(self.now(), self.id.clone(), TIMING)
            .with_previous_id_prefix(previous_id_prefix)
            .with_address(self.own_address.clone());
        if let Some(span) = self.max_acting_times.borrow().get(duty) {
            candidate = candidate.with_max_acting_time(*span);
        }
        let mut drain_sent = false;
        let mut recoveries = self.store.recoveries();
        // Those that should hold it look first, and find nothing; the others find their lease.
        sleep(self.load_delay(duty) + self.start_jitter(duty)).await;
        loop {
            let event = if self.draining.get() && !drain_sent {
                drain_sent = true;
                Event::Drain
            } else {
                Event::Tick
            };
            self.handle_event(&mut candidate, duty, event).await;
            if drain_sent && candidate.is_released() {
                log::info!(duty = duty.as_str(); "lease released");
                self.unreleased_count.set(self.unreleased_count.get() - 1);
                return;
            }
            let now = self.now();
            let mut wait = candidate.next_call_at().since(now);
            if candidate.fencing_token(now).is_some() {
                wait = wait.min(candidate.valid_until().since(now));
            }
            tokio::select! {
                () = sleep(wait.max(MIN_SLEEP)) => {}
                () = self.drain_started.notified() => {}
                _ = recoveries.changed() => candidate.expedite(self.now()),
            }
            self.publish_status(duty, &candidate);
        }
    }

    /// One event, and the calls that it leads to. Each action is carried out and answered.
    async fn handle_event(&self, candidate: &mut Candidate, duty: &CompactString, event: Event) {
        let mut actions = self.step_candidate(candidate, duty, event);
        while let Some(action) = actions.pop() {
            let event = self.perform(candidate, duty, action).await;
            actions.extend(self.step_candidate(candidate, duty, event));
            self.publish_status(duty, candidate);
        }
    }

    fn step_candidate(
        &self,
        candidate: &mut Candidate,
        duty: &CompactString,
        event: Event,
    ) -> Vec<Action> {
        let rank = self.rank.get();
        let rank_delay = rank.map_or_else(
            || unranked_takeover_delay(self.is_preferred()),
            |rank| rank.takeover_delay(duty),
        );
        if let Some((own, others)) = self.cooldown_ends.borrow().get(duty) {
            candidate.set_cooldown_ends(*own, *others);
        }
        candidate.set_takeover_delay(rank_delay + self.load_delay(duty));
        if self.store.unreachable_since().is_some() {
            candidate.note_store_unreachable();
        }
        let now = self.now();
        // A look that was asked for before the store was away may be answered now.
        if let Some(ago) = self.store.recovered_ago() {
            candidate.note_store_recovered(now, ago);
        }
        let actions = candidate.step(now, event);
        let is_takeover = !candidate.is_presumed_holder()
            && actions.iter().any(|a| matches!(a, Action::Write { .. }));
        let mut pending_takeovers = self.pending_takeovers.borrow_mut();
        if is_takeover || candidate.awaits_takeover_delay(now) {
            pending_takeovers.insert(duty.clone());
        } else {
            pending_takeovers.remove(duty);
        }
        actions
    }

    /// Publishes what the holder may do now.
    fn publish_status(&self, duty: &CompactString, candidate: &Candidate) {
        let now = self.now();
        let statuses = self.statuses.borrow();
        let Some(status_sender) = statuses.get(duty) else {
            return;
        };
        let previous_status = *status_sender.borrow();
        let previous_lease = previous_status.lease;
        let lease = candidate.fencing_token(now).map(|fence| {
            let previous_cooldown = previous_lease.filter(|lease| lease.fence == fence);
            let previous_cooldown = previous_cooldown.map(|lease| lease.cooldown);
            HeldLease {
                fence,
                valid_until: candidate.valid_until(),
                cooldown: candidate
                    .cooldown()
                    .or(previous_cooldown)
                    .unwrap_or(Cooldown::IdleSince(now)),
            }
        });
        if previous_lease.map(|lease| lease.fence) != lease.map(|lease| lease.fence) {
            let event = if lease.is_some() { "taken" } else { "lost" };
            self.metrics.count(&self.metrics.leases, &[event]);
            match lease {
                Some(lease) => log::info!(duty = duty.as_str(), fence = lease.fence; "lease taken"),
                None => log::info!(duty = duty.as_str(); "lease lost"),
            }
        }
        let status = Status {
            lease,
            is_presumed_holder: candidate.is_presumed_holder(),
        };
        if status != previous_status {
            status_sender.send_replace(status);
        }
    }

    /// Keeps instances that start together from looking together.
    fn start_jitter(&self, duty: &str) -> Duration {
        jitter_from_hash(hash::rendezvous(
            hash::stable(duty.as_bytes()),
            &self.instance,
        ))
    }

    /// How long this instance lets others go first.
    fn load_delay(&self, duty: &str) -> Duration {
        let pending_takeovers = self.pending_takeovers.borrow();
        let held = self.held_count()
            + pending_takeovers
                .iter()
                .filter(|other| *other != duty)
                .count();
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let missing_share = (1.0 - self.cores / PREFERRED_MIN_CORES).max(0.0);
        DELAY_PER_HELD_DUTY * held + MAX_SMALL_INSTANCE_DELAY.mul_f64(missing_share)
    }
}

/// A part of [`FIRST_LOOKS`], by chance.
fn jitter_from_hash(hash: u64) -> Duration {
    MAX_START_DELAY.mul_f64((hash % 1_000) as f64 / 1_000.0)
}
