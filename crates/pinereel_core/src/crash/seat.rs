//! Where and when a request in doubt may run.

use super::{Identity, LAST_CHANCE, Register, Start, TURN};
use crate::Time;
use std::time::Duration;

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

/// The place of a request among those in doubt.
struct Order {
    /// Its place among those with as much against them.
    own: usize,
    /// How many have a last chance.
    last_chances: usize,
    /// Time since the last crash under one of those.
    age: Duration,
}

/// Turns that come round again and again, from the last crash on.
#[derive(Clone, Copy)]
struct Turns {
    /// The turn of the request.
    own: usize,
    count: usize,
}

impl Register {
    /// Where a request in doubt may run, of the endpoints that are `open`.
    ///
    /// All instances that know the same choose the same endpoint, so that the request runs at one at a time. Those
    /// with a last chance take turns, one at each endpoint, and the others in doubt have a turn of their own: so a
    /// crash under a last chance tells who was to blame. Nobody has to be there for others to have their turn.
    pub fn seat(&self, now: Time, identity: &Identity, open: &[Start]) -> Seat {
        let crashed = |start: &&Start| self.has_crashed(start);
        let mut seats: Vec<_> = open.iter().filter(|start| !crashed(start)).collect();
        seats.sort();
        if seats.is_empty() {
            return Seat::None;
        }
        let doubts = self.doubts(identity).min(LAST_CHANCE);
        let order = self.order(now, identity, doubts);
        let groups = order.last_chances.div_ceil(seats.len());
        let turns = Turns {
            own: if doubts == LAST_CHANCE {
                order.own / seats.len()
            } else {
                groups
            },
            count: groups + 1,
        };
        let wait = match groups {
            0 => Duration::ZERO,
            _ => turns.wait(order.age),
        };
        if wait > Duration::ZERO {
            return Seat::After(wait);
        }
        Seat::At(seats[order.own % seats.len()].clone())
    }

    fn order(&self, now: Time, identity: &Identity, doubts: usize) -> Order {
        let mut order = Order {
            own: 0,
            last_chances: 0,
            age: Duration::MAX,
        };
        for (other, record) in &self.records {
            let against = self.doubts(other).min(LAST_CHANCE);
            if against == doubts && other < identity {
                order.own += 1;
            }
            if against == LAST_CHANCE {
                order.last_chances += 1;
                order.age = order.age.min(record.age(now));
            }
        }
        order
    }
}

impl Turns {
    /// How long the request waits for its turn, so long after the begin of the first one; nothing within the first
    /// half of its turn, so that it is done before the next one.
    fn wait(self, since: Duration) -> Duration {
        let turn = TURN.as_micros();
        let (number, within) = (since.as_micros() / turn, since.as_micros() % turn);
        let current = (number % self.count as u128) as usize;
        if current == self.own && within < turn / 2 {
            return Duration::ZERO;
        }
        let ahead = match (self.own + self.count - current) % self.count {
            0 => self.count,
            ahead => ahead,
        };
        let micros = ahead as u128 * turn - within;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
