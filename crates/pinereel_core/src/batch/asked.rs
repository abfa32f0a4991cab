//! How much work trainers have asked for lately.

use crate::Time;
use std::{collections::VecDeque, time::Duration};

/// What was asked within this time counts: three to four steps of a trainer that asks for one every
/// four seconds.
const WINDOW: Duration = Duration::from_secs(15);

/// What a model's lots need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of a lot, as far as its trainer can tell.
    pub tokens: u64,
    /// Items of a lot that found no slot in time.
    pub short: u64,
    /// Items of the largest lot.
    pub items: u64,
}

/// The work asked for one model.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// When a lot was opened, and its tokens; oldest first.
    tokens: VecDeque<(Time, u64)>,
    /// When a lot was opened, and its items.
    items: VecDeque<(Time, u64)>,
    /// When it was looked at again, and its items that had found no slot.
    short: VecDeque<(Time, u64)>,
}

impl Asked {
    /// A lot of so many `items` and about `tokens` was opened.
    pub fn add(&mut self, now: Time, items: u64, tokens: u64) {
        add(&mut self.items, now, items);
        add(&mut self.tokens, now, tokens);
    }

    /// So many items of a lot found no slot in time.
    pub fn add_short(&mut self, now: Time, items: u64) {
        add(&mut self.short, now, items);
    }

    /// What a lot needs, by those opened lately; nothing if there are none. A step's lot comes
    /// at once, so that its size says more of the slots that it needs than its trainer's pace.
    pub fn size(&self, now: Time) -> Size {
        Size {
            tokens: mean(&self.tokens, now),
            short: mean(&self.short, now),
            items: largest(&self.items, now),
        }
    }
}

fn add(lots: &mut VecDeque<(Time, u64)>, now: Time, number: u64) {
    lots.push_back((now, number));
    lots.retain(|(at, _)| now.since(*at) < WINDOW);
}

fn lately(lots: &VecDeque<(Time, u64)>, now: Time) -> impl Iterator<Item = u64> + Clone {
    let lately = lots.iter().filter(move |(at, _)| now.since(*at) < WINDOW);
    lately.map(|(_, number)| *number)
}

fn mean(lots: &VecDeque<(Time, u64)>, now: Time) -> u64 {
    let lately = lately(lots, now);
    let sum = lately.clone().sum::<u64>();
    sum.checked_div(lately.count() as u64).unwrap_or_default()
}

fn largest(lots: &VecDeque<(Time, u64)>, now: Time) -> u64 {
    lately(lots, now).max().unwrap_or_default()
}
