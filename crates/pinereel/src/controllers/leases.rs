//! Leases in the object API: elect one entry at a time for each control duty.
//!
//! Only a few entries, chosen by rendezvous hashing, are candidates for a duty, so that the rate of
//! calls to the object API grows with the number of duties and not with the number of entries.

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

/// Number of entries that are candidates for one duty.
const CANDIDATES_PER_DUTY: usize = 3;
/// Interval between two ticks of a candidate.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timing of all leases: a dead holder is replaced after 5.5 s to 6.5 s.
const LEASE_TIMING: Timing = Timing {
    duration: Duration::from_secs(5),
    clock_margin: Duration::from_millis(500),
    retry_interval: Duration::from_secs(1),
};

/// State of the leases controller.
#[derive(Debug, Default)]
pub struct Leases {
    candidates: RefCell<BTreeMap<CompactString, Candidate>>,
    /// Whether all leases are to be released.
    draining: Cell<bool>,
}

impl Leases {
    /// Fencing token and expiry of the lease of `duty`, if this entry holds it now.
    pub fn held(&self, duty: &str, now: Time) -> Option<(u64, Time)> {
        let candidates = self.candidates.borrow();
        let candidate = candidates.get(duty)?;
        Some((candidate.fencing_token(now)?, candidate.valid_until()))
    }

    /// Fencing tokens of the duties whose lease this entry holds now.
    pub fn held_tokens(&self, now: Time) -> BTreeMap<CompactString, u64> {
        let candidates = self.candidates.borrow();
        let held = candidates
            .iter()
            .filter_map(|(duty, candidate)| Some((duty, candidate.fencing_token(now)?)));
        held.map(|(duty, fence)| (duty.clone(), fence)).collect()
    }

    /// Whether a draining entry has released all leases.
    pub fn all_released(&self) -> bool {
        self.candidates
            .borrow()
            .values()
            .all(Candidate::is_released)
    }
}

/// Makes this entry a candidate for a duty; a repeated call has no effect.
pub fn join(shared: &Rc<Shared>, duty: &CompactString) {
    let id = format_compact!("{}-{:x}", shared.name(), shared.incarnation);
    let mut candidates = shared.leases.candidates.borrow_mut();
    if candidates.contains_key(duty) {
        return;
    }
    candidates.insert(duty.clone(), Candidate::new(shared.now(), id, LEASE_TIMING));
    let duty = duty.clone();
    spawn(shared, async move |shared| run(&shared, &duty).await);
}

/// Starts to release all leases; [`Leases::all_released`] returns whether that is done.
pub fn release_all(shared: &Shared) {
    shared.leases.draining.set(true);
}

async fn run(shared: &Shared, duty: &CompactString) {
    let mut last_fence = None;
    let mut drain_sent = false;
    loop {
        if shared.leases.draining.get() && !drain_sent {
            drain_sent = true;
            run_event(shared, duty, Event::Drain).await;
        } else if drain_sent || is_candidate(shared, duty) {
            run_event(shared, duty, Event::Tick).await;
        }
        let fence = shared
            .leases
            .held(duty, shared.now())
            .map(|(fence, _)| fence);
        if fence != last_fence {
            let reason = fence.map_or("lost".into(), |fence| format_compact!("fence {fence}"));
            let chosen = fence.map(|_| shared.name().as_str());
            shared.log_decision(DecisionKind::Lease, duty, chosen, &reason);
            last_fence = fence;
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Whether this entry is to tick the duty's candidate: it is among the first in rank for the duty,
/// holds its lease, or knows no ranked entry.
fn is_candidate(shared: &Shared, duty: &str) -> bool {
    let holds = shared.leases.held(duty, shared.now()).is_some();
    let key = hash::stable(duty.as_bytes());
    let ranked = shared.members.ranked(key, CANDIDATES_PER_DUTY);
    holds || ranked.is_empty() || ranked.contains(shared.name())
}

/// Feeds an event to the candidate, and carries out the actions until no more follow.
async fn run_event(shared: &Shared, duty: &CompactString, event: Event) {
    let mut actions = step(shared, duty, event);
    while let Some(action) = actions.pop() {
        let event = execute(shared, duty, action).await;
        actions.extend(step(shared, duty, event));
    }
}

fn step(shared: &Shared, duty: &str, event: Event) -> Vec<Action> {
    let mut candidates = shared.leases.candidates.borrow_mut();
    let candidate = candidates.get_mut(duty);
    candidate.map_or_else(Vec::new, |candidate| candidate.step(shared.now(), event))
}

async fn execute(shared: &Shared, duty: &str, action: Action) -> Event {
    match action {
        Action::Read => read_lease(shared, duty).await,
        Action::Write { expected, lease } => write_lease(shared, duty, expected, &lease).await,
    }
}

async fn read_lease(shared: &Shared, duty: &str) -> Event {
    match shared.objects.read(Purpose::Leases, LEASES, duty).await {
        Ok(None) => Event::Read(None),
        Ok(Some(object)) => match serde_json::from_value::<Lease>(object.value) {
            Ok(lease) => Event::Read(Some((object.version, lease))),
            Err(e) => {
                log::error!("lease {duty} cannot be parsed: {e}");
                Event::Failed
            }
        },
        Err(_) => Event::Failed,
    }
}

async fn write_lease(shared: &Shared, duty: &str, expected: Option<u64>, lease: &Lease) -> Event {
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
        // `Unknown` is returned even if the write certainly had no effect, since the candidate reads
        // the lease again in any case.
        Err(_) => Event::Unknown,
    }
}
