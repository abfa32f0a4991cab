//! Where and when a request in doubt may run.

use super::{
    ENDPOINTS_PER_RESERVATION, EndpointStart, ISOLATE_AT_CRASHES, ISOLATION_SLICE, Identity,
    RESERVATION_TTL, Register,
};
use crate::{Time, hash};
use std::{collections::BTreeSet, time::Duration};

/// Where a request in doubt may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// There, now.
    Endpoint(EndpointStart),
    /// Others in doubt go first: its turn comes after so long.
    Wait(Duration),
    /// No endpoint is open to it.
    Unavailable,
}

/// Longest wait until another one in doubt has left an endpoint: about a run.
const OCCUPIED_RETRY_DELAY: Duration = Duration::from_millis(30);

/// One with a last chance waits so long after the last crash for a second endpoint: crashed ones are back by then. It runs beside
/// others after that, since some services have one endpoint.
const SECOND_ENDPOINT_TIMEOUT: Duration = Duration::from_secs(10);

/// The requests with a last chance, in the order of their turns.
struct IsolationQueue {
    order: Vec<Identity>,
    /// Time since the last crash under one of them.
    age: Duration,
}

/// Turns that come round again and again, from the last crash on.
#[derive(Clone, Copy)]
struct RoundRobin {
    slices: usize,
}

impl Register {
    /// Where a request in doubt may run, of the endpoints that are `open`; at those `occupied` another one in doubt runs.
    ///
    /// All instances that know the same choose the same endpoint, so that the request runs at one at a time. Those
    /// with a last chance take turns, each at an endpoint where nothing else begins meanwhile; the others in doubt run one
    /// at an endpoint. So a crash tells who was to blame. Nobody has to be there for others to have their turn.
    pub fn place(
        &self,
        now: Time,
        identity: &Identity,
        open: &[EndpointStart],
        occupied: &BTreeSet<EndpointStart>,
    ) -> Placement {
        let candidates = self.candidates(open);
        if candidates.is_empty() {
            return Placement::Unavailable;
        }
        if self.crash_count(identity) >= ISOLATE_AT_CRASHES {
            return self.place_isolated(now, identity, &candidates);
        }
        let reserved = self.reserved(now, open);
        let free: Vec<_> = candidates
            .iter()
            .filter(|s| !reserved.contains(**s))
            .collect();
        // One with a last chance has the only endpoint.
        let Some(max_index) = free.len().checked_sub(1) else {
            return Placement::Wait(ISOLATION_SLICE);
        };
        let at = hash::stable(identity.to_string().as_bytes()) % (max_index as u64 + 1);
        let candidate = free[at as usize];
        if occupied.contains(*candidate) {
            return Placement::Wait(OCCUPIED_RETRY_DELAY);
        }
        Placement::Endpoint((*candidate).clone())
    }

    /// The endpoints, of those that are `open`, where nothing may begin now but a request with a last chance.
    pub fn reserved(&self, now: Time, open: &[EndpointStart]) -> BTreeSet<EndpointStart> {
        let queue = self.isolation_queue(now);
        let candidates = self.candidates(open);
        if queue.order.is_empty() || candidates.len() < 2 {
            return BTreeSet::new();
        }
        let reserved_count = reserved_count(&candidates);
        let slices = RoundRobin::of(&queue, reserved_count);
        let current = queue
            .order
            .iter()
            .skip(slices.current(queue.age) * reserved_count);
        let is_reservable = |identity: &&Identity| {
            let record = self.records.get(*identity);
            record.is_some_and(|record| record.age(now) < RESERVATION_TTL)
        };
        let reserved = current.take(reserved_count).enumerate();
        reserved
            .filter(|(_, identity)| is_reservable(identity))
            .map(|(at, _)| candidates[at].clone())
            .collect()
    }

    /// The seat of a request with a last chance, in its turn. While there is one endpoint alone, others go on there.
    fn place_isolated(
        &self,
        now: Time,
        identity: &Identity,
        candidates: &[&EndpointStart],
    ) -> Placement {
        let queue = self.isolation_queue(now);
        if candidates.len() < 2 && queue.age < SECOND_ENDPOINT_TIMEOUT {
            return Placement::Wait(ISOLATION_SLICE);
        }
        let own = queue.order.iter().position(|other| other == identity);
        let own = own.unwrap_or_default();
        let reserved_count = reserved_count(candidates);
        let wait = RoundRobin::of(&queue, reserved_count).wait(own / reserved_count, queue.age);
        if wait > Duration::ZERO {
            return Placement::Wait(wait);
        }
        Placement::Endpoint(candidates[own % reserved_count].clone())
    }

    /// The open endpoints that have not crashed, in the order that all instances give them.
    fn candidates<'a>(&self, open: &'a [EndpointStart]) -> Vec<&'a EndpointStart> {
        let mut candidates: Vec<_> = open.iter().filter(|s| !self.has_crashed(s)).collect();
        candidates.sort();
        candidates
    }

    fn isolation_queue(&self, now: Time) -> IsolationQueue {
        let mut queue = IsolationQueue {
            order: Vec::new(),
            age: Duration::MAX,
        };
        for identity in &self.isolated {
            if let Some(record) = self.records.get(identity) {
                queue.order.push(*identity);
                queue.age = queue.age.min(record.age(now));
            }
        }
        queue
    }
}

/// Endpoints that requests with a last chance have at once.
fn reserved_count(candidates: &[&EndpointStart]) -> usize {
    (candidates.len() / ENDPOINTS_PER_RESERVATION).max(1)
}

impl RoundRobin {
    fn of(queue: &IsolationQueue, reserved_count: usize) -> Self {
        Self {
            slices: queue.order.len().div_ceil(reserved_count).max(1),
        }
    }

    /// Whose turn it is, so long after the begin of the first one.
    fn current(self, since: Duration) -> usize {
        let number = since.as_micros() / ISOLATION_SLICE.as_micros();
        (number % self.slices as u128) as usize
    }

    /// How long the one whose turn is `own` waits, so long after the begin of the first turn. It begins in the
    /// second quarter of its turn: what was there before has ended, and it is done before the next one.
    fn wait(self, own: usize, since: Duration) -> Duration {
        let slice = ISOLATION_SLICE.as_micros();
        let within = since.as_micros() % slice;
        let current = self.current(since);
        let (opens, closes) = (slice / 4, slice / 2);
        if current == own && within < closes {
            return micros(opens.saturating_sub(within));
        }
        let ahead = match (own + self.slices - current) % self.slices {
            0 => self.slices,
            ahead => ahead,
        };
        micros(ahead as u128 * slice + opens - within)
    }
}

fn micros(micros: u128) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
