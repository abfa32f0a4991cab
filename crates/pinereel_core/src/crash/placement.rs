//! Places suspected requests: at which endpoint and when each may run.

use super::{
    ENDPOINTS_PER_RESERVATION, EndpointStart, ISOLATE_AT_CRASHES, ISOLATION_SLICE, Identity,
    RESERVATION_TTL, Register,
};
use crate::{Time, hash};
use std::{collections::BTreeSet, time::Duration};

/// Where a suspected request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It may run at this endpoint now.
    Endpoint(EndpointStart),
    /// Other suspected requests go first: ask again after this time.
    Wait(Duration),
    /// No endpoint may take it.
    Unavailable,
}

/// Wait until another suspected request has left an endpoint: about one run.
const OCCUPIED_RETRY_DELAY: Duration = Duration::from_millis(30);

/// How long after the last crash an isolated request waits for a second endpoint; crashed endpoints
/// have restarted by then. Afterwards the request runs beside others, since some services have a
/// single endpoint.
const SECOND_ENDPOINT_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that run in isolation, in the order of their time slices.
struct IsolationQueue {
    order: Vec<Identity>,
    /// Time since the most recent crash under any of them.
    age: Duration,
}

/// Repeating cycle of time slices, starting at the last crash.
#[derive(Clone, Copy)]
struct RoundRobin {
    slices: usize,
}

impl Register {
    /// Where a suspected request may run, out of the endpoints `open`. At those in `occupied`
    /// another suspected request is running.
    ///
    /// All instances with the same reports choose the same endpoint, so the request runs at one
    /// endpoint at a time. Isolated requests take turns, each at an endpoint where nothing else
    /// starts meanwhile; other suspected requests run one per endpoint. This way a crash identifies
    /// the request that caused it. Slices follow the clock, so a request that is absent does not
    /// delay the others.
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
        // The only endpoint is reserved for an isolated request.
        let Some(max_index) = free.len().checked_sub(1) else {
            return Placement::Wait(ISOLATION_SLICE);
        };
        let index = hash::stable(identity.to_string().as_bytes()) % (max_index as u64 + 1);
        let candidate = free[index as usize];
        if occupied.contains(*candidate) {
            return Placement::Wait(OCCUPIED_RETRY_DELAY);
        }
        Placement::Endpoint((*candidate).clone())
    }

    /// Endpoints out of `open` where only isolated requests may start now.
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
            .map(|(index, _)| candidates[index].clone())
            .collect()
    }

    /// Places an isolated request in its time slice. With a single endpoint, other requests keep
    /// running there.
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
        let own_index = queue.order.iter().position(|other| other == identity);
        let own_index = own_index.unwrap_or_default();
        let reserved_count = reserved_count(candidates);
        let wait =
            RoundRobin::of(&queue, reserved_count).wait(own_index / reserved_count, queue.age);
        if wait > Duration::ZERO {
            return Placement::Wait(wait);
        }
        Placement::Endpoint(candidates[own_index % reserved_count].clone())
    }

    /// The open endpoints that have not crashed, in the same order at all instances.
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

/// Number of endpoints that isolated requests use at the same time.
fn reserved_count(candidates: &[&EndpointStart]) -> usize {
    (candidates.len() / ENDPOINTS_PER_RESERVATION).max(1)
}

impl RoundRobin {
    fn of(queue: &IsolationQueue, reserved_count: usize) -> Self {
        Self {
            slices: queue.order.len().div_ceil(reserved_count).max(1),
        }
    }

    /// Index of the slice in progress, `since` the start of the first one.
    fn current(self, since: Duration) -> usize {
        let number = since.as_micros() / ISOLATION_SLICE.as_micros();
        (number % self.slices as u128) as usize
    }

    /// Time until the start window of slice `own`, `since` the start of the first one. The window
    /// is the second quarter of the slice: earlier runs at the endpoint have ended by then, and the
    /// run itself ends before the next slice.
    fn wait(self, own: usize, since: Duration) -> Duration {
        let slice = ISOLATION_SLICE.as_micros();
        let offset = since.as_micros() % slice;
        let current = self.current(since);
        let (opens, closes) = (slice / 4, slice / 2);
        if current == own && offset < closes {
            return micros(opens.saturating_sub(offset));
        }
        let slices_ahead = match (own + self.slices - current) % self.slices {
            0 => self.slices,
            slices_ahead => slices_ahead,
        };
        micros(slices_ahead as u128 * slice + opens - offset)
    }
}

fn micros(micros: u128) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
