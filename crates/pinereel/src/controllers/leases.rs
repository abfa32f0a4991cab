//! Leases for control duties, in the object API.
//!
//! Only a few entries are candidates for a duty, chosen by rendezvous hashing, so that the calls to
//! the object API grow with the duties and not with the entries.

use crate::{
    logging::DecisionKind,
    objects::{Error, Purpose},
    state::{Shared, spawn},
};
use compact_str::{CompactString, format_compact};
use pinereel_api::object::LEASES;
use pinereel_core::{
    Time, hash,
    lease::{Action, Candidate, Event, Lease, Timing},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Candidates for one duty.
const CANDIDATES: usize = 3;
/// Pause between ticks of a candidate.
const TICK: Duration = Duration::from_millis(100);
/// Times of all leases: a dead holder is replaced after 5.5 s to 6.5 s.
const LIMITS: Timing = Timing {
    duration: Duration::from_secs(5),
    clock_margin: Duration::from_millis(500),
    retry_interval: Duration::from_secs(1),
};

/// The controller's state.
#[derive(Debug, Default)]
pub struct Leases {
    holders: RefCell<BTreeMap<CompactString, Candidate>>,
    /// Whether all leases are to be given up.
    draining: Cell<bool>,
}

impl Leases {
    /// The fencing token of a duty and until when it may be acted on, if this entry may act now.
    pub fn held(&self, duty: &str, now: Time) -> Option<(u64, Time)> {
        let holders = self.holders.borrow();
        let holder = holders.get(duty)?;
        Some((holder.fencing_token(now)?, holder.valid_until()))
    }

    /// The duties that this entry may act on now, with their fencing tokens.
    pub fn all(&self, now: Time) -> BTreeMap<CompactString, u64> {
        let holders = self.holders.borrow();
        let held = holders
            .iter()
            .filter_map(|(duty, holder)| Some((duty, holder.fencing_token(now)?)));
        held.map(|(duty, fence)| (duty.clone(), fence)).collect()
    }

    /// Whether a draining entry is rid of all leases.
    pub fn released(&self) -> bool {
        self.holders.borrow().values().all(Candidate::is_released)
    }
}

/// Takes part in a duty from now on. Asking again changes nothing.
pub fn join(shared: &Rc<Shared>, duty: &CompactString) {
    let id = format_compact!("{}-{:x}", shared.name(), shared.incarnation);
    let mut holders = shared.leases.holders.borrow_mut();
    if holders.contains_key(duty) {
        return;
    }
    holders.insert(duty.clone(), Candidate::new(shared.now(), id, LIMITS));
    let duty = duty.clone();
    spawn(shared, async move |shared| run(&shared, &duty).await);
}

/// Gives up all leases; [`Leases::released`] tells when it is done.
pub fn drain(shared: &Shared) {
    shared.leases.draining.set(true);
}

async fn run(shared: &Shared, duty: &CompactString) {
    let mut held = None;
    let mut told = false;
    loop {
        if shared.leases.draining.get() && !told {
            told = true;
            tick(shared, duty, Event::Drain).await;
        } else if told || candidate(shared, duty) {
            tick(shared, duty, Event::Tick).await;
        }
        let now = shared
            .leases
            .held(duty, shared.now())
            .map(|(fence, _)| fence);
        if now != held {
            let reason = now.map_or("lost".into(), |fence| format_compact!("fence {fence}"));
            let chosen = now.map(|_| shared.name().as_str());
            shared.decide(DecisionKind::Lease, duty, chosen, &reason);
            held = now;
        }
        sleep(TICK).await;
    }
}

/// Whether this entry is to look after the duty: one of the first in rank, or its holder.
fn candidate(shared: &Shared, duty: &str) -> bool {
    let holds = shared.leases.held(duty, shared.now()).is_some();
    let key = hash::stable(duty.as_bytes());
    let ranked = shared.members.ranked(key, CANDIDATES);
    holds || ranked.is_empty() || ranked.contains(shared.name())
}

/// One event, and the calls that it leads to. Each action is carried out and answered.
async fn tick(shared: &Shared, duty: &CompactString, event: Event) {
    let mut actions = step(shared, duty, event);
    while let Some(action) = actions.pop() {
        let event = call(shared, duty, action).await;
        actions.extend(step(shared, duty, event));
    }
}

fn step(shared: &Shared, duty: &str, event: Event) -> Vec<Action> {
    let mut holders = shared.leases.holders.borrow_mut();
    let holder = holders.get_mut(duty);
    holder.map_or_else(Vec::new, |holder| holder.step(shared.now(), event))
}

async fn call(shared: &Shared, duty: &str, action: Action) -> Event {
    match action {
        Action::Read => read(shared, duty).await,
        Action::Write { expected, lease } => write(shared, duty, expected, &lease).await,
    }
}

async fn read(shared: &Shared, duty: &str) -> Event {
    match shared.objects.read(Purpose::Leases, LEASES, duty).await {
        Ok(None) => Event::Read(None),
        Ok(Some(object)) => match serde_json::from_value::<Lease>(object.value) {
            Ok(lease) => Event::Read(Some((object.version, lease))),
            Err(e) => {
                log::error!("lease {duty} unreadable: {e}");
                Event::Failed
            }
        },
        Err(_) => Event::Failed,
    }
}

async fn write(shared: &Shared, duty: &str, expected: Option<u64>, lease: &Lease) -> Event {
    let objects = &shared.objects;
    let written = match expected {
        Some(version) => {
            objects
                .update(Purpose::Leases, LEASES, duty, version, lease)
                .await
        }
        None => objects.create(Purpose::Leases, LEASES, duty, lease).await,
    };
    match written {
        Ok(version) => Event::Written(version),
        Err(Error::Conflict | Error::NotFound) => Event::Conflict,
        // Also when it certainly had no effect: the holder reads back in any case.
        Err(_) => Event::Unknown,
    }
}
