//! Leases in the object store for control duties, each of which one instance at a time performs.
//!
//! [`Duties`] runs a [`Candidate`] of [`pinereel_core::lease`] for each duty that this instance
//! registers for, and publishes its [`Status`]. The receiver of the status may lag: callers ask
//! [`Duties::held_lease`] right before each action.

mod poll;
mod status;
mod store_call;

pub use status::{HeldLease, Status};

use super::{
    crashes::CrashTracker,
    metrics::Metrics,
    store::Store,
    tree::{Feed, ROOT_DUTY, Topic},
};
use crate::restart::spawn_restarted;
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

/// Object kind of the leases; the object name is the duty.
pub const LEASE_KIND: &str = "pinereel-duties";

/// Timing of all leases. A holder that dies is replaced after 2.2 s to 3 s: a training step is due
/// in 7.5 s, and an item must not wait for 5 s. A holder renews its lease about every 0.7 s, which
/// takes one call.
const TIMING: Timing = Timing {
    duration: Duration::from_millis(2_000),
    clock_margin: Duration::from_millis(200),
    retry_interval: Duration::from_millis(700),
};

/// Added to the takeover delay for each duty that this instance holds already, so that duties
/// spread over the instances. It is about four steps of [`Rank::takeover_delay`], so that the loss
/// of one instance seldom leaves two duties without a holder.
const DELAY_PER_HELD_DUTY: Duration = Duration::from_millis(400);
/// Longest addition to the takeover delay of an instance with fewer cores than
/// [`PREFERRED_MIN_CORES`]. The addition is this time multiplied by the missing share of those cores.
const MAX_SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(1_000);
/// Upper bound of the random delay of the first poll, which spreads the polls of instances that
/// start together.
const MAX_START_DELAY: Duration = Duration::from_millis(400);
/// Fewest cores with which an instance is preferred as a holder. They suffice for lots of a few
/// hundred items.
const PREFERRED_MIN_CORES: f64 = 0.25;

/// Shortest sleep between two checks of what is due.
const MIN_SLEEP: Duration = Duration::from_millis(10);

/// Dependencies of [`Duties`].
pub struct Dependencies {
    /// The object store.
    pub store: Store,
    /// Name of this instance.
    pub instance: CompactString,
    /// Number of this run of the process; differs between the runs of one instance.
    pub incarnation: u64,
    /// Cores that this instance may use.
    pub cores: f64,
    /// Address at which other instances reach this one; empty if there is none.
    pub address: CompactString,
    /// Counts the leases taken and lost.
    pub metrics: Metrics,
    /// Data received over the broadcast tree.
    pub feed: Rc<Feed>,
    /// Register of requests that crash endpoints.
    pub crashes: Rc<CrashTracker>,
    /// The clock of the leases. It must also run while the machine is suspended.
    pub clock: fn() -> Time,
}

/// The candidates of this instance for all duties that it has registered for.
pub struct Duties {
    store: Store,
    instance: CompactString,
    id: CompactString,
    /// Address at which other instances reach this one; empty if there is none.
    own_address: CompactString,
    clock: Rc<dyn Fn() -> Time>,
    statuses: RefCell<BTreeMap<CompactString, watch::Sender<Status>>>,
    /// Number of registered duties whose lease has not been released by a drain.
    unreleased_count: Cell<usize>,
    /// Cores that this instance may use.
    cores: f64,
    metrics: Metrics,
    /// Register of requests that crash endpoints. Its stored object is listed with the leases.
    crashes: Rc<CrashTracker>,
    draining: Cell<bool>,
    drain_started: Notify,
    /// Number of polls of all leases.
    poll_count: watch::Sender<u64>,
    polled_objects: RefCell<Vec<Object>>,
    /// Time of the last poll.
    polled_at: Cell<Option<Time>>,
    /// Demand of the lots of each duty that this instance holds, which is stored in the lease.
    lot_demands: RefCell<BTreeMap<CompactString, LotDemand>>,
    /// Longest time after a renewal during which this instance acts, by duty.
    max_acting_times: RefCell<BTreeMap<CompactString, Duration>>,
    /// When the cooldown after this holder ends, by duty: for the next process of this instance,
    /// and for others.
    cooldown_ends: RefCell<BTreeMap<CompactString, (Time, Time)>>,
    /// Notified to request a poll now.
    poll_requested: Notify,
    /// The rank of this instance among all instances, as last received over the broadcast tree.
    rank: Cell<Option<Rank>>,
    /// Duties whose lease is free and which this instance is about to take.
    pending_takeovers: RefCell<BTreeSet<CompactString>>,
    /// Number of candidates that wait for the next poll.
    waiting_candidates: Cell<usize>,
}

