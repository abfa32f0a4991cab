//! Where and when a request in doubt may run.

use super::{Identity, LAST_CHANCE, RESERVED_FOR, RESERVED_SHARE, Register, Start, TURN};
use crate::{Time, hash};
use std::{collections::BTreeSet, time::Duration};

/// Where a request in doubt may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seat {
    /// There, now.
    At(Start),
    /// Others in doubt go first: its turn comes after so long.
    After(Duration),
    /// No endpoint is open to it.
    None,
}

/// Longest wait until another one in doubt has left an endpoint: about a run.
const OCCUPIED: Duration = Duration::from_millis(30);

/// One with a last chance waits so long after the last crash for a second endpoint: crashed ones are back by then. It runs beside
/// others after that, since some services have one endpoint.
const ALONE: Duration = Duration::from_secs(10);

/// The requests with a last chance, in the order of their turns.
struct Chances {
    order: Vec<Identity>,
    /// Time since the last crash under one of them.
    age: Duration,
}

/// Turns that come round again and again, from the last crash on.
#[derive(Clone, Copy)]
struct Turns {
    count: usize,
}

impl Register {
    /// Where a request in doubt may run, of the endpoints that are `open`; at those `occupied` another one in doubt runs.
    ///
    /// All instances that know the same choose the same endpoint, so that the request runs at one at a time. Those
    /// with a last chance take turns, each at an endpoint where nothing else begins meanwhile; the others in doubt run one
    /// at an endpoint. So a crash tells who was to blame. Nobody has to be there for others to have their turn.
    pub fn seat(
        &self,
        now: Time,
        identity: &Identity,
        open: &[Start],
        occupied: &BTreeSet<Start>,
    ) -> Seat {
        let seats = self.seats(open);
        if seats.is_empty() {
            return Seat::None;
        }
        if self.doubts(identity) >= LAST_CHANCE {
            return self.last_seat(now, identity, &seats);
        }
        let reserved = self.reserved(now, open);
        let free: Vec<_> = seats.iter().filter(|s| !reserved.contains(**s)).collect();
        // One with a last chance has the only endpoint.
        let Some(last) = free.len().checked_sub(1) else {
            return Seat::After(TURN);
        };
        let at = hash::stable(identity.to_string().as_bytes()) % (last as u64 + 1);
        let seat = free[at as usize];
        if occupied.contains(*seat) {
            return Seat::After(OCCUPIED);
        }
        Seat::At((*seat).clone())
    }

    /// The endpoints, of those that are `open`, where nothing may begin now but a request with a last chance.
    pub fn reserved(&self, now: Time, open: &[Start]) -> BTreeSet<Start> {
        let chances = self.chances(now);
        let seats = self.seats(open);
        if chances.order.is_empty() || seats.len() < 2 {
            return BTreeSet::new();
        }
        let width = width(&seats);
        let turns = Turns::of(&chances, width);
        let current = chances
            .order
            .iter()
            .skip(turns.current(chances.age) * width);
        let waits = |identity: &&Identity| {
            let record = self.records.get(*identity);
            record.is_some_and(|record| record.age(now) < RESERVED_FOR)
        };
        let taken = current.take(width).enumerate();
        taken
            .filter(|(_, identity)| waits(identity))
            .map(|(at, _)| seats[at].clone())
            .collect()
    }

    /// The seat of a request with a last chance, in its turn. While there is one endpoint alone, others go on there.
    fn last_seat(&self, now: Time, identity: &Identity, seats: &[&Start]) -> Seat {
        let chances = self.chances(now);
        if seats.len() < 2 && chances.age < ALONE {
            return Seat::After(TURN);
        }
        let own = chances.order.iter().position(|other| other == identity);
        let own = own.unwrap_or_default();
        let width = width(seats);
        let wait = Turns::of(&chances, width).wait(own / width, chances.age);
        if wait > Duration::ZERO {
            return Seat::After(wait);
        }
        Seat::At(seats[own % width].clone())
    }

    /// The open endpoints that have not crashed, in the order that all instances give them.
    fn seats<'a>(&self, open: &'a [Start]) -> Vec<&'a Start> {
        let mut seats: Vec<_> = open.iter().filter(|s| !self.has_crashed(s)).collect();
        seats.sort();
        seats
    }

    fn chances(&self, now: Time) -> Chances {
        let mut chances = Chances {
            order: Vec::new(),
            age: Duration::MAX,
        };
        for identity in &self.last_chances {
            if let Some(record) = self.records.get(identity) {
                chances.order.push(*identity);
                chances.age = chances.age.min(record.age(now));
            }
        }
        chances
    }
}

/// Endpoints that requests with a last chance have at once.
fn width(seats: &[&Start]) -> usize {
    (seats.len() / RESERVED_SHARE).max(1)
}

impl Turns {
    fn of(chances: &Chances, width: usize) -> Self {
        Self {
            count: chances.order.len().div_ceil(width).max(1),
        }
    }

    /// Whose turn it is, so long after the begin of the first one.
    fn current(self, since: Duration) -> usize {
        let number = since.as_micros() / TURN.as_micros();
        (number % self.count as u128) as usize
    }

    /// How long the one whose turn is `own` waits, so long after the begin of the first turn. It begins in the
    /// second quarter of its turn: what was there before has ended, and it is done before the next one.
    fn wait(self, own: usize, since: Duration) -> Duration {
        let turn = TURN.as_micros();
        let within = since.as_micros() % turn;
        let current = self.current(since);
        let (opens, closes) = (turn / 4, turn / 2);
        if current == own && within < closes {
            return micros(opens.saturating_sub(within));
        }
        let ahead = match (own + self.count - current) % self.count {
            0 => self.count,
            ahead => ahead,
        };
        micros(ahead as u128 * turn + opens - within)
    }
}

fn micros(micros: u128) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
