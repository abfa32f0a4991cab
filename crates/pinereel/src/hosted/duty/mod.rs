//! Duties that one instance has at a time, by leases in the object store.

mod call;
mod look;
mod standing;

pub use standing::{Grant, Standing};

use super::{
    bulletin::{Feed, Topic},
    crashes::CrashTracker,
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
pub const KIND: &str = "pinereel-duties";

/// Times of all leases. A holder that dies is replaced after 2.2 s to 3 s: a step is due in 7.5 s,
/// and an item must not wait for 5 s. A holder renews about every 0.7 s, which is one call.
const LIMITS: Timing = Timing {
    duration: Duration::from_millis(2_000),
    clock_margin: Duration::from_millis(200),
    retry_interval: Duration::from_millis(700),
};

/// Each duty that an instance holds already lets it wait so much longer before it takes another, so
/// that they spread: about four turns of [`Rank`], so that the loss of one instance seldom ends two
/// duties.
const HELD_DELAY: Duration = Duration::from_millis(400);
/// An instance waits so long for each part that it lacks to [`AMPLE_CORES`].
const SMALL_DELAY: Duration = Duration::from_millis(1_000);
/// The first looks of instances that start together spread over this time.
const FIRST_LOOKS: Duration = Duration::from_millis(400);
/// Cores with which an instance does not wait: lots of a few hundred items run well on it.
const AMPLE_CORES: f64 = 0.25;

/// Shortest sleep between two looks at what is due.
const SHORTEST_SLEEP: Duration = Duration::from_millis(10);

/// What duties are made of.
pub struct Parts {
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
    pub crashes: Rc<CrashTracker>,
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
    joined: RefCell<BTreeMap<CompactString, watch::Sender<Standing>>>,
    /// Duties that are not released yet after a drain.
    unreleased: Cell<usize>,
    /// Cores of this instance.
    cores: f64,
    metrics: Metrics,
    /// Requests under which endpoints crash: what the store keeps of them is listed with the leases.
    crashes: Rc<CrashTracker>,
    draining: Cell<bool>,
    drain: Notify,
    /// The last look at all leases, counted from 1; 0 before the first.
    look: watch::Sender<u64>,
    page: RefCell<Vec<Object>>,
    /// When that was looked at.
    looked_at: Cell<Option<Time>>,
    /// What a lot needs, by duty of this instance; told in their leases.
    demands: RefCell<BTreeMap<CompactString, LotDemand>>,
    /// How long after a renewal this instance acts at most, by duty.
    acts: RefCell<BTreeMap<CompactString, Duration>>,
    /// Until when acts must rest after this holder, by duty: its own next start's, and others'.
    rests: RefCell<BTreeMap<CompactString, (Time, Time)>>,
    /// Somebody wants a look now.
    wanted: Notify,
    /// The place of this instance among all candidates, as it was last told.
    place: Cell<Option<Rank>>,
    /// Duties that are free, and that this instance is about to take.
    taking: RefCell<BTreeSet<CompactString>>,
    /// Candidates that wait for the next look.
    waiting: Cell<usize>,
}

impl Duties {
    /// No duties yet.
    pub fn new(parts: Parts) -> Rc<Self> {
        let Parts {
            store,
            instance,
            incarnation,
            cores,
            address,
            metrics,
            feed,
            crashes,
            clock,
        } = parts;
        let duties = Rc::new(Self {
            id: format_compact!("{instance}/{incarnation:x}"),
            store,
            instance,
            own_address: address,
            clock: Rc::new(clock),
            joined: RefCell::default(),
            unreleased: Cell::new(0),
            cores,
            metrics,
            crashes,
            look: watch::channel(0).0,
            page: RefCell::default(),
            looked_at: Cell::default(),
            demands: RefCell::default(),
            acts: RefCell::default(),
            rests: RefCell::default(),
            wanted: Notify::new(),
            place: Cell::default(),
            taking: RefCell::default(),
            waiting: Cell::new(0),
            draining: Cell::new(false),
            drain: Notify::new(),
        });
        let looking = Rc::clone(&duties);
        let fed = feed.hear(Topic::Leases);
        actix_rt::spawn(async move { looking.look_out(fed).await });
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
    pub fn join(self: &Rc<Self>, duty: &CompactString) -> watch::Receiver<Standing> {
        let mut joined = self.joined.borrow_mut();
        if let Some(sender) = joined.get(duty) {
            return sender.subscribe();
        }
        let (sender, receiver) = watch::channel(Standing::default());
        joined.insert(duty.clone(), sender);
        self.unreleased.set(self.unreleased.get() + 1);
        let (state, duty) = (Rc::clone(self), duty.clone());
        actix_rt::spawn(async move { state.run(&duty).await });
        receiver
    }

    /// The lease of a duty if this instance may act on it now.
    pub fn acts(&self, duty: &str) -> Option<Grant> {
        let joined = self.joined.borrow();
        let grant = joined.get(duty)?.borrow().grant?;
        (self.now() < grant.until).then_some(grant)
    }

    /// Whether this instance should rather hold duties than others.
    pub fn is_preferred(&self) -> bool {
        self.cores >= AMPLE_CORES
    }

    /// Tells in the lease of a duty, from its next renewal on, what its lots need.
    pub fn set_demand(&self, duty: CompactString, size: LotDemand) {
        self.demands.borrow_mut().insert(duty, size);
    }

    /// Lets this instance act for `span` after a renewal at most; to be called before it takes part in the
    /// duty.
    pub fn act_for(&self, duty: &CompactString, span: Duration) {
        self.acts.borrow_mut().insert(duty.clone(), span);
    }

    /// Tells in the lease of a duty until when acts must rest after this holder: those of its own next
    /// start on this machine, and those of others once it has released the lease.
    pub fn set_rests(&self, duty: &CompactString, own: Time, others: Time) {
        self.rests.borrow_mut().insert(duty.clone(), (own, others));
    }

    /// Duties that this instance holds.
    pub fn held(&self) -> usize {
        let joined = self.joined.borrow();
        let held = joined
            .values()
            .filter(|standing| standing.borrow().grant.is_some());
        held.count()
    }

    /// Does `work` whenever this instance has the duty, until another one is known to have it or it is given
    /// up; then asks `goes_on` whether to wait for the next time.
    pub async fn whenever_held(
        self: &Rc<Self>,
        duty: &CompactString,
        work: impl AsyncFn(),
        goes_on: impl Fn() -> bool,
    ) {
        let mut standing = self.join(duty);
        while standing.wait_for(|s| s.grant.is_some()).await.is_ok() {
            let mut watched = standing.clone();
            let lost = async {
                // An error means that the process is ending.
                let _ = watched.wait_for(Standing::is_superseded).await;
            };
            tokio::select! {
                () = work() => {}
                () = lost => {}
            }
            if !goes_on() {
                return;
            }
        }
    }

    /// Gives up all leases.
    pub fn drain(&self) {
        self.draining.set(true);
        self.drain.notify_waiters();
    }

    /// Whether a drained instance is rid of all leases.
    pub fn released(&self) -> bool {
        self.unreleased.get() == 0
    }

    async fn run(&self, duty: &CompactString) {
        let prefix = format_compact!("{}/", self.instance);
        let mut holder = Candidate::new(self.now(), self.id.clone(), LIMITS)
            .with_previous_id_prefix(prefix)
            .with_address(self.own_address.clone());
        if let Some(span) = self.acts.borrow().get(duty) {
            holder = holder.with_max_acting_time(*span);
        }
        let mut told = false;
        let mut returns = self.store.returns();
        // Those that should hold it look first, and find nothing; the others find their lease.
        sleep(self.modesty(duty) + self.jitter(duty)).await;
        loop {
            let event = if self.draining.get() && !told {
                told = true;
                Event::Drain
            } else {
                Event::Tick
            };
            self.tick(&mut holder, duty, event).await;
            if told && holder.is_released() {
                log::info!(duty = duty.as_str(); "lease released");
                self.unreleased.set(self.unreleased.get() - 1);
                return;
            }
            let now = self.now();
            let mut next = holder.next_call_at().since(now);
            if holder.fencing_token(now).is_some() {
                next = next.min(holder.valid_until().since(now));
            }
            tokio::select! {
                () = sleep(next.max(SHORTEST_SLEEP)) => {}
                () = self.drain.notified() => {}
                _ = returns.changed() => holder.expedite(self.now()),
            }
            self.tell(duty, &holder);
        }
    }

    /// One event, and the calls that it leads to. Each action is carried out and answered.
    async fn tick(&self, holder: &mut Candidate, duty: &CompactString, event: Event) {
        let mut actions = self.step(holder, duty, event);
        while let Some(action) = actions.pop() {
            let event = self.call(holder, duty, action).await;
            actions.extend(self.step(holder, duty, event));
            self.tell(duty, holder);
        }
    }

    fn step(&self, holder: &mut Candidate, duty: &CompactString, event: Event) -> Vec<Action> {
        let place = self.place.get();
        let turn = place.map_or_else(
            || unranked_takeover_delay(self.is_preferred()),
            |place| place.takeover_delay(duty),
        );
        if let Some((own, others)) = self.rests.borrow().get(duty) {
            holder.set_cooldown_ends(*own, *others);
        }
        holder.set_takeover_delay(turn + self.modesty(duty));
        if self.store.away_since().is_some() {
            holder.note_store_unreachable();
        }
        let now = self.now();
        // A look that was asked for before the store was away may be answered now.
        if let Some(ago) = self.store.returned_ago() {
            holder.note_store_recovered(now, ago);
        }
        let actions = holder.step(now, event);
        let takes = !holder.is_presumed_holder()
            && actions.iter().any(|a| matches!(a, Action::Write { .. }));
        let mut taking = self.taking.borrow_mut();
        if takes || holder.awaits_takeover_delay(now) {
            taking.insert(duty.clone());
        } else {
            taking.remove(duty);
        }
        actions
    }

    /// Publishes what the holder may do now.
    fn tell(&self, duty: &CompactString, holder: &Candidate) {
        let now = self.now();
        let joined = self.joined.borrow();
        let Some(sender) = joined.get(duty) else {
            return;
        };
        let stood = *sender.borrow();
        let before = stood.grant;
        let grant = holder.fencing_token(now).map(|fence| {
            let known = before.filter(|grant| grant.fence == fence);
            let known = known.map(|grant| grant.clear);
            Grant {
                fence,
                until: holder.valid_until(),
                clear: holder
                    .cooldown()
                    .or(known)
                    .unwrap_or(Cooldown::IdleSince(now)),
            }
        });
        if before.map(|grant| grant.fence) != grant.map(|grant| grant.fence) {
            let event = if grant.is_some() { "taken" } else { "lost" };
            self.metrics.count(&self.metrics.leases, &[event]);
            match grant {
                Some(grant) => log::info!(duty = duty.as_str(), fence = grant.fence; "lease taken"),
                None => log::info!(duty = duty.as_str(); "lease lost"),
            }
        }
        let standing = Standing {
            grant,
            presumed: holder.is_presumed_holder(),
        };
        if standing != stood {
            sender.send_replace(standing);
        }
    }

    /// Keeps instances that start together from looking together.
    fn jitter(&self, duty: &str) -> Duration {
        spread(hash::rendezvous(
            hash::stable(duty.as_bytes()),
            &self.instance,
        ))
    }

    /// How long this instance lets others go first.
    fn modesty(&self, duty: &str) -> Duration {
        let taking = self.taking.borrow();
        let held = self.held() + taking.iter().filter(|other| *other != duty).count();
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let lacks = (1.0 - self.cores / AMPLE_CORES).max(0.0);
        HELD_DELAY * held + SMALL_DELAY.mul_f64(lacks)
    }
}

/// A part of [`FIRST_LOOKS`], by chance.
fn spread(chance: u64) -> Duration {
    FIRST_LOOKS.mul_f64((chance % 1_000) as f64 / 1_000.0)
}