impl Duties {
    /// Creates the state and starts to poll the leases; registers for no duty yet.
    pub fn new(deps: Dependencies) -> Rc<Self> {
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
        } = deps;
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
        spawn_restarted("lease polls", async move || {
            let lease_feed = feed.subscribe(Topic::Leases);
            // This subscriber lacks what was published before.
            feed.request_snapshot(Topic::Leases);
            poller.poll_leases(lease_feed).await;
        });
        duties
    }

    /// The time on the clock of the leases.
    pub fn now(&self) -> Time {
        (self.clock)()
    }

    /// Name of this instance.
    pub fn instance(&self) -> &CompactString {
        &self.instance
    }

    /// Id of this run of the instance, as stored in the leases that it holds.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Registers this instance as a candidate for `duty` and returns its status from now on. The
    /// receiver may lag: call [`Duties::held_lease`] right before each action.
    pub fn register_candidate(self: &Rc<Self>, duty: &CompactString) -> watch::Receiver<Status> {
        let mut statuses = self.statuses.borrow_mut();
        if let Some(status_sender) = statuses.get(duty) {
            return status_sender.subscribe();
        }
        let (status_sender, receiver) = watch::channel(Status::default());
        statuses.insert(duty.clone(), status_sender);
        self.unreleased_count.set(self.unreleased_count.get() + 1);
        let (duties, duty) = (Rc::clone(self), duty.clone());
        spawn_restarted("lease", async move || duties.run_candidate(&duty).await);
        receiver
    }

    /// The lease of `duty` if this instance may act on it now.
    pub fn held_lease(&self, duty: &str) -> Option<HeldLease> {
        let statuses = self.statuses.borrow();
        let lease = statuses.get(duty)?.borrow().lease?;
        (self.now() < lease.valid_until).then_some(lease)
    }

    /// Whether this instance is preferred as a holder of duties.
    pub fn is_preferred(&self) -> bool {
        self.cores >= PREFERRED_MIN_CORES
    }

    /// Sets the demand of the lots of `duty`, which is stored in the lease from its next renewal
    /// on.
    pub fn set_lot_demand(&self, duty: CompactString, demand: LotDemand) {
        self.lot_demands.borrow_mut().insert(duty, demand);
    }

    /// Limits the time after a renewal during which this instance acts to `span`. Must be called
    /// before [`Duties::register_candidate`].
    pub fn set_max_acting_time(&self, duty: &CompactString, span: Duration) {
        self.max_acting_times
            .borrow_mut()
            .insert(duty.clone(), span);
    }

    /// Sets when the cooldown after this holder of `duty` ends: for the next process of this
    /// instance on the same machine (`own`), and for other instances once the lease is released
    /// (`others`).
    pub fn set_cooldown_ends(&self, duty: &CompactString, own: Time, others: Time) {
        self.cooldown_ends
            .borrow_mut()
            .insert(duty.clone(), (own, others));
    }

    /// Number of duties that this instance holds.
    pub fn held_count(&self) -> usize {
        let statuses = self.statuses.borrow();
        let held = statuses
            .values()
            .filter(|status| status.borrow().lease.is_some());
        held.count()
    }

    /// Runs `work` each time that this instance holds `duty`, until `work` ends, another instance
    /// is known to have taken the lease, or it is released. After each run, `should_continue`
    /// returns whether to wait for the lease again.
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

    /// Starts to release all leases and takes no more.
    pub fn drain(&self) {
        self.draining.set(true);
        self.drain_started.notify_waiters();
    }

    /// Whether all leases have been released after [`Duties::drain`].
    pub fn all_released(&self) -> bool {
        self.unreleased_count.get() == 0
    }

    /// Runs the candidate for `duty` until its lease has been released by a drain.
    async fn run_candidate(&self, duty: &CompactString) {
        let previous_id_prefix = format_compact!("{}/", self.instance);
        let mut candidate = Candidate::new(self.now(), self.id.clone(), TIMING)
            .with_previous_id_prefix(previous_id_prefix)
            .with_address(self.own_address.clone());
        if let Some(span) = self.max_acting_times.borrow().get(duty) {
            candidate = candidate.with_max_acting_time(*span);
        }
        let mut drain_sent = false;
        let store = self.store_for(duty);
        let mut recoveries = store.recoveries();
        // Instances that should hold the duty read first and find no lease; the others then find the
        // lease that one of these has taken.
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

    /// Passes one event to the candidate, carries out the actions that follow, and passes on their
    /// results.
    async fn handle_event(&self, candidate: &mut Candidate, duty: &CompactString, event: Event) {
        let mut actions = self.step_candidate(candidate, duty, event);
        while let Some(action) = actions.pop() {
            let event = self.perform(candidate, duty, action).await;
            actions.extend(self.step_candidate(candidate, duty, event));
            self.publish_status(duty, candidate);
        }
    }

    /// Updates the inputs of the candidate, and passes one event to it.
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
        let store = self.store_for(duty);
        if store.unreachable_since().is_some() {
            candidate.note_store_unreachable();
        }
        let now = self.now();
        // A poll that was sent before the store became unreachable may be answered only now.
        if let Some(ago) = store.recovered_ago() {
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

    /// Publishes the status of `duty` if it has changed.
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
            self.metrics.count(&self.metrics.lease_events, &[event]);
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

    /// The store for the calls of `duty`. The root of the broadcast tree must reach the store over its own
    /// connection: an instance that does not, cannot renew or take that lease through its parent.
    fn store_for(&self, duty: &str) -> Store {
        if duty == ROOT_DUTY {
            self.store.direct()
        } else {
            self.store.clone()
        }
    }

    /// Random delay of the first read of `duty`, so that instances that start together do not read
    /// together.
    fn start_jitter(&self, duty: &str) -> Duration {
        jitter_from_hash(hash::rendezvous(
            hash::stable(duty.as_bytes()),
            &self.instance,
        ))
    }

    /// How much longer this instance waits before it takes `duty`, because it holds other duties or
    /// has few cores.
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

/// Maps a hash to a delay below [`MAX_START_DELAY`].
fn jitter_from_hash(hash: u64) -> Duration {
    MAX_START_DELAY.mul_f64((hash % 1_000) as f64 / 1_000.0)
}
